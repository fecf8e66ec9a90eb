"""Connections that wait for their next request."""

import selectors
import time
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager


class IdleConnections(ConnectionManager):  # type: ignore[misc]
    """
    Accepts connections, and waits for the next requests of idle ones.

    It replaces the loop of cheroot's manager, which measures by the time of
    day how long a connection has been idle.

    :param server: The HTTP server that serves the connections.
    """

    server: Any
    _selector: Any
    _stop_requested: bool
    _expire: Callable[[float], None]
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
            return
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
            for descriptor, connection in ready:
                self._process(descriptor, connection)
            now_seconds = time.monotonic()
            if now_seconds >= expire_seconds:
                self._expire(now_seconds - self.server.timeout)
                expire_seconds = now_seconds + expiration_interval

    def _process(self, descriptor: int, connection: Any) -> None:
        if connection is self.server:
            connection = self._from_server_socket(self.server.socket)
        else:
            self._selector.unregister(descriptor)
        if connection is not None:
            self.server.process_conn(connection)
