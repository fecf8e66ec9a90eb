"""Responses whose heads are complete, read until an end."""

import http.client
import io
import socket
import time
from http import HTTPStatus
from typing import Any

#: The line that ends a head.
_HEAD_ENDS = (b"\r\n", b"\n")
#: Largest head, with the interim responses before it; several times what
#: servers send.
MAX_HEAD_BYTES = 64 * 1_024
#: Largest HTTP status (RFC 9110, section 15). ``http.client`` accepts up to
#: 999.
MAX_STATUS = 599


class _LineReader:
    """
    Reads the lines of a head.

    :param reader: The reader of the connection.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        #: The last line read; empty at the end of the connection.
        self.last_line = b""
        self._read_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        """
        Read a line, or a part of it at the end of the connection.

        :param limit: Maximum number of bytes.
        :raises http.client.HTTPException: If the head exceeds
            :data:`MAX_HEAD_BYTES`.
        """
        self.last_line = self._reader.readline(limit)
        self._read_bytes += len(self.last_line)
        if self._read_bytes > MAX_HEAD_BYTES:
            raise http.client.HTTPException(
                f"the head of a response exceeds {MAX_HEAD_BYTES} bytes"
            )
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class _EndingReader(io.RawIOBase):
    """
    Reads a socket until an end, however many reads that takes.

    The timeout of a socket is that of each read, so a peer that sends a byte
    now and then would be waited for without end.

    :param connection: The socket.
    :param reader: Reads it.
    :param end_seconds: Monotonic time of the end; None to read what has
        arrived.
    """

    def __init__(
        self, connection: socket.socket, reader: io.RawIOBase, end_seconds: float
    ) -> None:
        super().__init__()
        self._connection = connection
        self._reader = reader
        self.end_seconds: float | None = end_seconds

    def readable(self) -> bool:
        """Tell that this is a reader."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """
        Read bytes into a buffer.

        :param buffer: The buffer.
        :raises TimeoutError: If none have arrived before the end.
        """
        if self.end_seconds is not None:
            remaining_seconds = self.end_seconds - time.monotonic()
            if remaining_seconds <= 0.0:
                raise TimeoutError("timed out before the end of the response")
            self._connection.settimeout(remaining_seconds)
        return self._reader.readinto(buffer)

    def close(self) -> None:
        """Release the socket."""
        self._reader.close()
        super().close()


class WholeHeadResponse(http.client.HTTPResponse):
    """
    A response that counts as broken off if its connection ends in its head.

    ``http.client`` takes the end of the connection for the end of the head, so
    that a response that breaks off before its framing has an empty body.

    :param connection: The socket.
    :param debug_level: Level of debug output of ``http.client``.
    :param method: Method of the request.
    :param end_seconds: Monotonic time until which the head must have arrived.
    """

    def __init__(
        self,
        connection: socket.socket,
        debug_level: int = 0,
        method: str | None = None,
        *,
        end_seconds: float,
    ) -> None:
        super().__init__(connection, debug_level, method)
        reader: Any = self.fp
        self._io = _EndingReader(connection, reader.detach(), end_seconds)
        self.fp = io.BufferedReader(self._io)

    def read_until(self, end_seconds: float | None) -> None:
        """
        Set until when the rest of the response is waited for.

        :param end_seconds: Monotonic time; None to wait for nothing.
        """
        self._io.end_seconds = end_seconds

    def begin(self) -> None:
        """
        Read the head of the final response; skip interim ones.

        :raises http.client.IncompleteRead: If the connection ends in it.
        :raises http.client.BadStatusLine: If the server switches protocols or
            sends a status that no response can have.
        """
        reader: Any = self.fp
        lines: Any = _LineReader(reader)
        self.fp = lines
        try:
            super().begin()
            while self._is_interim():
                # Without headers, begin() reads another head.
                self.headers = self.msg = None  # type: ignore[assignment]
                super().begin()
        finally:
            if self.fp is lines:
                self.fp = reader
        if lines.last_line not in _HEAD_ENDS:
            raise http.client.IncompleteRead(lines.last_line)
        if self.status > MAX_STATUS:
            raise http.client.BadStatusLine(f"status {self.status}")

    def _is_interim(self) -> bool:
        """Tell whether another response follows (RFC 9110, section 15.2)."""
        if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise http.client.BadStatusLine("101 without a request to upgrade")
        return 100 <= self.status < 200
