"""Connections that wait for their next request."""

import math
import selectors
import time
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager

from waxwingwinch.gateway._process_log_lines import AcceptFailed
from waxwingwinch.gateway._unanswered import BoundReason

#: Pause before the next attempt to accept a connection, after an attempt
#: failed and no idle connection could be closed.
ACCEPT_PAUSE_SECONDS = 0.1
#: Idle time from which a connection may be closed to make room for a new one.
REPLACEABLE_IDLE_SECONDS = 1.0
#: Fraction of these connections that are closed at once.
REPLACED_FRACTION = 0.1
#: Interval at which late heads are refused and threads freed; a head may be
#: this much later than ``headerTimeoutMs``.
LOOK_SECONDS = 0.25


class ConnectionsFull(OSError):
    """As many connections are open as the server may have."""


class IdleConnections(ConnectionManager):  # type: ignore[misc]
    """
    Accepts connections, and waits for the next requests of idle ones.

    It replaces the loop of cheroot's manager, which measures by the time of
    day how long a connection has been idle, and which an error of ``accept``
    ends.

    :param server: The HTTP server that serves the connections.
    """

    server: Any
    _selector: Any
    _stop_requested: bool
    _from_server_socket: Callable[[Any], Any]
    _remove_invalid_sockets: Callable[[], None]
    #: Monotonic time of the next attempt to accept; None if not paused, and
    #: infinite once no connection is accepted any more.
    _accept_seconds: float | None = None

    def put(self, connection: Any) -> None:
        """
        Wait for the next request on a connection.

        :param connection: The connection.
        """
        connection.last_used = time.monotonic()
        if connection.rfile.has_data():
            self.server.process_conn(connection)
        else:
            self._register(connection)

    def stop_accepting(self) -> None:
        """Accept no further connection; called in the thread of the loop."""
        if self._accept_seconds is None:
            self._selector.unregister(self.server.socket.fileno())
        self._accept_seconds = math.inf

    def wait_for_head(self, connection: Any) -> None:
        """
        Wait for the rest of a head, which arrives in time or is refused.

        :param connection: The connection.
        """
        connection.last_used = time.monotonic()
        self._selector.register(
            connection.socket.fileno(), selectors.EVENT_READ, connection
        )

    def _register(self, connection: Any) -> None:
        connection.idle_since_seconds = time.monotonic()
        connection.is_waiting = True
        self._selector.register(
            connection.socket.fileno(), selectors.EVENT_READ, connection
        )

    def _run(self, expiration_interval: float) -> None:
        expire_seconds = time.monotonic() + expiration_interval
        look_seconds = time.monotonic() + LOOK_SECONDS
        while not self._stop_requested:
            is_paused = self._accept_seconds not in (None, math.inf)
            timeout_seconds = LOOK_SECONDS
            if is_paused:
                timeout_seconds = ACCEPT_PAUSE_SECONDS
            elif not self.server.under_way:
                timeout_seconds = expiration_interval
            try:
                ready = self._selector.select(timeout=timeout_seconds)
            except OSError:
                self._remove_invalid_sockets()
                continue
            self._process_ready(tuple(ready))
            now_seconds = time.monotonic()
            self._resume_accepting(now_seconds)
            if now_seconds >= look_seconds:
                self._end_late_heads(now_seconds)
                self.server.free_threads(self.server.clock.now_seconds())
                look_seconds = now_seconds + LOOK_SECONDS
            if now_seconds >= expire_seconds:
                idle = self._idle_since(now_seconds - self.server.timeout)
                self._close_idle([entry for entry in idle if not entry[1].is_gathering])
                expire_seconds = now_seconds + expiration_interval

    def _process_ready(self, ready: tuple[tuple[int, Any], ...]) -> None:
        # Idle connections on which a request has arrived come first, as
        # accepting another may close those that are idle.
        for descriptor, connection in ready:
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        has_new = any(connection is self.server for _, connection in ready)
        if has_new and self._accept_seconds is None:
            self._accept()

    def _end_late_heads(self, now_seconds: float) -> None:
        """Refuse requests whose heads aren't whole in time."""
        since_seconds = now_seconds - self.server.limits.header_timeout_seconds
        late = [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
            and connection.is_gathering
            and connection.head_since_seconds <= since_seconds
        ]
        for descriptor, connection in late:
            self._selector.unregister(descriptor)
            connection.end_late_head(now_seconds)

    def _accept(self) -> None:
        if self.server.is_full:
            self._make_room_or_pause(ConnectionsFull("all connections are in use"))
            if self.server.is_full:
                return
        try:
            connection = self._from_server_socket(self.server.socket)
        except OSError as error:
            # As a rule, the process has no descriptor left. Without a pause,
            # the socket would be ready again at once.
            self._make_room_or_pause(error)
            return
        if connection is not None:
            # Its thread is taken only once its first request arrives.
            self._register(connection)

    def _make_room_or_pause(self, error: OSError) -> None:
        if not self.make_room(error):
            self._selector.unregister(self.server.socket.fileno())
            self._accept_seconds = time.monotonic() + ACCEPT_PAUSE_SECONDS

    def make_room(self, error: OSError) -> bool:
        """
        Close the connections that have sent nothing complete for the longest.

        :param error: The error.
        :returns: False if none was idle for long enough.
        """
        idle = self._idle_since(time.monotonic() - REPLACEABLE_IDLE_SECONDS)
        idle.sort(key=lambda entry: entry[1].idle_since_seconds)
        replaced = idle[: math.ceil(REPLACED_FRACTION * len(idle))]
        for descriptor, connection in replaced:
            self._selector.unregister(descriptor)
            if connection.is_gathering:
                connection.end_late_head(time.monotonic())
            else:
                connection.close()
        self.server.unanswered.record_bound(BoundReason.DESCRIPTORS, len(replaced))
        AcceptFailed(reason=repr(error), closed=len(replaced)).write()
        return bool(replaced)

    def _idle_since(self, since_seconds: float) -> list[tuple[int, Any]]:
        """Return the connections that have been idle from a time on."""
        return [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
            and connection.idle_since_seconds <= since_seconds
        ]

    def _close_idle(self, idle: list[tuple[int, Any]]) -> None:
        for descriptor, connection in idle:
            self._selector.unregister(descriptor)
            connection.close()

    def _resume_accepting(self, now_seconds: float) -> None:
        if self._accept_seconds is None or now_seconds < self._accept_seconds:
            return
        self._accept_seconds = None
        self._selector.register(
            self.server.socket.fileno(), selectors.EVENT_READ, self.server
        )
