"""HTTP servers for the readiness, discovery and metrics of the instance."""

import threading
from collections.abc import Callable

from attrs import evolve, frozen

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_server import BoundedConnection, CallerServer
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front_responder import FrontResponder
from waxwingwinch.gateway._http_parser import StrictHeaderReader
from waxwingwinch.gateway._memory_account import MemoryAccount, MemoryExhausted
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._outcomes import CallerDisconnected
from waxwingwinch.gateway._request_log_lines import (
    CallerConnectionClosed,
    MemoryRefused,
)
from waxwingwinch.gateway._unanswered import UnansweredConnections
from waxwingwinch.gateway.callers import CallerRequest, ServerBounds
from waxwingwinch.kernel import Clock

#: Minimum number of threads of each server; requests are rare and handled
#: without waiting.
INFO_MIN_THREADS = 1
#: Maximum number of threads, for requests that arrive together, as those of
#: callers do after a start.
INFO_MAX_THREADS = 16
#: Length of the listening socket's queue of connections to be accepted.
INFO_BACKLOG = 64
#: Time for which an idle connection is kept open; probes come more often or
#: connect anew.
INFO_IDLE_SECONDS = 3.0


@frozen
class InfoReply:
    """
    A response of an :class:`InfoServer`.

    :param status: HTTP status code and reason phrase.
    :param body: The body.
    :param content_type: Media type of the body.
    """

    status: str
    body: bytes = b""
    content_type: str = "application/json"


#: Returns the response for a path and a query string.
InfoHandler = Callable[[str, str], InfoReply]


class InfoRequest(CallerRequest):
    """A request about the instance, which has no body."""

    # Probes of HTTP/1.0 send no Host header.
    header_reader = StrictHeaderReader(needs_host=False)
    parses_query = True
    # What callers' requests leave free is for these.
    spare_fraction = 0.0

    def respond(self) -> None:
        """Answer, or refuse a request with a body without reading it."""
        if self.has_body:
            self.simple_response("413 Request Entity Too Large", "no body is taken")
            return
        if self.conn.rfile.has_data():
            # Probes wait for their answers. Thousands of requests sent ahead
            # would keep the processor from those of others.
            self.close_with_rest()
        path = self.path.decode("latin-1")
        reply = self.server.handler(path, self.qs.decode("latin-1"))
        responder = FrontResponder(self)
        headers = (("Content-Type", reply.content_type),)
        try:
            responder.respond(int(reply.status[:3]), headers, reply.body)
        except CallerDisconnected as lost:
            CallerConnectionClosed(None, str(lost)).write()
        if not responder.is_complete:
            self.close_connection = True


class _InfoConnection(BoundedConnection):
    """A connection for requests about the instance."""

    RequestHandlerClass = InfoRequest


class _BoundedInfoServer(CallerServer):
    """
    The server of one address.

    :param address: Address to listen on.
    :param handler: Returns the response for a path and a query string.
    :param table: Holds the configuration, with the limits on requests.
    :param clock: Source of the present time.
    :param unanswered: Records connections closed without an answer.
    :param memory: Counts the memory that requests and answers hold.
    :param bounds: Bounds on the connections.
    """

    ConnectionClass = _InfoConnection

    def __init__(
        self,
        address: Address,
        handler: InfoHandler,
        table: CurrentTable,
        clock: Clock,
        unanswered: UnansweredConnections,
        memory: MemoryAccount,
        bounds: ServerBounds,
    ) -> None:
        super().__init__(address, clock, unanswered, memory, bounds)
        self.configure_threads(INFO_MIN_THREADS, INFO_MAX_THREADS)
        self.request_queue_size = INFO_BACKLOG
        self.handler = handler
        self._table = table

    @property
    def limits(self) -> CallerLimits:
        """Limits on requests: those on callers, with a shorter idle time."""
        table = self._table.get()
        limits = table.configuration.limits if table is not None else CallerLimits()
        idle_seconds = min(limits.idle_timeout_seconds, INFO_IDLE_SECONDS)
        return evolve(limits, idle_timeout_seconds=idle_seconds)

    def note_exhausted(self, exhausted: MemoryExhausted) -> None:
        """
        Log a request that is refused for lack of memory.

        :param exhausted: What was requested and free.
        """
        MemoryRefused(
            request_id="",
            requested_bytes=exhausted.requested_bytes,
            free_bytes=exhausted.free_bytes,
            held_bytes=self.memory.held_bytes,
        ).write()


class InfoServer:
    """
    Serves short responses about the instance.

    :param address: Address to listen on.
    :param handler: Returns the response for a path and a query string.
    :param table: Holds the configuration, with the limits on requests.
    :param clock: Source of the present time.
    :param unanswered: Records connections closed without an answer.
    :param memory: Counts the memory that requests and answers hold.
    :param bounds: Bounds on the connections.
    """

    def __init__(
        self,
        address: Address,
        handler: InfoHandler,
        table: CurrentTable,
        clock: Clock,
        unanswered: UnansweredConnections,
        memory: MemoryAccount,
        bounds: ServerBounds,
    ) -> None:
        self._server = _BoundedInfoServer(
            address, handler, table, clock, unanswered, memory, bounds
        )

    def start(self) -> None:
        """Listen, once the port is free, and serve in background threads."""
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def is_busy(self) -> bool:
        """True while a connection is read or answered."""
        return self._server.under_way > 0

    def refuse_handshakes(self) -> None:
        """Begin no further handshake; those under way are completed."""
        self._server.refuse_handshakes()

    def stop_listening(self, timeout_seconds: float) -> None:
        """
        Accept what is in the queue, then let the kernel refuse connections.

        :param timeout_seconds: Maximum wait.
        """
        self._server.stop_listening(timeout_seconds)

    def close_idle(self, timeout_seconds: float) -> None:
        """
        Close the connections on which nothing has arrived.

        :param timeout_seconds: Maximum wait.
        """
        self._server.close_idle(timeout_seconds)

    def _run(self) -> None:
        self._server.prepare()
        self._server.serve()
