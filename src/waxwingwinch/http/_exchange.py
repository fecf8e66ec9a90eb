"""
HTTP calls that tell exactly whether a request can have left the process.

Each call opens its own connection. A pooled connection that the server has
closed meanwhile would leave open whether the request was read, and a retry
inside the client would hide it.
"""

import json
import socket
import struct
import time
from http.client import HTTPException
from typing import Any

from attrs import frozen
from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from waxwingwinch._types import Address

#: Longest wait for a connection.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Longest wait for a whole answer if the caller names no other.
ANSWER_TIMEOUT_SECONDS = 5.0
#: How long bytes of an order stay unacknowledged before the kernel gives up;
#: a new holder of a duty waits this long before its first order.
CONTROL_USER_TIMEOUT_SECONDS = 2.0

#: Longest body that is taken in.
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
#: Options of connections that carry orders: a process that is killed leaves
#: no bytes behind that arrive late.
ORDER_SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    *PLAIN_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_DISCARD),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(CONTROL_USER_TIMEOUT_SECONDS * _MILLISECONDS_PER_SECOND),
    ),
)

#: What a call can raise while it is under way.
TRANSPORT_ERRORS = (OSError, HTTPError, HTTPException, ValueError)


class NotSent(Exception):
    """No byte of the request left the process."""


class AnswerMissing(Exception):
    """The request may have arrived, but its whole answer did not come."""


@frozen
class HttpRequest:
    """
    One request.

    :param method: HTTP method.
    :param path: Path and query.
    :param headers: Header names and values.
    :param body: Request body; None for none.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@frozen
class HttpReply:
    """
    One whole answer.

    :param status: HTTP status.
    :param headers: Header names and values.
    :param body: The body, complete.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """
        Return the value of a header, or None.

        :param name: Name in any case.
        """
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None

    def json(self) -> Any:
        """
        Return the decoded body.

        :raises ValueError: If the body is not JSON.
        """
        return json.loads(self.body)


class Exchange:
    """
    A request that was sent on its own connection.

    :param address: The server.
    :param request: What to send.
    :param connect_timeout_seconds: Longest wait for the connection.
    :param answer_timeout_seconds: Longest wait for the head of the answer.
    :param socket_options: Options of the connection.
    :raises NotSent: If no connection was made.
    :raises AnswerMissing: If the head of the answer did not come.
    """

    def __init__(
        self,
        address: Address,
        request: HttpRequest,
        connect_timeout_seconds: float,
        answer_timeout_seconds: float,
        socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
    ) -> None:
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
            raise NotSent(f"{address}: {error}") from error
        # The connection gives up its socket once the server announces that
        # it will close, so a reference is kept for closing at once.
        self._socket = self._connection.sock
        try:
            self.response = self._send(request, answer_timeout_seconds)
        except TRANSPORT_ERRORS as error:
            self.close()
            raise AnswerMissing(f"{address}: {error!r}") from error

    def _send(self, request: HttpRequest, timeout_seconds: float) -> HTTPResponse:
        # The connection sets its own timeout again when it sends.
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
        Read what has arrived, waiting for the first byte.

        :param timeout_seconds: Longest wait.
        :returns: Bytes of the body; empty at its end.
        :raises AnswerMissing: If the body was cut short or did not come.
        """
        if timeout_seconds <= 0:
            raise AnswerMissing("timed out")
        try:
            if not self.response.closed:
                # A response that was read to its end has given up its socket.
                self._socket.settimeout(timeout_seconds)
            return self.response.read1(_READ_BYTES)
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def read_all(self, deadline_seconds: float) -> bytes:
        """
        Read the whole body.

        :param deadline_seconds: Monotonic time at which to give up.
        :raises AnswerMissing: If the body was cut short, came too late or
            is longer than ``MAX_BODY_BYTES``.
        """
        body = bytearray()
        while part := self.read_some(deadline_seconds - time.monotonic()):
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise AnswerMissing("body too long")
        return bytes(body)

    def close(self) -> None:
        """Close the socket at once, from any thread."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The peer was faster.
        self._socket.close()
        self._connection.close()


def exchange(
    address: Address,
    request: HttpRequest,
    timeout_seconds: float,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    socket_options: tuple[SocketOption, ...] = PLAIN_SOCKET_OPTIONS,
) -> HttpReply:
    """
    Send a request and read the whole answer.

    :param address: The server.
    :param request: What to send.
    :param timeout_seconds: Longest wait in all.
    :param connect_timeout_seconds: Longest wait for the connection.
    :param socket_options: Options of the connection.
    :raises NotSent: If no byte of the request left the process.
    :raises AnswerMissing: If the whole answer did not come.
    """
    deadline_seconds = time.monotonic() + timeout_seconds
    sent = Exchange(
        address,
        request,
        min(connect_timeout_seconds, timeout_seconds),
        timeout_seconds,
        socket_options,
    )
    try:
        body = sent.read_all(deadline_seconds)
        headers = tuple(sent.response.headers.items())
        return HttpReply(sent.response.status, headers, body)
    finally:
        sent.close()
