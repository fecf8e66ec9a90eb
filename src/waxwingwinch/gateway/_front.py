"""The HTTP server for callers, built on cheroot, the server of CherryPy."""

import socket
import struct
import sys
import threading
from collections.abc import Callable
from typing import Any, Protocol

from attrs import field, frozen
from cheroot.server import HTTPRequest, HTTPServer

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_connections import (
    CallerConnection,
    CallerConnectionsMixin,
)
from waxwingwinch.gateway._caller_stream import CallerStream, body_end_seconds
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front_responder import FrontResponder
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._http_parser import (
    BodyTooLarge,
    HeaderTable,
    MalformedRequest,
    StrictHeaderReader,
    read_body,
)
from waxwingwinch.gateway._lingering_close import LingeringCloser
from waxwingwinch.gateway._listening import ListeningMixin
from waxwingwinch.gateway._memory_account import (
    MemoryAccount,
    MemoryExhausted,
    Reservation,
    unbounded_reservation,
)
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._process_log_lines import FrontServerError
from waxwingwinch.gateway._request_log_lines import (
    CallerConnectionClosed,
    RequestMalformed,
)
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._thread_pool import ElasticThreadPoolMixin
from waxwingwinch.gateway._unanswered import UnansweredConnections
from waxwingwinch.kernel import Clock

#: Worker threads that are kept when there is little load.
FRONT_MIN_THREADS = 4
#: Worker threads beyond the bound on concurrent requests; they refuse the
#: requests that exceed it.
REFUSAL_THREADS = 8
#: Length of the listening socket's queue of connections to be accepted.
ACCEPT_BACKLOG = 512
#: Added to the idle timeout that callers use, so that the caller closes an
#: idle connection first.
IDLE_TIMEOUT_MARGIN_SECONDS = 2.0
#: Memory of a request beside its body: its thread, its head, the buffers of
#: its connections, and what its caller has sent beyond it.
REQUEST_BYTES = 196_608
#: Part of the memory for requests and answers that new requests leave free.
REQUEST_SPARE_FRACTION = 0.125
#: Buffer of the kernel for what a caller has sent and the process hasn't read.
#: Linux takes twice as much, so a body of 4 MiB arrives in a second over a
#: link with a round trip of 30 ms.
RECEIVE_BUFFER_BYTES = 65_536

#: ``struct linger`` with a timeout of 0: closing resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


