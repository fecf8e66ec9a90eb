"""Reads the body of a request until a time at which it must be whole."""

import socket
from typing import Any, Protocol

from waxwingwinch.kernel import Clock

#: Longest time in which a body may arrive if neither its caller's deadline nor
#: its route allow for more.
BODY_SECONDS = 30.0


class ByteStream(Protocol):
    """A buffered stream of what a caller sends."""

    def readinto1(self, buffer: memoryview) -> int:
        """
        Read what has arrived, waiting for at least a byte.

        :param buffer: Filled from its start.
        :returns: Number of bytes read; 0 at the end of the stream.
        """

    def readline(self, size: int) -> bytes:
        """
        Read a line.

        :param size: Maximum length of what is returned.
        """


class CallerStream:
    """
    A stream whose reads have one end in common, and each a longest time.

    :param stream: The stream.
    :param connection: The caller's socket.
    :param clock: Source of the present time.
    :param end_seconds: Monotonic time at which reading ends.
    :param pause_seconds: Longest time without any byte.
    """

    def __init__(
        self,
        stream: Any,
        connection: socket.socket,
        clock: Clock,
        end_seconds: float,
        pause_seconds: float,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._clock = clock
        self._end_seconds = end_seconds
        self._pause_seconds = pause_seconds

    def readinto1(self, buffer: memoryview) -> int:
        """
        Read what has arrived, waiting for at least a byte.

        :param buffer: Filled from its start.
        :returns: Number of bytes read; 0 at the end of the stream.
        :raises TimeoutError: If nothing arrived in time.
        """
        left_seconds = self._end_seconds - self._clock.now_seconds()
        if left_seconds <= 0.0:
            # The text by which the server knows the timeouts of its sockets.
            raise TimeoutError("timed out")
        self._connection.settimeout(min(left_seconds, self._pause_seconds))
        size: int = self._stream.readinto1(buffer)
        return size

    def readline(self, size: int) -> bytes:
        """
        Read a line byte by byte, so that each wait counts.

        :param size: Maximum length of what is returned.
        :raises TimeoutError: If it isn't whole in time.
        """
        line = bytearray()
        byte = memoryview(bytearray(1))
        while len(line) < size and not line.endswith(b"\n"):
            if not self.readinto1(byte):
                break
            line += byte
        return bytes(line)


def body_end_seconds(
    now_seconds: float,
    deadline_seconds: float | None,
    route_seconds: float,
    pause_seconds: float,
) -> float:
    """
    Return the monotonic time at which a body must have arrived.

    :param now_seconds: Monotonic time.
    :param deadline_seconds: When the caller times out; None if unknown.
    :param route_seconds: Timeout of the request's route; 0 if it has none.
    :param pause_seconds: Longest time without any byte.
    """
    end_seconds = now_seconds + max(route_seconds, BODY_SECONDS)
    if deadline_seconds is not None:
        end_seconds = min(end_seconds, deadline_seconds)
    return max(end_seconds, now_seconds + pause_seconds)
