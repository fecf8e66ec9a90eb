"""The HTTP server that callers connect to, on CherryPy's server."""

import threading
from http import HTTPStatus
from typing import Any, Protocol

from attrs import frozen
from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer

from waxwingwinch._types import Address
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._heads import (
    BodyTooLong,
    HeaderTable,
    MalformedRequest,
    StrictHeaderReader,
    read_body,
)
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._outcomes import CallerLost
from waxwingwinch.gateway._process_log_lines import FrontServerError
from waxwingwinch.gateway._request_lines import CallerGone, RequestMalformed
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._tables import CurrentTable
from waxwingwinch.gateway._thread_pool import ElasticServer
from waxwingwinch.kernel import Clock

#: Threads that serve callers and are kept in calm times.
FRONT_THREADS_FEWEST = 4
#: Threads beyond the requests that may be under way; they turn callers away.
REFUSING_THREADS = 8
#: Connections that may wait to be accepted.
ACCEPT_QUEUE = 512
#: Added to the callers' own idle limit, so that a caller closes first.
IDLE_MARGIN_SECONDS = 2.0


@frozen
class RawRequest:
    """
    A request whose headers were not interpreted yet.

    :param method: HTTP method.
    :param target: Path and query.
    :param headers: All headers in order.
    :param body: The whole body.
    :param connection: The caller's socket.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: Any = None


class RequestDecoder(Protocol):
    """Interprets the headers of requests."""

    def decode(self, raw: RawRequest, now_seconds: float) -> GatewayRequest:
        """
        Interpret a request.

        :param raw: The request.
        :param now_seconds: Monotonic time.
        :raises MalformedRequest: If a header is missing or malformed.
        """


class FrontResponder:
    """
    Writes one answer to a caller's connection.

    :param request: The server's side of the request.
    """

    def __init__(self, request: "FrontRequest") -> None:
        self._request = request
        self._is_chunked = False
        #: True once the answer is whole.
        self.is_whole = False

    def respond(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """
        Write a whole answer.

        :param status: HTTP status.
        :param headers: Headers without the framing of the body.
        :param body: The body.
        :raises CallerLost: If the caller has gone.
        """
        framing = ("Content-Length", str(len(body)))
        payload = b"" if self._request.method == b"HEAD" else body
        self._send(self._head(status, headers, framing) + payload)
        self.is_whole = True

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """
        Write the head of an answer that comes in pieces.

        :param status: HTTP status.
        :param headers: Headers without the framing of the body.
        :raises CallerLost: If the caller has gone.
        """
        self._is_chunked = True
        self._send(self._head(status, headers, ("Transfer-Encoding", "chunked")))

    def write(self, piece: bytes) -> None:
        """
        Write a piece of the body.

        :param piece: Not empty.
        :raises CallerLost: If the caller has gone.
        """
        self._send(b"%x\r\n%b\r\n" % (len(piece), piece))

    def end(self) -> None:
        """
        Mark the body as whole.

        :raises CallerLost: If the caller has gone.
        """
        self._send(b"0\r\n\r\n")
        self.is_whole = True

    def abort(self) -> None:
        """Close the connection so that the answer does not look whole."""
        self._request.close_connection = True

    def _head(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        framing: tuple[str, str],
    ) -> bytes:
        self._request.sent_headers = True
        if self._request.server.is_stopping:
            self._request.close_connection = True
        lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in (*headers, framing)]
        if self._request.close_connection:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _send(self, data: bytes) -> None:
        try:
            self._request.conn.wfile.write(data)
        except (OSError, ValueError) as error:
            self._request.close_connection = True
            raise CallerLost(repr(error)) from error


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


class FrontRequest(HTTPRequest):  # type: ignore[misc]
    """A request of a caller, read strictly."""

    header_reader = StrictHeaderReader()

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)  # type: ignore[no-untyped-call]
        self.inheaders = HeaderTable()

    def respond(self) -> None:
        """Read the body and serve the request."""
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
                self.conn.socket,
            )
            request = server.decoder.decode(raw, server.clock.now_seconds())
        except (MalformedRequest, BodyTooLong) as error:
            self._reject(responder, error)
            return
        server.handler.handle(request, responder)
        if not responder.is_whole:
            self.close_connection = True

    def _reject(self, responder: FrontResponder, error: ValueError) -> None:
        status = 413 if isinstance(error, BodyTooLong) else 400
        RequestMalformed(status, str(error)).write()
        # What follows on the connection can't be told apart from the body.
        self.close_connection = True
        try:
            responder.respond(status, (), b"")
        except CallerLost as lost:
            CallerGone(None, str(lost)).write()

    def simple_response(self, status: str, msg: str = "") -> None:
        """
        Answer a request whose head is malformed.

        :param status: Status code and reason.
        :param msg: What is wrong.
        """
        self.close_connection = True
        RequestMalformed(int(str(status).partition(" ")[0]), str(msg)).write()
        head = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        try:
            self.conn.wfile.write(head.encode("latin-1"))
        except OSError as error:
            CallerGone(None, repr(error)).write()


class FrontConnection(HTTPConnection):  # type: ignore[misc]
    """A caller's connection."""

    RequestHandlerClass = FrontRequest

    def communicate(self) -> bool:
        """Serve the next request; return whether to keep the connection."""
        server: FrontServer = self.server
        self.socket.settimeout(server.limits.header_timeout_seconds)
        return bool(super().communicate())  # type: ignore[no-untyped-call]

    def _conditional_error(self, req: Any, response: str) -> None:
        # A connection on which no request began gets no answer.
        if req and req.started_request:
            super()._conditional_error(req, response)  # type: ignore[misc]


