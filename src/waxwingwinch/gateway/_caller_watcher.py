"""A thread that detects callers who disconnect before their response."""

import socket
import threading

from attrs import frozen

from waxwingwinch.gateway._connections import Cancellation, CancelReason
from waxwingwinch.http import is_closed_by_peer

#: Interval at which the callers' connections are checked. Work for a caller
#: that has disconnected has to end within 0.5 s.
SCAN_INTERVAL_SECONDS = 0.1


@frozen(eq=False)
class _WatchedCaller:
    """
    A caller that waits for its response.

    :param connection: The caller's socket.
    :param cancellation: Cancels the caller's request.
    """

    connection: socket.socket
    cancellation: Cancellation


class CallerWatcher:
    """Cancels the requests whose callers close their connections."""

    def __init__(self) -> None:
        self._watched_callers: dict[int, _WatchedCaller] = {}
        self._lock = threading.Lock()
        #: Set while callers are watched, and when the thread has to end.
        self._wake_up = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watcher", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._wake_up.set()
        self._thread.join()

    def add(self, connection: socket.socket, cancellation: Cancellation) -> None:
        """
        Watch a caller until :meth:`remove`.

        :param connection: The caller's socket.
        :param cancellation: Cancelled once the caller has disconnected.
        """
        with self._lock:
            self._watched_callers[id(cancellation)] = _WatchedCaller(
                connection, cancellation
            )
            self._wake_up.set()

    def remove(self, cancellation: Cancellation) -> None:
        """
        Stop watching a caller.

        :param cancellation: The cancellation given to :meth:`add`.
        """
        with self._lock:
            self._watched_callers.pop(id(cancellation), None)
            if not self._watched_callers and not self._stopping.is_set():
                self._wake_up.clear()

    def _run(self) -> None:
        while self._wake_up.wait() and not self._stopping.wait(SCAN_INTERVAL_SECONDS):
            with self._lock:
                watched_callers = list(self._watched_callers.values())
            for watched_caller in watched_callers:
                if is_closed_by_peer(watched_caller.connection):
                    watched_caller.cancellation.cancel(CancelReason.CALLER_GONE)
