"""Connections to upstreams that can be aborted from another thread."""

import enum
import socket
import threading
import time
from functools import partial
from typing import Any, cast

from attrs import define
from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from waxwingwinch._types import Address
from waxwingwinch.gateway._body_reader import BodyReader, ChunkDecoder, readable
from waxwingwinch.http import (
    TRANSPORT_ERRORS,
    AnswerMissing,
    ConnectionBroken,
    WholeHeadResponse,
    connect_error,
    is_closed_by_peer,
)

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
#: Largest body that the gateway itself reads: the handle of a KV cache, or the
#: reason of a rejection.
MAX_READ_BODY_BYTES = 64 * 1_024
#: What the kernel holds of a connection's unread data. It counts as memory of
#: the process; by default it grows to several megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1_024
#: Interval at which expired idle connections are closed; a small part of the
#: time for which they may be reused.
SWEEP_INTERVAL_SECONDS = 1.0

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class CancelReason(enum.Enum):
    """Why a request was cancelled."""

    CALLER_GONE = "caller_gone"
    STOPPING = "stopping"


class Cancelled(Exception):
    """
    The request was cancelled.

    :param reason: Why it was cancelled.
    """

    def __init__(self, reason: CancelReason) -> None:
        super().__init__(reason.value)
        #: Why the request was cancelled.
        self.reason = reason


class CallDropped(Exception):
    """A call was dropped in favour of an earlier one of the same request."""


