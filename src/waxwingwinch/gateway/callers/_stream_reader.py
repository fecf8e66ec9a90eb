"""The stream of a caller's connection after the head of a request."""

import io
from typing import Any

from cheroot.makefile import MakeFile, StreamReader


class CallerReader(StreamReader):  # type: ignore[misc]
    """A buffered reader into which bytes read elsewhere can be put."""

    _read_buf: bytes
    _read_pos: int

    def has_data(self) -> bool:
        """Tell whether bytes have been read that nobody took."""
        return len(self._read_buf) > self._read_pos

    def feed(self, data: bytes) -> None:
        """
        Put bytes before those that are read next.

        :param data: The bytes.
        """
        self._read_buf = data + self.take_buffered()
        self._read_pos = 0

    def take_buffered(self) -> bytes:
        """Remove and return what has been read from the socket already."""
        buffered = bytes(self._read_buf[self._read_pos :])
        self._read_buf, self._read_pos = b"", 0
        return buffered


def caller_file(
    connection: Any, mode: str = "r", size: int = io.DEFAULT_BUFFER_SIZE
) -> Any:
    """
    Return a stream of a caller's connection.

    :param connection: The socket.
    :param mode: ``r`` in it for reading.
    :param size: Size of the buffer.
    """
    if "r" in mode:
        return CallerReader(connection, mode, size)
    return MakeFile(connection, mode, size)
