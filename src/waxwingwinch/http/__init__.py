"""HTTP requests over single-use connections, independent of wire formats."""

from waxwingwinch.http._exchange import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    ORDER_SOCKET_OPTIONS,
    ORDER_TCP_USER_TIMEOUT_SECONDS,
    PLAIN_SOCKET_OPTIONS,
    RESPONSE_TIMEOUT_SECONDS,
    TRANSPORT_ERRORS,
    AnswerMissing,
    ConnectionBroken,
    ConnectTimedOut,
    Exchange,
    HttpReply,
    HttpRequest,
    NotSent,
    SocketOption,
    connect_error,
    exchange,
)
from waxwingwinch.http._sockets import is_closed_by_peer
from waxwingwinch.http._whole_heads import WholeHeadResponse

__all__ = [
    "RESPONSE_TIMEOUT_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
    "ORDER_TCP_USER_TIMEOUT_SECONDS",
    "MAX_BODY_BYTES",
    "ORDER_SOCKET_OPTIONS",
    "PLAIN_SOCKET_OPTIONS",
    "TRANSPORT_ERRORS",
    "AnswerMissing",
    "ConnectTimedOut",
    "ConnectionBroken",
    "Exchange",
    "HttpReply",
    "HttpRequest",
    "NotSent",
    "SocketOption",
    "WholeHeadResponse",
    "connect_error",
    "exchange",
    "is_closed_by_peer",
]