class Cancellation:
    """Cancels a request at its upstreams; may be used from any thread."""

    def __init__(self) -> None:
        self._reason: CancelReason | None = None
        self._connections: set[UpstreamConnection] = set()
        self._lock = threading.Lock()

    @property
    def reason(self) -> CancelReason | None:
        """Why the request was cancelled; None if it was not."""
        with self._lock:
            return self._reason

    def attach(self, connection: "UpstreamConnection") -> None:
        """
        Add a connection to abort when the request is cancelled.

        :param connection: A connection that carries the request.
        :raises Cancelled: If the request is already cancelled.
        """
        with self._lock:
            if self._reason is not None:
                raise Cancelled(self._reason)
            self._connections.add(connection)

    def detach(self, connection: "UpstreamConnection") -> None:
        """
        Remove a connection; a cancellation no longer aborts it.

        :param connection: The connection.
        """
        with self._lock:
            self._connections.discard(connection)

    def cancel(self, reason: CancelReason) -> None:
        """
        Cancel the request and abort its connections.

        :param reason: Why it is cancelled; the first reason is kept.
        """
        with self._lock:
            if self._reason is None:
                self._reason = reason
            connections = tuple(self._connections)
        for connection in connections:
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
            raise connect_error(address, error) from error
        # urllib3 drops its reference to the socket once the upstream announces
        # that it will close the connection; abort() still needs the socket.
        self._socket = self._connection.sock
        self._response: HTTPResponse | None = None
        self._body: BodyReader | None = None
        self._is_aborted = False

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes | bytearray,
        timeout_seconds: float,
    ) -> None:
        """
        Send a request.

        :param method: HTTP method.
        :param target: Path and query, sent unchanged.
        :param headers: All headers, including ``Host``, except
            ``Content-Length``.
        :param body: The complete body.
        :param timeout_seconds: Timeout of each socket operation.
        :raises AnswerMissing: If the connection failed meanwhile.
        """
        sent_headers = HTTPHeaderDict(headers)
        for name in ("User-Agent", "Accept-Encoding"):
            sent_headers.setdefault(name, SKIP_HEADER)
        # urllib3 sets the socket's timeout to this value when it sends.
        self._connection.timeout = max(timeout_seconds, 0.001)
        self._body = None
        try:
            self._connection.request(
                method,
                target,
                # Any buffer is sent as it is.
                body=cast("bytes | None", body or None),
                headers=sent_headers,
                preload_content=False,
                decode_content=False,
            )
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def wait_beside(self, silent: "UpstreamConnection", overlap_seconds: float) -> None:
        """
        Wait for a response while an earlier one of the request is silent.

        :param silent: The connection of the earlier response.
        :param overlap_seconds: Longest wait, unless the earlier response
            breaks off.
        :raises CallDropped: If the earlier response goes on, or neither does.
        """
        end_seconds = time.monotonic() + overlap_seconds
        while True:
            try:
                if silent.wait(0.0):
                    if silent.has_only_closed:
                        # It may have broken off; its bytes don't tell.
                        return
                    raise CallDropped("the earlier response goes on")
            except AnswerMissing:
                return
            arrived = readable(
                (self._socket, silent._socket), end_seconds - time.monotonic()
            )
            if not arrived:
                raise CallDropped(f"no response within {overlap_seconds:.3f} s")
            if silent._socket not in arrived:
                return

    def read_head(self, timeout_seconds: float) -> HTTPResponse:
        """
        Read the head of the response.

        :param timeout_seconds: Longest wait for the whole head.
        :raises AnswerMalformed: If the head violates the grammar of HTTP.
        :raises AnswerMissing: If no response was received.
        """
        timeout_seconds = max(timeout_seconds, 0.001)
        self._connection.timeout = timeout_seconds
        self._connection.response_class = partial(  # type: ignore[assignment]
            WholeHeadResponse, end_seconds=time.monotonic() + timeout_seconds
        )
        try:
            self._response = self._connection.getresponse()
            self._body = self._make_body_reader(self._response)
            return self._response
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def _make_body_reader(self, response: HTTPResponse) -> BodyReader:
        raw: Any = response._original_response
        # Without an end, peek() returns what the head's reader has read
        # beyond the head and waits for nothing.
        raw.read_until(None)
        self._socket.settimeout(0.0)
        return BodyReader(
            self._socket,
            raw.length,
            ChunkDecoder() if raw.chunked else None,
            bytearray(raw.fp.peek()),
        )

    def wait(self, timeout_seconds: float) -> bool:
        """
        Wait until a part of the response, or its end, can be read.

        :param timeout_seconds: Longest wait.
        :returns: False if nothing that can be read has arrived in time.
        :raises AnswerMissing: If the response was truncated.
        """
        if self._body is None:
            if not readable((self._socket,), timeout_seconds):
                return False
            if is_closed_by_peer(self._socket):
                raise ConnectionBroken("connection closed before the response")
            return True
        return self._body.wait(timeout_seconds)

    @property
    def has_only_closed(self) -> bool:
        """Tell whether nothing but the end of an unframed body is left."""
        return self._body is not None and self._body.has_only_closed

    def read_some(self, timeout_seconds: float) -> bytes:
        """
        Read the available bytes of the body; wait for at least one.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was truncated or timed out.
        """
        if self._body is None or timeout_seconds <= 0:
            raise AnswerMissing("timed out before the end of the response body")
        data = self._body.read_some(timeout_seconds)
        if not data and self._is_aborted:
            # A body without framing ends with its connection, so its end can't
            # be told from the abort.
            raise AnswerMissing("aborted before the end of the response body")
        if not data and self._response is not None:
            # The connection can carry another request from now on.
            self._response.close()
        return data

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the complete body of a response that the gateway itself needs.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was truncated, timed out or is
            longer than :data:`MAX_READ_BODY_BYTES`.
        """
        end_seconds = time.monotonic() + timeout_seconds
        body = bytearray()
        while part := self.read_some(end_seconds - time.monotonic()):
            body += part
            if len(body) > MAX_READ_BODY_BYTES:
                raise AnswerMissing(
                    f"the response body exceeds {MAX_READ_BODY_BYTES} bytes"
                )
        return bytes(body)

    def has_no_unread_data(self) -> bool:
        """
        Tell whether the connection is open and has no unread data.

        Data after the end of the last response counts, also if the reader of
        that response has taken it from the socket.
        """
        if self._connection.sock is None:
            return False
        if self._body is not None and self._body.received:
            return False
        return not readable((self._socket,), 0.0)

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
