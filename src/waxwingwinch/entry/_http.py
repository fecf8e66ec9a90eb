"""Requests and replies, apart from the HTTP server that carries them."""

import re
import socket
import string
from collections.abc import Iterator

from attrs import field, frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Owner of the requests on routes open to all.
NOBODY = CustomerId("")
#: Longest request id of a caller that is echoed.
CALLER_REQUEST_ID_MAX = 128
#: Header that names a request; the value is made here.
REQUEST_ID_HEADER = "X-Request-Id"
#: Header in which a caller's own request id is echoed.
CALLER_REQUEST_ID_HEADER = "X-Caller-Request-Id"

_BEARER = "bearer "
_PRINTABLE = frozenset(string.ascii_letters + string.digits + "-_.:/+=")
_DOT_SEGMENT = re.compile(r"(^|/)(\.|%2e){1,2}(/|;|$)", re.IGNORECASE)
_HIDDEN_SEPARATOR = re.compile(r"//|\\|%2f|%5c|%00|%25|[\x00-\x20\x7f]", re.IGNORECASE)


@frozen
class IncomingRequest:
    """
    A request as received.

    :param request_id: Made here; names the request everywhere.
    :param method: HTTP method.
    :param path: Path without the query, as the caller wrote it.
    :param query: Query without the question mark.
    :param headers: Values by lower-case name.
    :param body: The whole body.
    :param arrived_seconds: Monotonic time at which it came.
    :param connection: The caller's socket; None if it isn't known.
    """

    request_id: str
    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(factory=dict, repr=False)
    body: bytes = field(default=b"", repr=False)
    arrived_seconds: float = 0.0
    connection: socket.socket | None = field(default=None, repr=False)

    def header(self, name: str) -> str | None:
        """
        Return a header.

        :param name: In any case.
        """
        return self.headers.get(name.lower())

    def key(self) -> str | None:
        """Return the key that came with the request, if one did."""
        authorization = self.header("Authorization")
        if authorization is not None:
            if not authorization.lower().startswith(_BEARER):
                return None
            return authorization[len(_BEARER) :].strip() or None
        return self.header("X-Api-Key") or None

    def caller_request_id(self) -> str | None:
        """Return the caller's own request id if it can be echoed."""
        value = self.header(REQUEST_ID_HEADER)
        if value is None or not 0 < len(value) <= CALLER_REQUEST_ID_MAX:
            return None
        return value if _PRINTABLE.issuperset(value) else None

    @property
    def target(self) -> str:
        """Path and query."""
        return f"{self.path}?{self.query}" if self.query else self.path


@frozen
class Reply:
    """
    What the caller gets.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: The whole body, or its parts in case of a stream.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterator[bytes]


def json_reply(
    status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
) -> Reply:
    """
    Return a reply with a JSON body.

    :param status: HTTP status.
    :param body: Encoded JSON.
    :param headers: Further headers.
    """
    return Reply(status, (("Content-Type", "application/json"), *headers), body)


def check_path(path: str) -> None:
    """
    Refuse a path that an upstream could read as another one.

    A route is chosen by the path as written. If the upstream resolved dot
    segments, doubled or encoded separators, a path under an open route could
    reach a keyed one.

    :param path: Path without the query.
    :raises RequestFailed: If it has such parts.
    """
    if _DOT_SEGMENT.search(path) or _HIDDEN_SEPARATOR.search(path):
        text = "the path has dot segments, doubled or encoded separators"
        raise RequestFailed(400, ErrorCode.INVALID_REQUEST, text)


def require_method(request: IncomingRequest, *methods: str) -> None:
    """
    Refuse other methods than the named ones.

    :param request: The request.
    :param methods: What the path allows.
    :raises RequestFailed: If it uses another one.
    """
    if request.method not in methods:
        raise RequestFailed(
            405,
            ErrorCode.METHOD_NOT_ALLOWED,
            f"{request.path} does not accept {request.method}",
            allowed_methods=methods,
        )
