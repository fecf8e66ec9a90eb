"""HTTP requests over single-use connections, independent of wire formats."""

from waxwingwinch.http._errors import (
    AnswerMalformed,
    AnswerMissing,
    ConnectionBroken,
    ConnectTimedOut,
    NotSent,
)
from waxwingwinch.http._exchange import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    ORDER_SOCKET_OPTIONS,
    ORDER_TCP_USER_TIMEOUT_SECONDS,
    PLAIN_SOCKET_OPTIONS,
    RESPONSE_TIMEOUT_SECONDS,
    TRANSPORT_ERRORS,
    Exchange,
    HttpReply,
    HttpRequest,
    SocketOption,
    connect_error,
    exchange,
)
from waxwingwinch.http._grammar import (
    FIELD_NAME,
    FIELD_VALUE,
    check_chunk_end,
    parse_chunk_size,
    parse_field,
    strip_line_end,
)
from waxwingwinch.http._pools import CheckedPools
from waxwingwinch.http._sockets import is_closed_by_peer
from waxwingwinch.http._whole_heads import MAX_CHUNK_LINE_BYTES, WholeHeadResponse

__all__ = [
    "RESPONSE_TIMEOUT_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
    "FIELD_NAME",
    "FIELD_VALUE",
    "ORDER_TCP_USER_TIMEOUT_SECONDS",
    "MAX_BODY_BYTES",
    "MAX_CHUNK_LINE_BYTES",
    "ORDER_SOCKET_OPTIONS",
    "PLAIN_SOCKET_OPTIONS",
    "TRANSPORT_ERRORS",
    "AnswerMalformed",
    "AnswerMissing",
    "CheckedPools",
    "ConnectTimedOut",
    "ConnectionBroken",
    "Exchange",
    "HttpReply",
    "HttpRequest",
    "NotSent",
    "SocketOption",
    "WholeHeadResponse",
    "check_chunk_end",
    "connect_error",
    "exchange",
    "is_closed_by_peer",
    "parse_chunk_size",
    "parse_field",
    "strip_line_end",
]
