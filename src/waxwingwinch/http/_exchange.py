"""
HTTP requests whose errors state whether the request may have been sent.

Each request opens a new connection. With a pooled connection that the server
has closed meanwhile it would be uncertain whether the server read the request,
and a retry inside the HTTP client would hide that uncertainty.
"""

import math
import socket
import struct
import time
from functools import partial
from http.client import HTTPException
from typing import Any

from attrs import frozen
from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError

from waxwingwinch._json import decode_json
from waxwingwinch._types import Address
from waxwingwinch.http._errors import (
    AnswerMalformed,
    AnswerMissing,
    ConnectTimedOut,
    NotSent,
)
from waxwingwinch.http._whole_heads import WholeHeadResponse

#: Longest wait for a connection.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Default of the longest wait for a complete response.
RESPONSE_TIMEOUT_SECONDS = 5.0
#: Time without acknowledgement of sent bytes of an order after which the
#: kernel closes the connection (``TCP_USER_TIMEOUT``). A new holder of a duty
#: waits this long before its first order, since TCP may retransmit an order of
#: the former holder until then.
ORDER_TCP_USER_TIMEOUT_SECONDS = 2.0

#: Largest accepted response body.
MAX_BODY_BYTES = 64 * 1_024 * 1_024

_MILLISECONDS_PER_SECOND = 1_000
_READ_BYTES = 65_536
#: ``struct linger`` with a timeout of 0: closing discards unsent bytes.
_LINGER_DISCARD = struct.pack("ii", 1, 0)

SocketOption = tuple[int, int, int | bytes]

#: Options of ordinary connections.
PLAIN_SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
#: Options of connections that carry orders: after a process is killed, none of
#: its unsent bytes arrive late.
ORDER_SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    *PLAIN_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_DISCARD),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(ORDER_TCP_USER_TIMEOUT_SECONDS * _MILLISECONDS_PER_SECOND),
    ),
)

#: Errors that the HTTP client can raise during a request.
TRANSPORT_ERRORS = (OSError, HTTPError, HTTPException, ValueError)


@frozen
class HttpRequest:
    """
    An HTTP request.

    :param method: HTTP method.
    :param path: Path and query.
    :param headers: Header names and values.
    :param body: Request body; None for no body.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@frozen
class HttpReply:
    """
    A complete HTTP response.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """
        Return the first value of a header; None if it is missing.

        :param name: Header name; case does not matter.
        """
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    def json(self) -> Any:
        """
        Return the body decoded as JSON.

        :raises ValueError: If the body is not JSON or exceeds a bound of
            ``decode_json``.
        """
        return decode_json(self.body, MAX_BODY_BYTES)


def connect_error(address: Address, error: Exception) -> NotSent:
    """
    Return the error for a connection that was not made.

    :param address: The server.
    :param error: The error of the HTTP client.
    """
    kind = ConnectTimedOut if isinstance(error, ConnectTimeoutError) else NotSent
    return kind(f"{address}: {error}")