class FrontServer(ElasticServer, HTTPServer):  # type: ignore[misc]
    """
    Serves callers, with one thread for each request under way.

    :param address: Where to listen.
    :param handler: Serves the requests.
    :param decoder: Interprets their headers.
    :param table: Names the limits on what callers send.
    :param clock: Source of the present time.
    :param most_requests: Requests that may be under way at once.
    """

    ConnectionClass = FrontConnection

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        decoder: RequestDecoder,
        table: CurrentTable,
        clock: Clock,
        most_requests: int,
    ) -> None:
        super().__init__((address.host, address.port), gateway=None)
        self.keep_threads(FRONT_THREADS_FEWEST, most_requests + REFUSING_THREADS)
        self.request_queue_size = ACCEPT_QUEUE
        # None means no limit.
        self.keep_alive_conn_limit = None  # type: ignore[assignment]
        self.handler = handler
        self.decoder = decoder
        self.clock = clock
        #: True once callers are to open no further requests.
        self.is_stopping = False
        self._table = table

    @property
    def limits(self) -> CallerLimits:
        """Bounds on what callers send."""
        table = self._table.get()
        return table.configuration.limits if table is not None else CallerLimits()

    @property  # type: ignore[override]
    def timeout(self) -> float:
        """How long an idle connection is kept."""
        return self.limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS

    @timeout.setter
    def timeout(self, _: float) -> None:
        """The limit is the configuration's; the server's default is unused."""

    @property
    def max_request_header_size(self) -> int:
        """Largest request head in bytes."""
        return self.limits.max_header_bytes

    @max_request_header_size.setter
    def max_request_header_size(self, _: int) -> None:
        """The limit is the configuration's; the server's default is unused."""

    def run(self) -> None:
        """Listen and serve in threads of its own."""
        self.prepare()
        threading.Thread(target=self.serve, name="front", daemon=True).start()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """
        Log a fault of the server itself.

        :param msg: What happened.
        :param level: Severity.
        :param traceback: Unused; a traceback could show prompts.
        """
        FrontServerError(reason=msg, level=level).write()
