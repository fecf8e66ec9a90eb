"""Callers who disconnect are detected; without callers nothing is polled."""

import socket
import threading
import time

from waxwingwinch.gateway._caller_watcher import CallerWatcher
from waxwingwinch.gateway._connections import Cancellation

WAIT_SECONDS = 5.0


class CountingLock:
    """A lock that counts how often the watcher checks its callers."""

    def __init__(self):
        self.acquisitions = 0
        self._lock = threading.Lock()

    def __enter__(self):
        self.acquisitions += 1
        return self._lock.__enter__()

    def __exit__(self, *arguments):
        return self._lock.__exit__(*arguments)


def is_cancelled_within(cancellation, seconds=WAIT_SECONDS):
    end_seconds = time.monotonic() + seconds
    while cancellation.reason is None and time.monotonic() < end_seconds:
        time.sleep(0.01)
    return cancellation.reason is not None


def test_a_disconnect_is_detected_also_after_a_time_without_callers():
    watcher = CallerWatcher()
    watcher.start()
    for _ in range(2):
        server_side, caller_side = socket.socketpair()
        cancellation = Cancellation()
        watcher.add(server_side, cancellation)
        caller_side.close()
        assert is_cancelled_within(cancellation)
        watcher.remove(cancellation)
        server_side.close()
        time.sleep(0.25)
    watcher.stop()


def test_nothing_is_polled_while_there_are_no_callers():
    """
    Hundreds of instances receive one request per second each.

    A watcher that polls without callers would use CPU time on each instance.
    """
    watcher = CallerWatcher()
    lock = CountingLock()
    watcher._lock = lock  # type: ignore[assignment]
    watcher.start()
    time.sleep(0.5)
    assert lock.acquisitions == 0
    watcher.stop()
