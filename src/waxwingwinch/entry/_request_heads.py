"""Validation of request heads before they reach the application."""

from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPRequest

from waxwingwinch._exceptions import Outcome
from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Headers that may occur only once, since components may disagree on which
#: of two values applies.
SINGLE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"X-Api-Key",
    }
)


class ValidatedHeaders(dict[bytes, bytes]):
    """
    Headers by name, validated on insertion.

    :raises ValueError: If a header of :data:`SINGLE_HEADERS` occurs twice or
        ``Content-Length`` is not a number; the server answers with status
        400.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in SINGLE_HEADERS and name in self:
            raise ValueError(f"header {name.decode()} occurs more than once")
        if name == b"Content-Length" and not value.isdigit():
            raise ValueError("header Content-Length is not a decimal number")
        super().__setitem__(name, value)


class EntryRequest(HTTPRequest):  # type: ignore[misc]
    """A request with a validated head, and errors in the entry's format."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)  # type: ignore[no-untyped-call]
        self.inheaders = ValidatedHeaders()

    def simple_response(self, status: str, msg: str = "") -> None:
        """
        Answer a request that is not passed to the application.

        :param status: Status code and reason phrase.
        :param msg: Error message; empty for the reason phrase of the status.
        """
        number = int(str(status)[:3])
        self.close_connection = True
        body = _error(number, msg).body("")
        head = (
            f"HTTP/1.1 {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            # The caller has disconnected.
            pass


def _error(status: int, text: str) -> RequestFailed:
    text = text or HTTPStatus(status).phrase
    code, outcome = ErrorCode.INVALID_REQUEST, Outcome.NOT_RUN
    match status:
        case HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            code = ErrorCode.BODY_TOO_LARGE
        case HTTPStatus.REQUEST_TIMEOUT:
            code = ErrorCode.BODY_TIMEOUT
        case HTTPStatus.INTERNAL_SERVER_ERROR:
            code, outcome = ErrorCode.INTERNAL, Outcome.UNKNOWN
        case HTTPStatus.SERVICE_UNAVAILABLE:
            code = ErrorCode.OVERLOADED
    return RequestFailed(status, code, text, outcome)
