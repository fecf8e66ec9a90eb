"""Connections to upstreams that can be aborted from another thread."""

import enum
import select
import socket
import threading
import time
from typing import Any

from attrs import define
from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from waxwingwinch._types import Address
from waxwingwinch.gateway._response_reader import BufferedResponse, ResponseReader
from waxwingwinch.http import TRANSPORT_ERRORS, AnswerMissing, NotSent

#: Connect timeout. Links have a latency of a few milliseconds; a lost SYN is
#: retransmitted only after 1 s, and connecting to another upstream is faster.
CONNECT_TIMEOUT_SECONDS = 0.3
#: Idle time before the first TCP keepalive probe and interval between probes.
KEEPALIVE_INTERVAL_SECONDS = 1
#: Unanswered keepalive probes after which the kernel drops the connection.
KEEPALIVE_PROBES = 2
#: Time for which sent data may stay unacknowledged (``TCP_USER_TIMEOUT``).
USER_TIMEOUT_MS = 2_000
#: Idle time for which a connection may be reused if the upstream declares no
#: idle timeout.
DEFAULT_REUSE_SECONDS = 2.0
#: Fraction of the upstream's idle timeout for which a connection may be
#: reused.
REUSE_FRACTION = 0.5
#: Maximum number of idle connections per upstream.
MAX_IDLE_CONNECTIONS = 8
#: Interval at which expired idle connections are closed; a small part of the
#: time for which they may be reused.
SWEEP_INTERVAL_SECONDS = 1.0

_READ_BYTES = 65_536

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class CancelReason(enum.Enum):
    """Why a request was cancelled."""

    CALLER_GONE = "caller_gone"


class Cancelled(Exception):
    """
    The request was cancelled.

    :param reason: Why it was cancelled.
    """

    def __init__(self, reason: CancelReason) -> None:
        super().__init__(reason.value)
        #: Why the request was cancelled.
        self.reason = reason


class Cancellation:
    """Cancels a request at its upstream; may be used from any thread."""

    def __init__(self) -> None:
        self._reason: CancelReason | None = None
        self._connection: UpstreamConnection | None = None
        self._lock = threading.Lock()

    @property
    def reason(self) -> CancelReason | None:
        """Why the request was cancelled; None if it was not."""
        with self._lock:
            return self._reason

    def attach(self, connection: "UpstreamConnection") -> None:
        """
        Set the connection to abort when the request is cancelled.

        :param connection: The connection that carries the request.
        :raises Cancelled: If the request is already cancelled.
        """
        with self._lock:
            if self._reason is not None:
                raise Cancelled(self._reason)
            self._connection = connection

    def detach(self) -> None:
        """Unset the connection; a cancellation no longer aborts it."""
        with self._lock:
            self._connection = None

    def cancel(self, reason: CancelReason) -> None:
        """
        Cancel the request and abort its connection.

        :param reason: Why it is cancelled; the first reason is kept.
        """
        with self._lock:
            if self._reason is None:
                self._reason = reason
            connection = self._connection
        if connection is not None:
            connection.abort()


