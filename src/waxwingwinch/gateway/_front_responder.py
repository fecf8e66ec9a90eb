"""Writing responses to callers."""

import enum
from http import HTTPStatus
from typing import Any

from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._request_log_lines import SecondResponseDropped

#: Statuses whose responses end with their head.
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
#: Largest head and body that are joined to be sent in one packet.
MAX_JOINED_BYTES = 16 * 1_024


class BodyFraming(enum.Enum):
    """How a caller finds the end of a body."""

    #: The response has no body.
    NONE = enum.auto()
    #: It declares the length of its body.
    LENGTH = enum.auto()
    #: The body comes in chunks.
    CHUNKS = enum.auto()
    #: The body ends with its connection.
    CONNECTION = enum.auto()


class FrontResponder:
    """
    Writes one response to a caller's connection.

    :param request: The server's side of the request.
    """

    def __init__(self, request: Any) -> None:
        self._request = request
        self._framing = BodyFraming.LENGTH
        self._end_seconds = 0.0
        #: True once the complete response has been written.
        self.is_complete = False

    def write_until(self, end_seconds: float) -> None:
        """
        Set until when the caller may take its time to read the response.

        :param end_seconds: Monotonic time of the request's deadline.
        """
        self._end_seconds = end_seconds

    def respond(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """
        Write a complete response; abort one that has begun.

        :param status: HTTP status.
        :param headers: Headers except those that frame the body.
        :param body: The body.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._request.sent_headers:
            SecondResponseDropped(status).write()
            self.abort()
            return
        framing: tuple[tuple[str, str], ...] = ()
        if status not in BODILESS_STATUSES:
            framing = (("Content-Length", str(len(body))),)
        payload = b"" if self._request.method == b"HEAD" else body
        self._send(self._head(status, (*headers, *framing)), payload)
        self.is_complete = True

    def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body_bytes: int | None = None,
    ) -> None:
        """
        Write the head of a response whose body follows in parts.

        :param status: HTTP status.
        :param headers: Headers except those that frame the body.
        :param body_bytes: Size of the body; None if it is not known.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        framing: tuple[tuple[str, str], ...] = ()
        if status in BODILESS_STATUSES:
            self._framing = BodyFraming.NONE
        elif body_bytes is not None:
            self._framing = BodyFraming.LENGTH
            framing = (("Content-Length", str(body_bytes)),)
        elif self._request.response_protocol == "HTTP/1.0":
            # Such a caller knows no chunks.
            self._framing = BodyFraming.CONNECTION
            self._request.close_connection = True
        else:
            self._framing = BodyFraming.CHUNKS
            framing = (("Transfer-Encoding", "chunked"),)
        if self._request.method == b"HEAD":
            self._framing = BodyFraming.NONE
        self._send(self._head(status, (*headers, *framing)))

    def write(self, piece: bytes) -> None:
        """
        Write a part of the body.

        :param piece: The data; must not be empty.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        match self._framing:
            case BodyFraming.CHUNKS:
                self._send(b"%x\r\n" % len(piece), piece, b"\r\n")
            case BodyFraming.LENGTH | BodyFraming.CONNECTION:
                self._send(piece)

    def end(self) -> None:
        """
        Complete the body.

        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._framing is BodyFraming.CHUNKS:
            self._send(b"0\r\n\r\n")
        self.is_complete = True

    def abort(self) -> None:
        """Close the connection, so that the response is seen as truncated."""
        self._request.close_connection = True
        if self._framing is BodyFraming.CONNECTION:
            self._request.conn.must_reset = True

    def _head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
        self._request.sent_headers = True
        if self._request.server.is_last_answer(self._request.conn):
            self._request.close_connection = True
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _send(self, *parts: bytes) -> None:
        """Write parts to the socket, joined if that copies little."""
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = (b"".join(parts),)
        try:
            for part in parts:
                self._send_part(part)
        except (OSError, ValueError) as error:
            self._request.close_connection = True
            raise CallerDisconnected(repr(error)) from error

    def _send_part(self, part: bytes) -> None:
        server = self._request.server
        remaining_seconds = self._end_seconds - server.clock.now_seconds()
        connection = self._request.conn.socket
        # The timeout of a socket bounds a whole call of sendall().
        connection.settimeout(max(remaining_seconds, server.answer_timeout_seconds))
        # An answer that ends with its connection can't be cut: what has been
        # sent of it would look whole.
        if self._framing is not BodyFraming.CONNECTION:
            self._request.conn.blocked_since_seconds = server.clock.now_seconds()
        try:
            connection.sendall(part)
        finally:
            self._request.conn.blocked_since_seconds = None


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
