"""Request heads that are refused before the application sees them."""

from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPRequest

from waxwingwinch._exceptions import Outcome
from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Headers that must not come twice, since readers may disagree which counts.
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


class CheckedHeaders(dict[bytes, bytes]):
    """
    Headers by name.

    :raises ValueError: If a header that decides about the request comes
        twice or an announced length is no number; the server answers 400.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in SINGLE_HEADERS and name in self:
            raise ValueError(f"{name.decode()} came twice.")
        if name == b"Content-Length" and not value.isdigit():
            raise ValueError("Malformed Content-Length Header.")
        super().__setitem__(name, value)


class EntryRequest(HTTPRequest):  # type: ignore[misc]
    """A request with a checked head and errors in the usual shape."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)  # type: ignore[no-untyped-call]
        self.inheaders = CheckedHeaders()

    def simple_response(self, status: str, msg: str = "") -> None:
        """
        Answer a request that the application doesn't see.

        :param status: Status code and reason.
        :param msg: What is wrong.
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
            # The caller has gone.
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
