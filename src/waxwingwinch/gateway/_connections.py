"""Connections to upstreams that can be aborted from another thread."""

import enum
import select
import socket
import threading
import time

from attrs import define
from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from waxwingwinch._types import Address
from waxwingwinch.http import TRANSPORT_ERRORS, AnswerMissing, NotSent

#: Longest wait for a connection. Links have a delay of a few milliseconds; a
#: lost opening packet is repeated only after a second, and another upstream
#: is reached sooner.
CONNECT_TIMEOUT_SECONDS = 0.3
#: Silence after which the kernel asks whether the other side still exists.
KEEPALIVE_INTERVAL_SECONDS = 1
#: Unanswered questions after which it gives the connection up.
KEEPALIVE_PROBES = 2
#: How long sent bytes may stay unacknowledged.
USER_TIMEOUT_MS = 2_000
#: Idle time after which a connection isn't used again if the upstream names
#: no time.
DEFAULT_REUSE_SECONDS = 2.0
#: Part of the upstream's own idle time for which a connection is used.
REUSE_FRACTION = 0.5
#: Idle connections kept for each upstream.
MAX_IDLE_CONNECTIONS = 8
#: Interval at which idle connections that are too old are closed; a small
#: part of the time for which they are kept.
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
    """Why the work on a request was ended early."""

    CALLER_GONE = "caller_gone"


class Cancelled(Exception):
    """
    The work on the request was ended early.

    :param reason: Why.
    """

    def __init__(self, reason: CancelReason) -> None:
        super().__init__(reason.value)
        #: Why.
        self.reason = reason


class Cancellation:
    """Ends a request's work at its upstream, from any thread."""

    def __init__(self) -> None:
        self._reason: CancelReason | None = None
        self._connection: UpstreamConnection | None = None
        self._lock = threading.Lock()

    @property
    def reason(self) -> CancelReason | None:
        """Why the request was cancelled; None if it wasn't."""
        with self._lock:
            return self._reason

    def attach(self, connection: "UpstreamConnection") -> None:
        """
        Name the connection that is aborted in case of a cancellation.

        :param connection: The connection.
        :raises Cancelled: If the request was cancelled before.
        """
        with self._lock:
            if self._reason is not None:
                raise Cancelled(self._reason)
            self._connection = connection

    def detach(self) -> None:
        """Note that the connection is no longer the request's."""
        with self._lock:
            self._connection = None

    def cancel(self, reason: CancelReason) -> None:
        """
        Cancel the request and abort its connection.

        :param reason: Why.
        """
        with self._lock:
            if self._reason is None:
                self._reason = reason
            connection = self._connection
        if connection is not None:
            connection.abort()


class UpstreamConnection:
    """
    One connection to an upstream, with one request at a time.

    :param address: The upstream.
    :param timeout_seconds: Longest wait for the connection.
    :raises NotSent: If it could not be made.
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
        # The connection gives up its socket once the upstream announces that
        # it will close, so a reference is kept for aborting.
        self._socket = self._connection.sock
        self._response: HTTPResponse | None = None

    def exchange(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_seconds: float,
    ) -> HTTPResponse:
        """
        Send a request and read the head of the answer.

        :param method: HTTP method.
        :param target: Path and query, sent as they are.
        :param headers: All headers but the length, ``Host`` included.
        :param body: The whole body.
        :param timeout_seconds: Longest wait for each step.
        :raises AnswerMissing: If no answer came.
        """
        sent_headers = HTTPHeaderDict(headers)
        for name in ("User-Agent", "Accept-Encoding"):
            sent_headers.setdefault(name, SKIP_HEADER)
        # The connection sets its own timeout again when it sends.
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
        Read what has arrived of the body, waiting for the first byte.

        :param timeout_seconds: Longest wait.
        :returns: Empty at the end of the body.
        :raises AnswerMissing: If the body was cut short or did not come.
        """
        response = self._response
        if response is None or timeout_seconds <= 0:
            raise AnswerMissing("timed out")
        try:
            if not response.closed:
                self._socket.settimeout(timeout_seconds)
            return response.read1(_READ_BYTES)
        except TRANSPORT_ERRORS as error:
            raise AnswerMissing(repr(error)) from error

    def read_all(self, timeout_seconds: float) -> bytes:
        """
        Read the whole body.

        :param timeout_seconds: Longest wait.
        :raises AnswerMissing: If the body was cut short or did not come.
        """
        end_seconds = time.monotonic() + timeout_seconds
        body = bytearray()
        while part := self.read_some(end_seconds - time.monotonic()):
            body += part
        return bytes(body)

    def has_no_unread_data(self) -> bool:
        """Tell whether nothing has arrived outside of an answer."""
        if self._connection.sock is None:
            return False
        try:
            poller = select.poll()
            poller.register(self._socket, select.POLLIN)
            return not poller.poll(0)
        except (OSError, ValueError):
            return False

    def abort(self) -> None:
        """End the connection at once; may be called from any thread."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The upstream was faster.

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
    A connection that waits for its next request.

    :param connection: The connection.
    :param usable_until_seconds: Monotonic time.
    """

    connection: UpstreamConnection
    usable_until_seconds: float


class ConnectionPool:
    """Keeps the idle connections to upstreams."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._last_sweep_seconds = 0.0
        self._lock = threading.Lock()

    def take(self, name: str, now_seconds: float) -> UpstreamConnection | None:
        """
        Return an idle connection.

        :param name: The upstream's incarnation.
        :param now_seconds: Monotonic time.
        :returns: None if there is none that is sound.
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
        Keep a connection whose answer was read to its end.

        :param name: The upstream's incarnation.
        :param connection: The connection.
        :param idle_seconds: How long the upstream keeps it open, if it says.
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
        """Remove what nobody may use again, of upstreams that left as well."""
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
