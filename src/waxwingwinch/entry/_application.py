"""HTTP application of an entry: services, server and dispatch of requests."""

import json
import threading
from collections.abc import Callable

import cherrypy

from waxwingwinch.entry._admission import AdmissionControl
from waxwingwinch.entry._callers import authenticate
from waxwingwinch.entry._completions import CompletionHandler
from waxwingwinch.entry._connections import EntryServer, ReadDeadlines
from waxwingwinch.entry._crash_guard import CrashNotice
from waxwingwinch.entry._customer_work import CustomerLoadNotice
from waxwingwinch.entry._discovery import (
    DiscoveryHandler,
    EntryLister,
    HomeCount,
    HomeRanking,
    KnownEntry,
)
from waxwingwinch.entry._gate import RequestGate
from waxwingwinch.entry._http import IncomingRequest, Reply, json_reply, require_method
from waxwingwinch.entry._options import (
    HARD_MAX_BODY_BYTES,
    LISTEN_BACKLOG,
    MAX_HEADER_BYTES,
    RESERVED_THREADS,
    EntryOptions,
)
from waxwingwinch.entry._plain import PlainHandler
from waxwingwinch.entry._root import EntryRoot, application_configuration
from waxwingwinch.entry._router import EngineRouter
from waxwingwinch.entry._services import EntryServices, entry_services
from waxwingwinch.exposition import prometheus_text
from waxwingwinch.kernel import Health, Registry
from waxwingwinch.peers import PeerIdentity, PeerServer

#: Interval between broadcasts of the customers' loads at this instance.
LOAD_NOTICE_INTERVAL_SECONDS = 1.0
#: Longest wait for requests in progress at a planned stop.
DRAIN_TIMEOUT_SECONDS = 300.0


