"""Noticing callers who leave, at no cost while there are none."""

import socket
import threading
import time

from waxwingwinch.gateway._caller_watcher import CallerWatcher
from waxwingwinch.gateway._connections import Cancellation

WAIT_SECONDS = 5.0


class CountingLock:
    """Counts how often a watcher looks at its callers."""

    def __init__(self):
        self.taken = 0
        self._lock = threading.Lock()

    def __enter__(self):
        self.taken += 1
        return self._lock.__enter__()

    def __exit__(self, *arguments):
        return self._lock.__exit__(*arguments)


def cancelled_within(cancellation, seconds=WAIT_SECONDS):
    end_seconds = time.monotonic() + seconds
    while cancellation.reason is None and time.monotonic() < end_seconds:
        time.sleep(0.01)
    return cancellation.reason is not None


def test_a_caller_who_leaves_is_noticed_also_after_a_quiet_time():
    watcher = CallerWatcher()
    watcher.start()
    for _ in range(2):
        near, far = socket.socketpair()
        cancellation = Cancellation()
        watcher.add(near, cancellation)
        far.close()
        assert cancelled_within(cancellation)
        watcher.remove(cancellation)
        near.close()
        time.sleep(0.25)
    watcher.stop()


def test_nobody_is_looked_at_while_there_are_no_callers():
    """Pattern: hundreds of instances that see one request a second each."""
    watcher = CallerWatcher()
    lock = CountingLock()
    watcher._lock = lock  # type: ignore[assignment]
    watcher.start()
    time.sleep(0.5)
    assert lock.taken == 0
    watcher.stop()
