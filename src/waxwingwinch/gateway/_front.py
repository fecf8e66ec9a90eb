"""The HTTP server for callers, built on cheroot, the server of CherryPy."""

import sys
import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

from attrs import frozen
from cheroot.server import HTTPRequest, HTTPServer

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_connections import (
    CallerConnection,
    CallerConnectionsMixin,
)
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._http_parser import (
    BodyTooLarge,
    HeaderTable,
    MalformedRequest,
    StrictHeaderReader,
    read_body,
)
from waxwingwinch.gateway._listening import ListeningMixin
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
#: Statuses whose responses end with their head.
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


@frozen
class RawRequest:
    """
    A request as received, before its headers are interpreted.

    :param method: HTTP method.
    :param target: Path and query.
    :param headers: All headers in the order received.
    :param body: The complete body.
    :param connection: The caller's socket; None if it can't be watched.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: Any = None


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
        self._has_body = True
        #: True once the complete response has been written.
        self.is_complete = False

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
        framing = ("Content-Length", str(len(body)))
        payload = b"" if self._request.method == b"HEAD" else body
        self._send(self._head(status, (*headers, framing)) + payload)
        self.is_complete = True

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """
        Write the head of a response with a chunked body.

        :param status: HTTP status.
        :param headers: Headers except those that frame the body.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        is_bodiless = status in BODILESS_STATUSES
        self._has_body = self._request.method != b"HEAD" and not is_bodiless
        framing = () if is_bodiless else (("Transfer-Encoding", "chunked"),)
        self._send(self._head(status, (*headers, *framing)))

    def write(self, piece: bytes) -> None:
        """
        Write a chunk of the body.

        :param piece: The data; must not be empty.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._has_body:
            self._send(b"%x\r\n%b\r\n" % (len(piece), piece))

    def end(self) -> None:
        """
        Write the last chunk, which ends the body.

        :raises CallerDisconnected: If the caller has closed its connection.
        """
        if self._has_body:
            self._send(b"0\r\n\r\n")
        self.is_complete = True

    def abort(self) -> None:
        """Close the connection, so that the response is seen as truncated."""
        self._request.close_connection = True

    def _head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
        self._request.sent_headers = True
        self._request.conn.begin_answer()
        if self._request.server.is_last_answer(self._request.conn):
            self._request.close_connection = True
        lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _send(self, data: bytes) -> None:
        try:
            self._request.conn.wfile.write(data)
        except (OSError, ValueError) as error:
            self._request.close_connection = True
            raise CallerDisconnected(repr(error)) from error


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
        responder = FrontResponder(self)
        server: FrontServer = self.server
        try:
            body = read_body(
                self.conn.rfile, self.inheaders, server.limits.max_body_bytes
            )
            raw = RawRequest(
                self.method.decode("latin-1"),
                self.uri.decode("latin-1"),
                tuple(self.inheaders.pairs),
                body,
                self.conn.socket if self.conn.is_watchable else None,
            )
            request = server.decoder.decode(raw, server.clock.now_seconds())
        except (MalformedRequest, BodyTooLarge) as error:
            self._reject(responder, error)
            return
        server.handler.handle(request, responder)
        if not responder.is_complete:
            self.close_connection = True

    def _reject(self, responder: FrontResponder, error: ValueError) -> None:
        status = 413 if isinstance(error, BodyTooLarge) else 400
        RequestMalformed(status, str(error)).write()
        # The next request on the connection can't be told apart from the
        # rest of the body.
        self.close_connection = True
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
        self.close_connection = True
        RequestMalformed(int(str(status).partition(" ")[0]), str(msg)).write()
        head = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        try:
            self.conn.wfile.write(head.encode("latin-1"))
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()


class FrontConnection(CallerConnection):
    """A caller's connection, whose requests are parsed strictly."""

    RequestHandlerClass = FrontRequest


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
        self._table = table

    @property
    def limits(self) -> CallerLimits:
        """Limits on requests; the defaults until there is a configuration."""
        table = self._table.get()
        return table.configuration.limits if table is not None else CallerLimits()

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