class UpstreamConnection:
    """
    A connection to an upstream, for one request at a time.

    :param address: Address of the upstream.
    :param timeout_seconds: Timeout for connecting; capped at
        :data:`CONNECT_TIMEOUT_SECONDS`.
    :raises NotSent: If connecting failed.
    """

    def __init__(self, address: Address, timeout_seconds: float) -> None:
        self._connection = HTTPConnection(
            address.host,
            address.port,
            timeout=max(min(timeout_seconds, CONNECT_TIMEOUT_SECONDS), 0.001),
            socket_options=list(SOCKET_OPTIONS),
        )
        try:
            self._connection.connect()
        except TRANSPORT_ERRORS as error:
            self._connection.close()
            raise NotSent(f"{address}: {error}") from error
        # urllib3 drops its reference to the socket once the upstream announces
        # that it will close the connection; abort() still needs the socket.
        self._socket = self._connection.sock
        self._response: HTTPResponse | None = None
        self._reader: ResponseReader | None = None
        self._is_aborted = False
        self._connection.response_class = self._create_response  # type: ignore[assignment]

    def _create_response(self, *arguments: Any, **named: Any) -> BufferedResponse:
        response = BufferedResponse(*arguments, **named)
        self._reader = response.reader
        return response

    def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_seconds: float,
    ) -> HTTPResponse:
        """
        Send a request and read the head of the response.

        :param method: HTTP method.
        :param target: Path and query, sent unchanged.
        :param headers: All headers, including ``Host``, except
            ``Content-Length``.
        :param body: The complete body.
        :param timeout_seconds: Timeout of each socket operation.
        :raises AnswerMissing: If no response was received.
        """
        sent_headers = HTTPHeaderDict(headers)
        for name in ("User-Agent", "Accept-Encoding"):
            sent_headers.setdefault(name, SKIP_HEADER)
        # urllib3 sets the socket's timeout to this value when it sends.
        self._connection.timeout = max(timeout_seconds, 0.001)
        try:
            self._connection.request(
                method,
                target,
                body=body or None,
                headers=sent_headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = self._connection.getresponse()
            return self._response
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read the available bytes of the body; wait for at least one.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        response = self._response
        if response is None or timeout_seconds <= 0:
            raise AnswerMissing("timed out before the end of the response body")
        try:
            if not response.closed:
                self._socket.settimeout(timeout_seconds)
            part = response.read1(_READ_BYTES)
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error
        if not part and self._is_aborted:
            # A body without framing ends with its connection, so its end can't
            # be told from the abort.
            raise AnswerMissing("aborted before the end of the response body")
        return part

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the complete body.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        end_seconds = time.monotonic() + timeout_seconds
        body = bytearray()
        while part := self.read_some(end_seconds - time.monotonic()):
            body += part
        return bytes(body)

    def has_no_unread_data(self) -> bool:
        """
        Tell whether the connection is open and has no unread data.

        Data after the end of the last response counts, also if the reader of
        that response has taken it from the socket.
        """
        if self._connection.sock is None:
            return False
        if self._reader is not None and self._reader.has_surplus:
            return False
        try:
            poller = select.poll()
            poller.register(self._socket, select.POLLIN)
            return not poller.poll(0)
        except (OSError, ValueError):
            return False

    def abort(self) -> None:
        """Shut the connection down at once; may be called from any thread."""
        self._is_aborted = True
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The upstream has already closed the connection.

    def close(self) -> None:
        """Close the connection."""
        self.abort()
        if self._response is not None:
            self._response.close()
        self._connection.close()
        self._socket.close()


@define(eq=False)
class _IdleConnection:
    """
    An idle connection.

    :param connection: The connection.
    :param usable_until_seconds: Monotonic time until which it may be reused.
    """

    connection: UpstreamConnection
    usable_until_seconds: float


class ConnectionPool:
    """A pool of idle connections to upstreams."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._last_sweep_seconds = 0.0
        self._lock = threading.Lock()

    def take(self, name: str, now_seconds: float) -> UpstreamConnection | None:
        """
        Remove and return an idle connection.

        :param name: Identifies the upstream and its incarnation.
        :param now_seconds: Monotonic time.
        :returns: None if there is no usable connection.
        """
        while True:
            with self._lock:
                idle_connections = self._idle.get(name)
                if not idle_connections:
                    return None
                idle = idle_connections.pop()
            is_fresh = now_seconds < idle.usable_until_seconds
            if is_fresh and idle.connection.has_no_unread_data():
                return idle.connection
            idle.connection.close()

    def put(
        self,
        name: str,
        connection: UpstreamConnection,
        idle_timeout_seconds: float | None,
        now_seconds: float,
    ) -> None:
        """
        Add a connection whose response was read to its end.

        :param name: Identifies the upstream and its incarnation.
        :param connection: The connection.
        :param idle_timeout_seconds: Time for which the upstream keeps an idle
            connection open; None if it declares none.
        :param now_seconds: Monotonic time.
        """
        reuse_seconds = (
            DEFAULT_REUSE_SECONDS
            if idle_timeout_seconds is None
            else idle_timeout_seconds * REUSE_FRACTION
        )
        idle = _IdleConnection(connection, now_seconds + reuse_seconds)
        with self._lock:
            idle_connections = self._idle.setdefault(name, [])
            idle_connections.append(idle)
            evicted = (
                [idle_connections.pop(0)]
                if len(idle_connections) > MAX_IDLE_CONNECTIONS
                else []
            )
            evicted += self._take_expired(now_seconds)
        for entry in evicted:
            entry.connection.close()

    def _take_expired(self, now_seconds: float) -> list[_IdleConnection]:
        """Remove expired connections, also those to removed upstreams."""
        if now_seconds < self._last_sweep_seconds + SWEEP_INTERVAL_SECONDS:
            return []
        self._last_sweep_seconds = now_seconds
        expired = []
        for name, idle_connections in list(self._idle.items()):
            usable = [
                entry
                for entry in idle_connections
                if now_seconds < entry.usable_until_seconds
            ]
            expired += [entry for entry in idle_connections if entry not in usable]
            if usable:
                self._idle[name] = usable
            else:
                del self._idle[name]
        return expired