class EntryApplication:
    """
    Serves callers over HTTP; registered with the kernel as a service.

    :param registry: Holds the services named in
        :class:`waxwingwinch.contracts.ServiceName`.
    :param options: Settings of this instance.
    :param list_entries: Lists the entries for discovery.
    :param rank: Orders instances by preference for a customer.
    :param count_homes: Returns the number of a customer's home instances, the
        instances that discovery prefers for it.
    :param broadcast: Sends a message to all peers without blocking.
    :param operators: A CherryPy handler mounted at ``/operator``, if any.
    """

    def __init__(
        self,
        registry: Registry,
        options: EntryOptions,
        list_entries: EntryLister,
        rank: HomeRanking,
        count_homes: HomeCount,
        broadcast: Callable[[object], None],
        operators: object | None = None,
    ) -> None:
        self._registry = registry
        self._options = options
        self._broadcast = broadcast
        #: Shared services, among them the :class:`EntryDemand` and the
        #: :class:`PeerWorkTable` that the process connects to other
        #: components.
        self.services: EntryServices = entry_services(registry, options, broadcast)
        self._router = EngineRouter(self.services)
        self._admission = AdmissionControl(self.services, self._router)
        self._gate = RequestGate(max(1, options.server_threads - RESERVED_THREADS))
        self._deadlines = ReadDeadlines(
            options.request_read_timeout_seconds, self.services.clock
        )
        self._completions = CompletionHandler(
            self.services, self._router, self._admission
        )
        self._plain = PlainHandler(self.services, self._router)
        self._list_entries = list_entries
        self._discovery = DiscoveryHandler(
            self.services, self._available_entries, rank, count_homes
        )
        root = EntryRoot(
            self.services, self._gate, self._deadlines, self.dispatch, operators
        )
        self._server = self._make_server(root)
        self._server_thread: threading.Thread | None = None
        self._notice_thread: threading.Thread | None = None
        self._stopping = threading.Event()

    def register_handlers(self, peer_server: PeerServer) -> None:
        """
        Register the handlers of the messages that entries send each other.

        :param peer_server: Receives the messages of peers.
        """
        clock = self.services.clock

        def handle_load_notice(_: PeerIdentity, notice: CustomerLoadNotice) -> None:
            self._admission.customer_work.record_notice(notice, clock.now_seconds())

        crash_handler = self.services.crash_guard.peer_handler(clock.now_seconds)
        peer_server.handle(CrashNotice, crash_handler)
        peer_server.handle(CustomerLoadNotice, handle_load_notice)

    def start(self) -> None:
        """Start the HTTP server and the background threads."""
        self._deadlines.start()
        self.services.stream_watcher.start()
        self._server.prepare()
        self._server_thread = threading.Thread(
            target=self._server.serve, name="http-server", daemon=True
        )
        self._server_thread.start()
        self._notice_thread = threading.Thread(
            target=self._broadcast_loads, name="load-notices", daemon=True
        )
        self._notice_thread.start()

    @property
    def port(self) -> int:
        """Port on which the started server listens."""
        return int(self._server.bind_addr[1])

    def drain(self) -> None:
        """Refuse new requests; requests in progress continue."""
        self._gate.drain()

    def is_draining(self) -> bool:
        """Return whether the planned stop has begun."""
        return self._gate.is_draining()

    def wait_idle(self, timeout_seconds: float = DRAIN_TIMEOUT_SECONDS) -> bool:
        """
        Wait until no request is in progress.

        :param timeout_seconds: Longest wait.
        :returns: False if requests are still in progress after that time.
        """
        return self._gate.wait_idle(timeout_seconds)

    def stop(self) -> None:
        """Stop the server without waiting for requests in progress."""
        self._stopping.set()
        if self._server_thread is not None:
            self._server.stop()
            self._server_thread.join()
        if self._notice_thread is not None:
            self._notice_thread.join()
        self.services.stream_watcher.stop()
        self._deadlines.stop()

    def health(self) -> Health:
        """Return the health of the server; ``DEGRADED`` while it drains."""
        if self._server_thread is None:
            return Health.STOPPED
        if not self._server_thread.is_alive():
            return Health.FAILED
        return Health.DEGRADED if self._gate.is_draining() else Health.HEALTHY

    def dispatch(self, request: IncomingRequest) -> Reply:
        """
        Pass a request to the handler of its path.

        :param request: The request.
        :raises RequestFailed: If the request is answered with an error.
        """
        match request.path:
            case "/v1/chat/completions" | "/v1/completions":
                require_method(request, "POST")
                return self._completions.handle(request)
            case "/v1/models":
                return self._models(request)
            case "/discovery":
                return self._discovery.handle(request)
            case "/healthz":
                return self._health(request)
            case "/metrics":
                return self._metrics(request)
            case _:
                return self._plain.handle(request)

    def _available_entries(self, now_seconds: float) -> tuple[KnownEntry, ...]:
        """Return the listed entries, without this instance while it drains."""
        entries = self._list_entries(now_seconds)
        if not self._gate.is_draining():
            return entries
        local_id = self._options.instance_id
        return tuple(entry for entry in entries if entry.instance_id != local_id)

    def _models(self, request: IncomingRequest) -> Reply:
        require_method(request, "GET", "HEAD")
        authenticate(self.services, request)
        models = self.services.configuration.current().models
        names = [
            name
            for model in models.values()
            for name in (model.name, *(f"{model.name}:{a}" for a in model.adapters))
        ]
        data = [{"id": name, "object": "model", "owned_by": ""} for name in names]
        return json_reply(200, json.dumps({"object": "list", "data": data}).encode())

    def _health(self, request: IncomingRequest) -> Reply:
        require_method(request, "GET", "HEAD")
        now_seconds = self.services.clock.now_seconds()
        freshness = self.services.configuration.freshness(now_seconds)
        states = {name: state.value for name, state in self._registry.health().items()}
        body = {
            "instance_id": self._options.instance_id,
            "draining": self._gate.is_draining(),
            "freshness": freshness.value,
            "running_requests": self._gate.running(),
            "services": states,
        }
        status = 503 if Health.FAILED.value in states.values() else 200
        return json_reply(status, json.dumps(body).encode())

    def _metrics(self, request: IncomingRequest) -> Reply:
        require_method(request, "GET", "HEAD")
        text = prometheus_text(self.services.metrics.snapshot())
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return Reply(200, headers, text)

    def _make_server(self, root: EntryRoot) -> EntryServer:
        application = cherrypy.Application(
            root, "", application_configuration(root.operators_mounted)
        )
        # CherryPy's access log would contain query strings, and its error log
        # values from requests.
        application.log.screen = False
        application.log.access_log.disabled = True
        application.log.error_log.disabled = True
        address = (self._options.address.host, self._options.address.port)
        server = EntryServer(
            address, application, self._deadlines, self._options.server_threads
        )
        server.max_request_header_size = MAX_HEADER_BYTES
        server.max_request_body_size = HARD_MAX_BODY_BYTES
        server.request_queue_size = LISTEN_BACKLOG
        server.timeout = self._options.socket_timeout_seconds
        return server

    def _broadcast_loads(self) -> None:
        while not self._stopping.wait(LOAD_NOTICE_INTERVAL_SECONDS):
            now_seconds = self.services.clock.now_seconds()
            notice = self._admission.customer_work.make_notice(now_seconds)
            if notice.loads:
                self._broadcast(notice)
