"""Responses whose heads are whole and well-formed, read until an end."""

import http.client
import io
import socket
import time
from http import HTTPStatus
from typing import Any, cast

from waxwingwinch.http._grammar import (
    BodyOfLength,
    BodyUntilClose,
    ChunkedBody,
    Field,
    NoBody,
    StatusLine,
    check_chunk_end,
    decide_framing,
    parse_chunk_size,
    parse_field,
    parse_status_line,
    strip_line_end,
)

#: Largest head, with the interim responses before it; several times what
#: servers send.
MAX_HEAD_BYTES = 64 * 1_024
#: Largest number of fields, which is that of ``http.client``.
MAX_FIELDS = 100
#: Largest line before a chunk, and of a trailer; servers accept as much of a
#: field of a request.
MAX_CHUNK_LINE_BYTES = 8_192


class _HeadReader:
    """
    Reads the heads of a response and of the interim ones before it.

    :param reader: The reader of the connection.
    """

    def __init__(self, reader: io.BufferedIOBase) -> None:
        self._reader = reader
        self._read_bytes = 0

    def read_head(self) -> tuple[StatusLine, tuple[Field, ...]]:
        """
        Read a head.

        :raises http.client.RemoteDisconnected: If the connection ends before
            its first byte.
        :raises http.client.IncompleteRead: If the connection ends in it.
        :raises AnswerMalformed: If it violates the grammar.
        :raises http.client.HTTPException: If it is too large.
        """
        status_line = parse_status_line(self._read_line())
        fields: list[Field] = []
        while line := self._read_line():
            fields.append(parse_field(line))
            if len(fields) > MAX_FIELDS:
                raise http.client.HTTPException(
                    f"the head of a response has more than {MAX_FIELDS} fields"
                )
        return status_line, tuple(fields)

    def _read_line(self) -> bytes:
        """Return the next line without its end."""
        line = self._reader.readline(MAX_HEAD_BYTES + 1 - self._read_bytes)
        self._read_bytes += len(line)
        if self._read_bytes > MAX_HEAD_BYTES:
            raise http.client.HTTPException(
                f"the head of a response exceeds {MAX_HEAD_BYTES} bytes"
            )
        if not self._read_bytes:
            raise http.client.RemoteDisconnected(
                "Remote end closed connection without response"
            )
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return strip_line_end(line)


class _EndingReader(io.RawIOBase):
    """
    Reads a socket until an end, however many reads that takes.

    The timeout of a socket is that of each read, so a peer that sends a byte
    now and then would be waited for without end.

    :param connection: The socket.
    :param reader: Reads it.
    :param end_seconds: Monotonic time of the end; None for the timeout of the
        socket.
    """

    def __init__(
        self,
        connection: socket.socket,
        reader: io.RawIOBase,
        end_seconds: float | None,
    ) -> None:
        super().__init__()
        self._connection = connection
        self._reader = reader
        self.end_seconds = end_seconds

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
    A response whose head is whole and that follows the grammar.

    ``http.client`` takes a line that is no field for the end of the head, and
    a length or coding that it doesn't understand for none. What follows such a
    line is lost, and the body lasts until the connection ends.

    :param connection: The socket.
    :param debug_level: Level of debug output of ``http.client``.
    :param method: Method of the request.
    :param end_seconds: Monotonic time until which the head must have arrived;
        None for the timeout of the socket.
    """

    def __init__(
        self,
        connection: socket.socket,
        debug_level: int = 0,
        method: str | None = None,
        *,
        end_seconds: float | None = None,
    ) -> None:
        super().__init__(connection, debug_level, method)
        self._request_method = method or ""
        reader: Any = self.fp
        self._io = _EndingReader(connection, reader.detach(), end_seconds)
        self.fp = io.BufferedReader(self._io)

    def read_until(self, end_seconds: float | None) -> None:
        """
        Set until when the rest of the response is waited for.

        :param end_seconds: Monotonic time; None for the timeout of the socket.
        """
        self._io.end_seconds = end_seconds

    def begin(self) -> None:
        """
        Read the head of the final response; skip interim ones.

        :raises http.client.RemoteDisconnected: If the connection ends before
            its first byte.
        :raises http.client.IncompleteRead: If the connection ends in it.
        :raises http.client.BadStatusLine: If the server switches protocols.
        :raises AnswerMalformed: If a head violates the grammar.
        """
        head_reader = _HeadReader(cast(io.BufferedIOBase, self.fp))
        status_line, fields = head_reader.read_head()
        while status_line.is_interim:
            if status_line.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.BadStatusLine("101 without a request to upgrade")
            status_line, fields = head_reader.read_head()
        self._set_head(status_line, fields)

    def _set_head(self, status_line: StatusLine, fields: tuple[Field, ...]) -> None:
        """Set the attributes by which ``http.client`` reads the body."""
        framing = decide_framing(status_line, fields, self._request_method)
        self.version = 10 if status_line.minor_version == 0 else 11
        self.code = self.status = status_line.status
        self.reason = status_line.reason
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in fields:
            self.headers[name] = value
        self.chunked = False
        self.chunk_left: int | None = None
        self.length = None
        match framing:
            case NoBody():
                self.length = 0
            case BodyOfLength(length_bytes):
                self.length = length_bytes
            case ChunkedBody():
                self.chunked = True
        self.will_close = isinstance(framing, BodyUntilClose) or self._is_last()

    def _get_chunk_left(self) -> int | None:
        """
        Return what is left of the present chunk; None at the end of the body.

        ``http.client`` calls this in each read of a chunked body. The method
        of the base class accepts sizes that ``int()`` does, any two bytes for
        the end of a chunk, and trailers that break off.

        :raises AnswerMalformed: If the framing violates the grammar.
        """
        if not self.chunk_left:
            if self.chunk_left is not None:
                check_chunk_end(self._read_chunk_line())
            self.chunk_left = parse_chunk_size(self._read_chunk_line())
            if self.chunk_left == 0:
                while line := strip_line_end(self._read_chunk_line()):
                    parse_field(line)
                self._close_conn()  # type: ignore[attr-defined]
                self.chunk_left = None
        return self.chunk_left

    def _read_chunk_line(self) -> bytes:
        """Return the next line with its end."""
        reader = cast(io.BufferedIOBase, self.fp)
        line = reader.readline(MAX_CHUNK_LINE_BYTES)
        if line.endswith(b"\n"):
            return line
        if len(line) == MAX_CHUNK_LINE_BYTES:
            raise http.client.LineTooLong("chunk line")
        raise http.client.IncompleteRead(line)

    def _is_last(self) -> bool:
        """Tell whether the server closes the connection (RFC 9112, 9.3)."""
        options = {
            option.strip().lower()
            for value in self.headers.get_all("Connection", ())
            for option in value.split(",")
        }
        if self.version == 10:
            return "keep-alive" not in options
        return "close" in options
