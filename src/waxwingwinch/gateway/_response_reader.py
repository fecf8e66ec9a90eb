"""Detecting bytes of a connection that belong to no response."""

import io
import socket
from http import client
from typing import Any


class ResponseReader(io.BufferedReader):
    """
    Buffers the bytes of one response.

    :param connection: The connection's socket.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection.makefile("rb", buffering=0))
        self._socket = connection
        #: True if bytes after the end of the response have arrived.
        self.has_surplus = False

    def close(self) -> None:
        """Close the reader, which discards the bytes that it has buffered."""
        if not self.closed:
            self.has_surplus = self._has_unread_data()
        super().close()

    def _has_unread_data(self) -> bool:
        try:
            # peek() waits for the socket if its buffer is empty.
            self._socket.settimeout(0.0)
            return bool(self.peek(1))
        except (OSError, ValueError):
            return False


class BufferedResponse(client.HTTPResponse):
    """A response with a :class:`ResponseReader`."""

    def __init__(self, sock: socket.socket, *arguments: Any, **named: Any) -> None:
        super().__init__(sock, *arguments, **named)
        self.fp.close()
        #: Reads the response.
        self.reader = ResponseReader(sock)
        self.fp = self.reader
