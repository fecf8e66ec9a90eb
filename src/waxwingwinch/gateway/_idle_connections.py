"""Connections that wait for their next request."""

import math
import selectors
import time
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager

from waxwingwinch.gateway._process_log_lines import AcceptFailed

#: Pause of the loop after an attempt to accept a connection failed and no idle
#: connection could be closed; requests on kept connections wait as long.
ACCEPT_PAUSE_SECONDS = 0.02
#: Idle time from which a connection may be closed to make room for a new one.
REPLACEABLE_IDLE_SECONDS = 1.0
#: Fraction of these connections that are closed at once.
REPLACED_FRACTION = 0.1


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

    def _register(self, connection: Any) -> None:
        connection.idle_since_seconds = time.monotonic()
        self._selector.register(
            connection.socket.fileno(), selectors.EVENT_READ, connection
        )

    def _run(self, expiration_interval: float) -> None:
        expire_seconds = time.monotonic() + expiration_interval
        while not self._stop_requested:
            try:
                ready = self._selector.select(timeout=expiration_interval)
            except OSError:
                self._remove_invalid_sockets()
                continue
            self._process_ready(tuple(ready))
            now_seconds = time.monotonic()
            if now_seconds >= expire_seconds:
                self._expire(now_seconds - self.server.timeout)
                expire_seconds = now_seconds + expiration_interval

    def _process_ready(self, ready: tuple[tuple[int, Any], ...]) -> None:
        # Idle connections on which a request has arrived come first, as
        # accepting another may close those that are idle.
        for descriptor, connection in ready:
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        if any(connection is self.server for _, connection in ready):
            self._accept()

    def _accept(self) -> None:
        if self.server.socket.fileno() < 0:
            # A task of a stop has just closed it.
            return
        try:
            connection = self._from_server_socket(self.server.socket)
        except OSError as error:
            # As a rule, the process has no descriptor left. Without a pause,
            # the socket would be ready again at once.
            self._make_room(error, time.monotonic())
            return
        if connection is not None:
            # Its thread is taken only once its first request arrives.
            connection.is_waiting = True
            self._register(connection)

    def _make_room(self, error: OSError, now_seconds: float) -> None:
        """Close the connections that were idle longest; pause if none was."""
        idle = self._idle_since(now_seconds - REPLACEABLE_IDLE_SECONDS)
        idle.sort(key=lambda entry: entry[1].idle_since_seconds)
        replaced = idle[: math.ceil(REPLACED_FRACTION * len(idle))]
        self._close_idle(replaced)
        AcceptFailed(reason=repr(error), closed=len(replaced)).write()
        if not replaced:
            time.sleep(ACCEPT_PAUSE_SECONDS)

    def _idle_since(self, since_seconds: float) -> list[tuple[int, Any]]:
        """Return the connections that have been idle from a time on."""
        return [
            (descriptor, connection)
            for descriptor, connection in self._selector.connections
            if connection is not self.server
            and connection.idle_since_seconds <= since_seconds
        ]

    def _expire(self, threshold: float) -> None:
        self._close_idle(self._idle_since(threshold))

    def _close_idle(self, idle: list[tuple[int, Any]]) -> None:
        for descriptor, connection in idle:
            self._selector.unregister(descriptor)
            connection.close()
