"""The HTTP server for callers, built on cheroot, the server of CherryPy."""

import enum
import socket
import struct
import threading
from http import HTTPStatus
from typing import Any, Protocol

from attrs import field, frozen
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_stream import CallerStream, body_end_seconds
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._http_parser import (
    BodyTooLarge,
    HeaderTable,
    MalformedRequest,
    StrictHeaderReader,
    read_body,
)
from waxwingwinch.gateway._lingering_close import LingeringCloser
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
    SecondResponseDropped,
)
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._thread_pool import ElasticThreadPoolMixin
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
#: Statuses whose responses end with their head.
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
#: Largest head and body that are joined to be sent in one packet.
MAX_JOINED_BYTES = 16 * 1_024

#: ``struct linger`` with a timeout of 0: closing resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class BodyFraming(enum.Enum):
    """How a caller finds the end of a body."""

    #: The response has no body.
    NONE = enum.auto()
    #: It declares the length of its body.
    LENGTH = enum.auto()
    #: The body comes in chunks.
    CHUNKS = enum.auto()
    #: The body ends with its connection.
    CONNECTION = enum.auto()


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


class FrontResponder:
    """
    Writes one response to a caller's connection.

    :param request: The server's side of the request.
    """

    def __init__(self, request: "FrontRequest") -> None:
        self._request = request
        self._framing = BodyFraming.LENGTH
        self._end_seconds = 0.0
        #: True once the complete response has been written.
        self.is_complete = False

    def write_until(self, end_seconds: float) -> None:
        """
        Set until when the caller may take its time to read the response.

        :param end_seconds: Monotonic time of the request's deadline.
        """
        self._end_seconds = end_seconds

    def respond(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """
        Write a complete response; abort one that has begun.

        :param status: HTTP status.
        :param headers: Headers except those that frame the body.
        :param body: The body.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._request.sent_headers:
            SecondResponseDropped(status).write()
            self.abort()
            return
        framing: tuple[tuple[str, str], ...] = ()
        if status not in BODILESS_STATUSES:
            framing = (("Content-Length", str(len(body))),)
        payload = b"" if self._request.method == b"HEAD" else body
        self._send(self._head(status, (*headers, *framing)), payload)
        self.is_complete = True

    def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body_bytes: int | None = None,
    ) -> None:
        """
        Write the head of a response whose body follows in parts.

        :param status: HTTP status.
        :param headers: Headers except those that frame the body.
        :param body_bytes: Size of the body; None if it is not known.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        framing: tuple[tuple[str, str], ...] = ()
        if status in BODILESS_STATUSES:
            self._framing = BodyFraming.NONE
        elif body_bytes is not None:
            self._framing = BodyFraming.LENGTH
            framing = (("Content-Length", str(body_bytes)),)
        elif self._request.response_protocol == "HTTP/1.0":
            # Such a caller knows no chunks.
            self._framing = BodyFraming.CONNECTION
            self._request.close_connection = True
        else:
            self._framing = BodyFraming.CHUNKS
            framing = (("Transfer-Encoding", "chunked"),)
        if self._request.method == b"HEAD":
            self._framing = BodyFraming.NONE
        self._send(self._head(status, (*headers, *framing)))

    def write(self, piece: bytes) -> None:
        """
        Write a part of the body.

        :param piece: The data; must not be empty.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        match self._framing:
            case BodyFraming.CHUNKS:
                self._send(b"%x\r\n" % len(piece), piece, b"\r\n")
            case BodyFraming.LENGTH | BodyFraming.CONNECTION:
                self._send(piece)

    def end(self) -> None:
        """
        Complete the body.

        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._framing is BodyFraming.CHUNKS:
            self._send(b"0\r\n\r\n")
        self.is_complete = True

    def abort(self) -> None:
        """Close the connection, so that the response is seen as truncated."""
        self._request.close_connection = True
        if self._framing is BodyFraming.CONNECTION:
            self._request.conn.must_reset = True

    def _head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
        self._request.sent_headers = True
        if self._request.server.is_stopping:
            self._request.close_connection = True
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _send(self, *parts: bytes) -> None:
        """Write parts to the socket, joined if that copies little."""
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = (b"".join(parts),)
        try:
            for part in parts:
                self._send_part(part)
        except (OSError, ValueError) as error:
            self._request.close_connection = True
            raise CallerDisconnected(repr(error)) from error

    def _send_part(self, part: bytes) -> None:
        server: FrontServer = self._request.server
        remaining_seconds = self._end_seconds - server.clock.now_seconds()
        connection = self._request.conn.socket
        # The timeout of a socket bounds a whole call of sendall().
        connection.settimeout(
            max(remaining_seconds, server.limits.header_timeout_seconds)
        )
        connection.sendall(part)


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


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
            self._close_with_rest()
            server.handler.refuse_for_memory(head, responder, exhausted)
            return
        request = head.with_body(body, server.clock.now_seconds())
        server.handler.handle(request, responder)
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


class FrontConnection(HTTPConnection):  # type: ignore[misc]
    """A caller's connection."""

    RequestHandlerClass = FrontRequest
    #: True once the next request has begun to arrive.
    has_request = False
    #: False once reading has been shut down, which looks as if the caller had
    #: closed the connection.
    is_watchable = True
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

    def communicate(self) -> bool:
        """Handle the next request; return whether to keep the connection."""
        server: FrontServer = self.server
        if not server.begin_reading(self):
            return False
        try:
            self.socket.settimeout(server.limits.header_timeout_seconds)
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            server.end_reading(self)

    def close(self) -> None:
        """Close the connection; a caller that still sends gets its answer."""
        if self.must_reset:
            self._reset()
        elif self.has_rest:
            self.server.lingering.add(self.socket)
        else:
            super().close()  # type: ignore[no-untyped-call]

    def _reset(self) -> None:
        self.rfile.close()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()
        self.socket.close()

    def stop_reading(self) -> None:
        """Read nothing that has not arrived yet."""
        self.is_watchable = False
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()

    def _conditional_error(self, req: Any, response: str) -> None:
        # No error response is sent on a connection on which no request has
        # started.
        if req and req.started_request:
            super()._conditional_error(req, response)  # type: ignore[misc]


class FrontServer(ElasticThreadPoolMixin, HTTPServer):  # type: ignore[misc]
    """
    Serves callers, with one thread per request in progress.

    :param address: Address to listen on.
    :param handler: Handles the requests.
    :param decoder: Decodes the requests.
    :param table: Holds the configuration, with the limits on requests.
    :param clock: Source of the present time.
    :param max_concurrent_requests: Requests that may be in progress at once.
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
        memory: MemoryAccount,
    ) -> None:
        super().__init__((address.host, address.port), gateway=None)
        self.configure_threads(
            FRONT_MIN_THREADS, max_concurrent_requests + REFUSAL_THREADS
        )
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
        #: True once the server shuts down; each response then closes its
        #: connection.
        self.is_stopping = False
        self._table = table
        self._reading: set[FrontConnection] = set()
        self._is_closed_to_callers = False
        self._reading_lock = threading.Lock()

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
    def max_request_header_size(self) -> int:
        """Maximum size of a request head in bytes."""
        return self.limits.max_header_bytes

    @max_request_header_size.setter
    def max_request_header_size(self, _: int) -> None:
        """Ignore the server's default; the configuration sets the limit."""

    @property
    def under_way(self) -> int:
        """Number of connections with a request being read or answered."""
        with self._reading_lock:
            return len(self._reading)

    def begin_reading(self, connection: FrontConnection) -> bool:
        """
        Count a connection whose next request is about to be read.

        :param connection: The connection.
        :returns: False if no further request may be read.
        """
        with self._reading_lock:
            if self._is_closed_to_callers:
                return False
            connection.has_request = False
            self._reading.add(connection)
            return True

    def end_reading(self, connection: FrontConnection) -> None:
        """
        Count a connection no more.

        :param connection: The connection.
        """
        with self._reading_lock:
            self._reading.discard(connection)

    def note_request(self, connection: FrontConnection) -> None:
        """
        Record that the first line of a connection's next request has arrived.

        :param connection: The connection.
        """
        with self._reading_lock:
            connection.has_request = True

    def close_to_callers(self) -> None:
        """Read no further request; those that have begun are answered."""
        # Under the lock, since shutting down the reading of a request that has
        # just begun would look as if its caller had left.
        with self._reading_lock:
            self._is_closed_to_callers = True
            for connection in self._reading:
                if not connection.has_request:
                    connection.stop_reading()

    def start_in_background(self) -> None:
        """Listen and serve requests in background threads."""
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
        FrontServerError(reason=msg, level=level).write()
