"""Responses whose heads are complete."""

import http.client
import io
from typing import Any

#: The line that ends a head.
_HEAD_ENDS = (b"\r\n", b"\n")


class _LineReader:
    """
    Reads the lines of a head.

    :param reader: The reader of the connection.
    """

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        #: The last line read; empty at the end of the connection.
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """
        Read a line, or a part of it at the end of the connection.

        :param limit: Maximum number of bytes.
        """
        self.last_line = self._reader.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class WholeHeadResponse(http.client.HTTPResponse):
    """
    A response that counts as broken off if its connection ends in its head.

    ``http.client`` takes the end of the connection for the end of the head, so
    that a response that breaks off before its framing has an empty body.
    """

    def begin(self) -> None:
        """
        Read the head.

        :raises http.client.IncompleteRead: If the connection ends in it.
        """
        reader: Any = self.fp
        lines: Any = _LineReader(reader)
        self.fp = lines
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = reader
        if lines.last_line not in _HEAD_ENDS:
            raise http.client.IncompleteRead(lines.last_line)
