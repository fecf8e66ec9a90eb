"""Requests whose heads are parsed after they have arrived whole."""

import io
from typing import Any

from cheroot.server import HTTPRequest

from waxwingwinch.gateway._http_parser import HeaderTable, StrictHeaderReader
from waxwingwinch.gateway._memory_account import MemoryExhausted
from waxwingwinch.gateway._request_log_lines import (
    CallerConnectionClosed,
    RequestMalformed,
)
from waxwingwinch.gateway.callers._bounds import MAX_HEADER_FIELDS
from waxwingwinch.gateway.callers._head_price import head_price_bytes

#: ``Retry-After`` of a request whose head there is no memory for; it is not
#: spread, as the next head may come at once.
HEAD_RETRY_SECONDS = 0.5
#: Part of the memory for requests and answers that new requests leave free.
REQUEST_SPARE_FRACTION = 0.125


class CallerRequest(HTTPRequest):  # type: ignore[misc]
    """A request at one of the listening addresses."""

    header_reader = StrictHeaderReader()
    #: True if the fields of the query are parsed.
    parses_query = False
    #: Part of the memory that this kind of request leaves free.
    spare_fraction = REQUEST_SPARE_FRACTION

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)  # type: ignore[no-untyped-call]
        self.inheaders = HeaderTable()

    def parse_request(self) -> None:
        """Parse the head that the connection has gathered."""
        head: bytes = self.conn.take_head()
        if len(head) > self.server.max_request_header_size:
            self._refuse_size(head)
            return
        if head.count(b"\n") > MAX_HEADER_FIELDS + 2:
            self.simple_response("431 Request Header Fields Too Large", "fields")
            return
        try:
            price_bytes = head_price_bytes(head, self.parses_query)
            self.conn.reserve(price_bytes, self.spare_fraction)
        except MemoryExhausted as exhausted:
            self._refuse_for_memory(exhausted)
            return
        self.rfile = io.BytesIO(head)
        self.ready = self.read_request_line() and bool(
            self.read_request_headers()  # type: ignore[no-untyped-call]
        )

    def read_request_line(self) -> bool:
        """Read the request line; return False if it was refused."""
        try:
            is_valid = bool(super().read_request_line())  # type: ignore[no-untyped-call]
        except ValueError as error:
            # The server lets through errors of its parser of URLs.
            self.simple_response("400 Bad Request", f"malformed target: {error}")
            return False
        self.server.note_request(self.conn)
        return is_valid

    @property
    def has_body(self) -> bool:
        """True if a body follows the head of the request."""
        is_chunked = b"Transfer-Encoding" in self.inheaders
        return is_chunked or int(self.inheaders.get(b"Content-Length", b"0")) > 0

    def close_with_rest(self) -> None:
        """Close the connection after the response; its request isn't read."""
        # The next request on the connection can't be told apart from the
        # rest of the body.
        self.close_connection = True
        self.conn.has_rest = True

    def simple_response(self, status: str, msg: str = "", more: str = "") -> None:
        """
        Refuse a request whose head is malformed.

        :param status: Status code and reason phrase.
        :param msg: The error, for the log.
        :param more: Further header lines.
        """
        self.close_with_rest()
        RequestMalformed(int(str(status).partition(" ")[0]), str(msg)).write()
        self._write_head(status, more)

    def _write_head(self, status: str, more: str = "") -> None:
        head = (
            f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n{more}Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1"))
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()

    def _refuse_size(self, head: bytes) -> None:
        reason = "the head exceeds the maximum allowed bytes"
        if b"\r\n" not in head[: self.server.max_request_header_size]:
            self.simple_response("414 Request-URI Too Long", reason)
        else:
            self.simple_response("413 Request Entity Too Large", reason)

    def _refuse_for_memory(self, exhausted: MemoryExhausted) -> None:
        self.close_with_rest()
        self.server.note_exhausted(exhausted)
        self._write_head(
            "503 Service Unavailable", f"Retry-After: {HEAD_RETRY_SECONDS}\r\n"
        )