@frozen
class RawRequest:
    """
    A request as received, before its headers are interpreted.

    :param method: HTTP method.
    :param target: Path and query.
    :param headers: All headers in the order received.
    :param body: The complete body.
    :param connection: The caller's socket; None if it can't be watched.
    :param reservation: The memory that the request and its answer hold.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray
    connection: Any = None
    reservation: Reservation = field(
        factory=unbounded_reservation, eq=False, repr=False
    )


class RequestDecoder(Protocol):
    """Decodes received requests into typed ones."""

    def decode(self, raw: RawRequest, now_seconds: float) -> GatewayRequest:
        """
        Decode a request.

        :param raw: The request as received.
        :param now_seconds: Monotonic time.
        :raises MalformedRequest: If a header is missing or malformed.
        """


class FrontRequest(HTTPRequest):  # type: ignore[misc]
    """A request of a caller, parsed by :class:`StrictHeaderReader`."""

    header_reader = StrictHeaderReader()

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)  # type: ignore[no-untyped-call]
        self.inheaders = HeaderTable()

    def read_request_line(self) -> bool:
        """Read the request line; return False if it was refused."""
        try:
            is_valid = bool(super().read_request_line())  # type: ignore[no-untyped-call]
        except ValueError as error:
            # The server lets through errors of its parser of URLs.
            self.simple_response("400 Bad Request", f"malformed target: {error}")
            return False
        self.server.note_request(self.conn)
        return is_valid

    def respond(self) -> None:
        """Read the body and handle the request."""
        server: FrontServer = self.server
        with server.memory.open() as reservation:
            self._respond(FrontResponder(self), reservation)

    def _respond(self, responder: FrontResponder, reservation: Reservation) -> None:
        server: FrontServer = self.server
        try:
            head = self._decode_head(reservation)
            reservation.grow(REQUEST_BYTES, REQUEST_SPARE_FRACTION)
            body = self._read_body(head)
        except (MalformedRequest, BodyTooLarge) as error:
            self._reject(responder, error)
            return
        except MemoryExhausted as exhausted:
            if self._has_body:
                self._close_with_rest()
            server.handler.refuse_for_memory(head, responder, exhausted)
            return
        request = head.with_body(body, server.clock.now_seconds())
        try:
            server.handler.handle(request, responder)
        except BaseException:
            # The end of the connection must not look like that of the body.
            responder.abort()
            raise
        if not responder.is_complete:
            self.close_connection = True

    def _decode_head(self, reservation: Reservation) -> GatewayRequest:
        """Return the request without its body."""
        server: FrontServer = self.server
        raw = RawRequest(
            self.method.decode("latin-1"),
            self.uri.decode("latin-1"),
            tuple(self.inheaders.pairs),
            b"",
            self.conn.socket if self.conn.is_watchable else None,
            reservation,
        )
        return server.decoder.decode(raw, server.clock.now_seconds())

    def _read_body(self, head: GatewayRequest) -> bytearray:
        server: FrontServer = self.server
        limits = server.limits
        pause_seconds = limits.header_timeout_seconds
        end_seconds = body_end_seconds(
            head.arrived_seconds,
            head.deadline_seconds,
            server.route_timeout_seconds(head),
            pause_seconds,
        )
        stream = CallerStream(
            self.conn.rfile, self.conn.socket, server.clock, end_seconds, pause_seconds
        )
        body = read_body(
            stream, self.inheaders, limits.max_body_bytes, head.reservation
        )
        self.conn.socket.settimeout(pause_seconds)
        return body

    @property
    def _has_body(self) -> bool:
        """True if a body follows the head of the request."""
        is_chunked = b"Transfer-Encoding" in self.inheaders
        return is_chunked or int(self.inheaders.get(b"Content-Length", b"0")) > 0

    def _close_with_rest(self) -> None:
        """Close the connection after the response; its request isn't read."""
        # The next request on the connection can't be told apart from the
        # rest of the body.
        self.close_connection = True
        self.conn.has_rest = True

    def _reject(self, responder: FrontResponder, error: ValueError) -> None:
        status = 413 if isinstance(error, BodyTooLarge) else 400
        RequestMalformed(status, str(error)).write()
        self._close_with_rest()
        try:
            responder.respond(status, (), b"")
        except CallerDisconnected as lost:
            CallerConnectionClosed(None, str(lost)).write()

    def simple_response(self, status: str, msg: str = "") -> None:
        """
        Refuse a request whose head is malformed.

        :param status: Status code and reason phrase.
        :param msg: The error, for the log.
        """
        self._close_with_rest()
        RequestMalformed(int(str(status).partition(" ")[0]), str(msg)).write()
        head = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        try:
            self.conn.wfile.write(head.encode("latin-1"))
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()


class FrontConnection(CallerConnection):
    """A caller's connection, whose requests are parsed strictly."""

    RequestHandlerClass = FrontRequest
    #: True once a request was answered before it was read to its end.
    has_rest = False
    #: True if the connection is reset when it is closed, since its orderly end
    #: would look like the end of a body.
    must_reset = False

    def __init__(self, server: Any, sock: socket.socket, *arguments: Any) -> None:
        super().__init__(server, sock, *arguments)  # type: ignore[no-untyped-call]
        # A size that is set doesn't grow with what a caller sends.
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        except OSError as error:
            server.error_log(f"receive buffer not bounded: {error!r}")

    def close(self) -> None:
        """Close the connection; a caller that still sends gets its answer."""
        if not self.must_reset and not self.has_rest:
            super().close()
            return
        try:
            if self.must_reset:
                self._reset()
            else:
                self.server.lingering.add(self.socket)
        finally:
            self.server.end_reading(self)

    def _reset(self) -> None:
        self.rfile.close()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()
        self.socket.close()


