"""HTTP calls and connections, below all wire formats."""

from waxwingwinch.http._exchange import (
    ANSWER_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    CONTROL_USER_TIMEOUT_SECONDS,
    MAX_BODY_BYTES,
    ORDER_SOCKET_OPTIONS,
    PLAIN_SOCKET_OPTIONS,
    TRANSPORT_ERRORS,
    AnswerMissing,
    Exchange,
    HttpReply,
    HttpRequest,
    NotSent,
    SocketOption,
    exchange,
)
from waxwingwinch.http._sockets import is_gone

__all__ = [
    "ANSWER_TIMEOUT_SECONDS",
    "CONNECT_TIMEOUT_SECONDS",
    "CONTROL_USER_TIMEOUT_SECONDS",
    "MAX_BODY_BYTES",
    "ORDER_SOCKET_OPTIONS",
    "PLAIN_SOCKET_OPTIONS",
    "TRANSPORT_ERRORS",
    "AnswerMissing",
    "Exchange",
    "HttpReply",
    "HttpRequest",
    "NotSent",
    "SocketOption",
    "exchange",
    "is_gone",
]