class Exchange:
    """
    A request sent on a new connection, whose response body can be read.

    :param address: The server.
    :param request: The request to send.
    :param connect_timeout_seconds: Longest wait for the connection.
    :param response_timeout_seconds: Longest wait for the response head.
    :param socket_options: Options of the connection.
    :raises NotSent: If connecting failed.
    :raises AnswerMalformed: If the response head violates the grammar.
    :raises AnswerMissing: If no response head was received.
    """

    def __init__(
        self,
        address: Address,
        request: HttpRequest,
        connect_timeout_seconds: float,
        response_timeout_seconds: float,
        socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
    ) -> None:
        self._address = address
        self._connection = HTTPConnection(
            address.host,
            address.port,
            timeout=connect_timeout_seconds,
            socket_options=list(socket_options),
        )
        try:
            self._connection.connect()
        except TRANSPORT_ERRORS as error:
            self._connection.close()
            raise connect_error(address, error) from error
        # HTTPConnection drops its socket once the response announces that the
        # server will close, so close() needs a separate reference.
        self._socket = self._connection.sock
        try:
            self.response = self._send(request, response_timeout_seconds)
        except AnswerMalformed as error:
            self.close()
            raise AnswerMalformed(f"{address}: {error}") from error
        except TRANSPORT_ERRORS as error:
            self.close()
            raise AnswerMissing(f"{address}: {error!r}") from error

    def _send(self, request: HttpRequest, timeout_seconds: float) -> HTTPResponse:
        end_seconds = time.monotonic() + timeout_seconds
        self._connection.response_class = partial(  # type: ignore[assignment]
            WholeHeadResponse, end_seconds=end_seconds
        )
        # HTTPConnection applies its timeout to the socket when it sends.
        self._connection.timeout = timeout_seconds
        headers = HTTPHeaderDict(request.headers)
        headers["Connection"] = "close"
        self._connection.request(
            request.method,
            request.path,
            body=request.body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        return self._connection.getresponse()

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read the received bytes of the body, waiting for at least one.

        :param timeout_seconds: Longest wait.
        :returns: Bytes of the body; empty at its end.
        :raises AnswerMalformed: If its framing violates the grammar.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        if timeout_seconds <= 0:
            raise AnswerMissing("timed out before the end of the response body")
        try:
            wire_response: Any = self.response._original_response
            wire_response.read_until(time.monotonic() + timeout_seconds)
            return self.response.read1(_READ_BYTES)
        except AnswerMalformed as error:
            raise AnswerMalformed(f"{self._address}: {error}") from error
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def read_all(
        self,
        deadline_seconds: float,
        max_body_bytes: int = MAX_BODY_BYTES,
        min_bytes_per_second: float = math.inf,
    ) -> bytes:
        """
        Read the rest of the body.

        :param deadline_seconds: Monotonic time at which reading times out.
        :param max_body_bytes: Largest accepted body.
        :param min_bytes_per_second: Rate by which a longer body takes longer.
        :raises AnswerMissing: If the body was truncated, timed out or is
            longer than that.
        """
        body = bytearray()
        timeout_seconds = deadline_seconds - time.monotonic()
        while chunk := self.read_some(timeout_seconds):
            body += chunk
            end_seconds = deadline_seconds + len(body) / min_bytes_per_second
            timeout_seconds = end_seconds - time.monotonic()
            if len(body) > max_body_bytes:
                raise AnswerMissing(f"response body exceeds {max_body_bytes} bytes")
        return bytes(body)

    def close(self) -> None:
        """Shut down and close the socket immediately, from any thread."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The connection is already closed.
        self._socket.close()
        self._connection.close()


def exchange(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
    max_body_bytes: int = MAX_BODY_BYTES,
    min_bytes_per_second: float = math.inf,
) -> HttpReply:
    """
    Send a request and read the complete response.

    :param address: The server.
    :param request: The request to send.
    :param timeout_seconds: Longest wait for the complete response, counted
        from the start of connecting.
    :param connect_timeout_seconds: Longest wait for the connection.
    :param socket_options: Options of the connection.
    :param max_body_bytes: Largest accepted response body.
    :param min_bytes_per_second: Rate at which received bytes of the body
        prolong the time-out.
    :raises NotSent: If no byte of the request left the process.
    :raises AnswerMissing: If no complete response was received.
    """
    deadline_seconds = time.monotonic() + timeout_seconds
    http_exchange = Exchange(
        address,
        request,
        min(connect_timeout_seconds, timeout_seconds),
        timeout_seconds,
        socket_options,
    )
    try:
        body = http_exchange.read_all(
            deadline_seconds, max_body_bytes, min_bytes_per_second
        )
        headers = tuple(http_exchange.response.headers.items())
        return HttpReply(http_exchange.response.status, headers, body)
    finally:
        http_exchange.close()