class FrontServer(  # type: ignore[misc]
    CallerConnectionsMixin, ListeningMixin, ElasticThreadPoolMixin, HTTPServer
):
    """
    Serves callers, with one thread per request in progress.

    :param address: Address to listen on.
    :param handler: Handles the requests.
    :param decoder: Decodes the requests.
    :param table: Holds the configuration, with the limits on requests.
    :param clock: Source of the present time.
    :param max_concurrent_requests: Requests that may be in progress at once.
    :param unanswered: Records connections closed without an answer.
    :param memory: Counts the memory that requests and answers hold.
    """

    ConnectionClass = FrontConnection

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        decoder: RequestDecoder,
        table: CurrentTable,
        clock: Clock,
        max_concurrent_requests: int,
        unanswered: UnansweredConnections,
        memory: MemoryAccount,
    ) -> None:
        super().__init__((address.host, address.port), gateway=None)
        self.configure_threads(
            FRONT_MIN_THREADS, max_concurrent_requests + REFUSAL_THREADS
        )
        self.configure_connections(unanswered)
        self.request_queue_size = ACCEPT_BACKLOG
        # None means no limit.
        self.keep_alive_conn_limit = None  # type: ignore[assignment]
        self.handler = handler
        self.decoder = decoder
        self.clock = clock
        #: Closes connections whose requests weren't read to their end.
        self.lingering = LingeringCloser(clock)
        #: Counts the memory that requests and answers hold.
        self.memory = memory
        self._table = table

    @property
    def limits(self) -> CallerLimits:
        """Limits on requests; the defaults until there is a configuration."""
        table = self._table.get()
        return table.configuration.limits if table is not None else CallerLimits()

    def route_timeout_seconds(self, request: GatewayRequest) -> float:
        """
        Return the timeout of a request's route; 0 if it has none.

        :param request: The request.
        """
        table = self._table.get()
        route = table.route(request.host, request.path) if table is not None else None
        return route.timeout_seconds if route is not None else 0.0

    @property  # type: ignore[override]
    def timeout(self) -> float:
        """Seconds for which an idle connection is kept open."""
        return self.limits.idle_timeout_seconds + IDLE_TIMEOUT_MARGIN_SECONDS

    @timeout.setter
    def timeout(self, _: float) -> None:
        """Ignore the server's default; the configuration sets the limit."""

    @property
    def answer_timeout_seconds(self) -> float:
        """Seconds for which a caller may read nothing of its answer."""
        return max(self.timeout, self.limits.header_timeout_seconds)

    @property
    def max_request_header_size(self) -> int:
        """Maximum size of a request head in bytes."""
        return self.limits.max_header_bytes

    @max_request_header_size.setter
    def max_request_header_size(self, _: int) -> None:
        """Ignore the server's default; the configuration sets the limit."""

    def start_in_background(
        self, is_stopping: Callable[[], bool] = lambda: False
    ) -> None:
        """
        Listen, once the port is free, and serve in background threads.

        :param is_stopping: Tells whether the process stops.
        :raises BindAbandoned: If it stops before the port is free.
        """
        self.gives_up_binding = is_stopping
        self.prepare()
        threading.Thread(target=self.serve, name="front", daemon=True).start()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """
        Log an error of the server itself.

        :param msg: The error.
        :param level: Severity.
        :param traceback: Unused; a traceback could contain prompts.
        """
        error = sys.exception()
        reason = msg if error is None else f"{msg} ({type(error).__name__})"
        FrontServerError(reason=reason, level=level).write()
