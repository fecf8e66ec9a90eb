"""Filtering of headers between callers and plain services."""

import string

from waxwingwinch._types import CustomerId
from waxwingwinch.entry._errors import ErrorCode, RequestFailed
from waxwingwinch.entry._http import IncomingRequest

#: Request headers that are forwarded to plain services. All others are
#: dropped, among them those with the caller's key.
PASSED_REQUEST_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Language",
    "Content-Type",
    "Idempotency-Key",
    "If-Modified-Since",
    "If-None-Match",
    "User-Agent",
)
#: Request header with the id of the customer, sent to plain services.
CUSTOMER_HEADER = "X-Customer-Id"
#: Header with which a caller can safely retry a non-idempotent request.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
#: Largest length of an idempotency key.
IDEMPOTENCY_KEY_MAX = 200
#: Response headers of plain services that are not forwarded to callers.
DROPPED_REPLY_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "set-cookie",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-customer-id",
        "x-request-id",
    }
)

_KEY_CHARACTERS = frozenset(string.ascii_letters + string.digits + string.punctuation)


def upstream_headers(
    request: IncomingRequest, customer_id: CustomerId
) -> tuple[tuple[str, str], ...]:
    """
    Return the headers to send to an upstream.

    :param request: The request of the caller.
    :param customer_id: The customer of the request; empty on open routes.
    """
    passed = [
        (name, value)
        for name in PASSED_REQUEST_HEADERS
        if (value := request.header(name)) is not None
    ]
    if customer_id:
        passed.append((CUSTOMER_HEADER, customer_id))
    return tuple(passed)


def caller_headers(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    """
    Return the headers to send to a caller.

    :param headers: Headers of the reply, as sent by the upstream.
    """
    return [pair for pair in headers if pair[0].lower() not in DROPPED_REPLY_HEADERS]


def idempotency_key(request: IncomingRequest) -> str | None:
    """
    Return the idempotency key of a request, if it has one.

    :param request: The request.
    :raises RequestFailed: If the key is malformed.
    """
    key = request.header(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return None
    if not 0 < len(key) <= IDEMPOTENCY_KEY_MAX or not _KEY_CHARACTERS.issuperset(key):
        text = (
            f"{IDEMPOTENCY_KEY_HEADER} must have 1 to {IDEMPOTENCY_KEY_MAX}"
            " printable ASCII characters and no spaces"
        )
        raise RequestFailed(400, ErrorCode.INVALID_REQUEST, text)
    return key
