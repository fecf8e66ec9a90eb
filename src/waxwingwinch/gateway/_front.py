"""The HTTP server for callers, built on cheroot, the server of CherryPy."""

import threading
from collections.abc import Callable
from typing import Any, Protocol

from attrs import field, frozen

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_server import BoundedConnection, CallerServer
from waxwingwinch.gateway._caller_stream import CallerStream, body_end_seconds
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front_responder import FrontResponder
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._http_parser import (
    BodyTooLarge,
    MalformedRequest,
    read_body,
)
from waxwingwinch.gateway._memory_account import (
    MemoryAccount,
    MemoryExhausted,
    Reservation,
    unbounded_reservation,
)
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._request_log_lines import (
    CallerConnectionClosed,
    RequestMalformed,
)
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._unanswered import UnansweredConnections
from waxwingwinch.gateway.callers import (
    REQUEST_SPARE_FRACTION,
    CallerRequest,
    ServerBounds,
)
from waxwingwinch.kernel import Clock

#: Worker threads that are kept when there is little load.
FRONT_MIN_THREADS = 4
#: Worker threads beyond the bound on concurrent requests; they refuse the
#: requests that exceed it.
REFUSAL_THREADS = 8
#: Length of the listening socket's queue of connections to be accepted.
ACCEPT_BACKLOG = 512
#: Memory of a request beside its body: its thread, its head, the buffers of
#: its connections, and what its caller has sent beyond it.
REQUEST_BYTES = 196_608
#: Stands for no bound on the connections, in tests.
UNBOUNDED = 1_000_000


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


class FrontRequest(CallerRequest):
    """A request of a caller."""

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
            if self.has_body:
                self.close_with_rest()
            server.free_memory(server.clock.now_seconds())
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
        self.conn.is_read = self.has_body
        if self.conn.is_read:
            self.conn.blocked_since_seconds = head.arrived_seconds
        try:
            body = read_body(
                stream, self.inheaders, limits.max_body_bytes, head.reservation
            )
        finally:
            self.conn.blocked_since_seconds = None
            self.conn.is_read = False
        if self.conn.is_evicted:
            raise MalformedRequest("the connection was cut to free its thread")
        self.conn.socket.settimeout(pause_seconds)
        return body

    def _reject(self, responder: FrontResponder, error: ValueError) -> None:
        status = 413 if isinstance(error, BodyTooLarge) else 400
        if self.conn.is_evicted:
            # Its body wasn't read to its end, so it hasn't run.
            status = 408
        RequestMalformed(status, str(error)).write()
        self.close_with_rest()
        try:
            responder.respond(status, (), b"")
        except CallerDisconnected as lost:
            CallerConnectionClosed(None, str(lost)).write()


class FrontConnection(BoundedConnection):
    """A caller's connection, whose requests are parsed strictly."""

    RequestHandlerClass = FrontRequest


class FrontServer(CallerServer):
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
    :param bounds: Bounds on the connections; None for none.
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
        bounds: ServerBounds | None = None,
    ) -> None:
        super().__init__(
            address, clock, unanswered, memory, bounds or ServerBounds(UNBOUNDED)
        )
        self.configure_threads(
            FRONT_MIN_THREADS, max_concurrent_requests + REFUSAL_THREADS
        )
        self.request_queue_size = ACCEPT_BACKLOG
        self.handler = handler
        self.decoder = decoder
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

    def note_exhausted(self, exhausted: MemoryExhausted) -> None:
        """
        Count a request that is refused for lack of memory before it is parsed.

        :param exhausted: What was requested and free.
        """
        self.free_memory(self.clock.now_seconds())
        self.handler.note_exhausted(exhausted)

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
