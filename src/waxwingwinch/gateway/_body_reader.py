"""Reading the body of a response; waiting for data consumes none of it."""

import enum
import select
import socket
import time

from attrs import define, field

from waxwingwinch.http import (
    MAX_CHUNK_LINE_BYTES,
    AnswerMissing,
    ConnectionBroken,
    check_chunk_end,
    parse_chunk_size,
    parse_field,
    strip_line_end,
)

#: What is read from the connection at once.
READ_BYTES = 65_536


class _ChunkState(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()
    COMPLETE = enum.auto()


@define
class ChunkDecoder:
    """Decodes a body with ``Transfer-Encoding: chunked``."""

    _state: _ChunkState = _ChunkState.SIZE
    _left_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Tell whether the last chunk and the trailer were decoded."""
        return self._state is _ChunkState.COMPLETE

    def decode(self, received: bytearray) -> bytes:
        """
        Remove the decodable part of the received bytes and return its data.

        :param received: Bytes received and not decoded yet; shortened.
        :raises AnswerMissing: If the framing is malformed.
        """
        data = bytearray()
        while not self.is_complete and self._step(received, data):
            pass
        return bytes(data)

    def _step(self, received: bytearray, data: bytearray) -> bool:
        """Decode one element; return False if more bytes are needed."""
        if self._state is _ChunkState.DATA:
            part = received[: self._left_bytes]
            data += part
            del received[: len(part)]
            self._left_bytes -= len(part)
            if self._left_bytes:
                return False
            self._state = _ChunkState.DATA_END
            return True
        line = _take_line(received)
        if line is None:
            return False
        match self._state:
            case _ChunkState.SIZE:
                self._left_bytes = parse_chunk_size(line)
                self._state = (
                    _ChunkState.DATA if self._left_bytes else _ChunkState.TRAILER
                )
            case _ChunkState.DATA_END:
                check_chunk_end(line)
                self._state = _ChunkState.SIZE
            case _ChunkState.TRAILER:
                field_line = strip_line_end(line)
                if field_line:
                    parse_field(field_line)
                else:
                    self._state = _ChunkState.COMPLETE
        return True


def _take_line(received: bytearray) -> bytes | None:
    """Remove and return a line with its end; None if it is incomplete."""
    end = received.find(b"\n")
    if end < 0:
        if len(received) > MAX_CHUNK_LINE_BYTES:
            raise AnswerMissing(f"a chunk line exceeds {MAX_CHUNK_LINE_BYTES} bytes")
        return None
    line = bytes(received[: end + 1])
    del received[: end + 1]
    return line


@define(eq=False)
class BodyReader:
    """
    Reads the body of one response.

    The body ends with its last chunk, at its declared length or, if it has
    neither, with the connection.

    :param connection: The upstream's socket.
    :param length: Declared length in bytes; None if there is none.
    :param chunks: Decodes the chunks; None for a body without chunks.
    :param received: Bytes received and not decoded yet.
    """

    connection: socket.socket
    length: int | None
    chunks: ChunkDecoder | None
    received: bytearray = field(factory=bytearray)
    _is_closed: bool = False
    _failure: AnswerMissing | None = None
    _decoded: bytes = b""

    def wait(self, timeout_seconds: float) -> bool:
        """
        Wait until a part of the body or its end has arrived.

        :param timeout_seconds: Longest wait.
        :returns: False if nothing that can be read has arrived in time.
        :raises AnswerMissing: If the body was truncated or is malformed.
        """
        end_seconds = time.monotonic() + timeout_seconds
        remaining_seconds = max(timeout_seconds, 0.0)
        while not self._has_arrived():
            if remaining_seconds < 0.0:
                # Trailers and chunk lines arrive, but no part of the body.
                return False
            if not readable((self.connection,), remaining_seconds):
                return False
            self._receive()
            remaining_seconds = end_seconds - time.monotonic()
        return True

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Return the part of the body that has arrived; wait for at least a byte.

        :param timeout_seconds: Longest wait; negative once its end has passed.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        if timeout_seconds < 0.0:
            raise AnswerMissing("timed out before the end of the response body")
        if not self.wait(timeout_seconds):
            raise AnswerMissing(
                f"no data of the response body for {timeout_seconds:.3f} s"
            )
        data, self._decoded = self._decoded, b""
        return data

    @property
    def is_complete(self) -> bool:
        """Tell whether the body has arrived to its end."""
        if self.chunks is not None:
            return self.chunks.is_complete
        if self.length is not None:
            return self.length == 0
        return self._is_closed

    @property
    def has_only_closed(self) -> bool:
        """Tell whether nothing but the end of an unframed body is left."""
        is_framed = self.chunks is not None or self.length is not None
        return self._is_closed and not is_framed and not self._decoded

    def _has_arrived(self) -> bool:
        """Decode what was received; tell whether a read would return."""
        if not self._decoded and self._failure is None:
            self._decoded = self._decode()
        if self._decoded:
            return True
        if self._failure is not None:
            # The kernel reports an error once and the end of the data after;
            # what follows a malformed line is no chunk.
            raise self._failure
        if self.is_complete:
            return True
        if self._is_closed:
            raise ConnectionBroken("connection closed before the end of the body")
        return False

    def _decode(self) -> bytes:
        if self.chunks is not None:
            try:
                return self.chunks.decode(self.received)
            except AnswerMissing as error:
                self._failure = error
                raise
        size = len(self.received) if self.length is None else self.length
        data = bytes(self.received[:size])
        del self.received[: len(data)]
        if self.length is not None:
            self.length -= len(data)
        return data

    def _receive(self) -> None:
        try:
            data = self.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._failure = AnswerMissing(repr(error))
            raise self._failure from error
        self.received += data
        self._is_closed = not data


def readable(
    connections: tuple[socket.socket, ...], timeout_seconds: float
) -> tuple[socket.socket, ...]:
    """
    Wait until one of several sockets has data, was closed or failed.

    :param connections: The sockets; a closed one counts as readable.
    :param timeout_seconds: Longest wait.
    :returns: The readable sockets; empty if there was none in time.
    """
    poller = select.poll()
    by_descriptor = {connection.fileno(): connection for connection in connections}
    if -1 in by_descriptor:
        return (by_descriptor[-1],)
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    timeout_ms = max(timeout_seconds, 0.0) * 1_000
    return tuple(by_descriptor[found] for found, _ in poller.poll(timeout_ms))
