"""Wires and runs the services of an entry process."""

import threading
import uuid

import eliot

from waxwingwinch._types import Address, ProcessId
from waxwingwinch.adapters import (
    HttpEngine,
    HttpInstanceList,
    HttpPlainService,
    HttpPlatformLog,
    HttpUpstreamMarket,
)
from waxwingwinch.authority import DutyDirectory
from waxwingwinch.configuration.service import (
    ConfigurationHandlers,
    ConfigurationService,
    WithdrawalCoordinator,
    adopt_from_peers,
)
from waxwingwinch.contracts import Freshness, RateLimiter, ServiceName
from waxwingwinch.entry._application import EntryApplication
from waxwingwinch.entry._heartbeats import HeartbeatBuilder, HeartbeatHandler
from waxwingwinch.entry._operator_requests import make_operator_requests
from waxwingwinch.entry._options import EntryOptions
from waxwingwinch.entry._peers import EntryRoster, WithdrawalBroadcaster
from waxwingwinch.fleet import FleetObserver
from waxwingwinch.idempotency import LogIdempotencyStore
from waxwingwinch.kernel import Registry, SystemClock
from waxwingwinch.limits import Limiter, StaticSplitLimiter
from waxwingwinch.membership import (
    Heartbeat,
    HeartbeatSender,
    HeartbeatTable,
    HolderLinks,
    InstanceDirectory,
    PeerMesh,
    decide_freshness,
)
from waxwingwinch.observability import Metrics
from waxwingwinch.operators_api import OperatorApi, OperatorRequests
from waxwingwinch.peers import PeerIdentity, PeerProgram, PeerServer
from waxwingwinch.placement import home_count, home_instances
from waxwingwinch.reasons import MemoryDecisionLog
from waxwingwinch.settings import EntrySettings, LimitsPolicyKind
from waxwingwinch.usage import (
    EntryUsageLedger,
    UsagePeer,
    UsagePush,
    UsageRequest,
)

#: Pause between two attempts to get a first configuration from the peers.
CONFIGURATION_RETRY_PAUSE_SECONDS = 0.2


class EntryProcess:
    """
    The services of one entry.

    :param settings: Settings of the process.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        #: Set once draining has begun.
        self.stopping = threading.Event()
        self._clock = SystemClock()
        self._process_id = ProcessId(settings.instance_id, uuid.uuid4().hex)
        self._identity = PeerIdentity(
            settings.instance_id, PeerProgram.ENTRY, settings.zone, settings.cell
        )
        #: The services by name.
        self.registry = Registry()
        self._register_platform_clients()
        self._register_membership()
        self._register_state()
        self._application = self._register_application()
        self._register_heartbeats()

    def start(self) -> None:
        """Start all services and wait for a first configuration."""
        self.registry.start_all()
        self._await_configuration()

    def stop(self) -> None:
        """Drain, wait for running requests, then stop all services."""
        self.drain("signal")
        self._application.wait_idle(self._settings.stop_timeout_seconds)
        self.registry.stop_all()

    def drain(self, operator: str) -> None:
        """
        Begin to drain.

        :param operator: Name of the operator, or ``signal``.
        """
        eliot.log_message("entry:drain", operator=operator)
        self._roster.is_draining = True
        self._application.drain()
        self.stopping.set()

    def _register_platform_clients(self) -> None:
        platform = self._settings.platform_address
        self._log = HttpPlatformLog(platform)
        self.registry.register(ServiceName.CLOCK, self._clock)
        self.registry.register(ServiceName.LOG, self._log)
        self.registry.register(ServiceName.ENGINE, HttpEngine())
        self.registry.register(ServiceName.PLAIN_SERVICE, HttpPlainService())
        self.registry.register(ServiceName.DECISIONS, MemoryDecisionLog())
        self.registry.register(ServiceName.METRICS, Metrics())

    def _register_membership(self) -> None:
        settings = self._settings
        secrets = settings.secrets()
        instance_list = HttpInstanceList(settings.platform_address)
        self._directory = InstanceDirectory(instance_list, self._clock)
        self._mesh = PeerMesh(
            self._directory,
            self._identity,
            secrets,
            settings.peer_seeds,
        )
        self._duties = DutyDirectory(self._log, self._clock)
        self._holders = HolderLinks(self._holder_address, self._identity, secrets)
        self._heartbeats = HeartbeatTable()
        self._peer_server = PeerServer(settings.peer_address, self._identity, secrets)
        self.registry.register(ServiceName.INSTANCE_LIST, self._directory)
        self.registry.register(ServiceName.DUTIES, self._duties)
        self.registry.register("holder_links", self._holders)
        self.registry.register(ServiceName.MEMBERSHIP, self._mesh)

    def _register_state(self) -> None:
        settings = self._settings
        self._configuration = ConfigurationService(
            self._log, self._clock, self._freshness
        )
        self._fleet = FleetObserver(
            HttpUpstreamMarket(settings.platform_address),
            HttpEngine(),
            self._log,
            self._clock,
            settings.cell,
        )
        self._claims = LogIdempotencyStore(
            self._log,
            self._clock,
            self._process_id,
            self._is_alive,
        )
        self._usage = EntryUsageLedger(
            self._process_id,
            settings.zone,
            self._clock,
            self._configuration.current,
            self._usage_peers,
        )
        self.registry.register(ServiceName.CONFIGURATION, self._configuration)
        self.registry.register(ServiceName.FLEET, self._fleet)
        self.registry.register(ServiceName.LIMITER, self._make_limiter())
        self.registry.register(ServiceName.IDEMPOTENCY, self._claims)
        self.registry.register(ServiceName.USAGE, self._usage)

    def _make_limiter(self) -> RateLimiter:
        settings = self._settings
        current = self._configuration.current
        match settings.limits_policy:
            case LimitsPolicyKind.STATIC_SPLIT:
                return StaticSplitLimiter(current, settings.expected_instances)
            case LimitsPolicyKind.SHARED:
                return Limiter(
                    self._process_id,
                    self._clock,
                    current,
                    lambda: self._holders.link(f"limits-{settings.cell}"),
                )

    def _register_application(self) -> EntryApplication:
        settings = self._settings
        self._roster = EntryRoster(
            settings.instance_id,
            settings.zone,
            settings.listen_address,
            settings.expected_instances,
            self._heartbeats,
            self._directory,
            self._configuration,
        )
        self._withdrawals = WithdrawalCoordinator(
            self._configuration,
            WithdrawalBroadcaster(self._mesh, settings.expected_instances),
            self._clock,
            settings.instance_id,
            settings.drift_ratio,
        )
        self.registry.register("withdrawals", self._withdrawals)
        application = EntryApplication(
            self.registry,
            EntryOptions(
                settings.instance_id,
                settings.zone,
                settings.listen_address,
                settings.max_connections,
                routing_policy=settings.routing_policy,
            ),
            self._roster.known_entries,
            home_instances,
            home_count,
            self._broadcast,
            OperatorApi(self._operator_requests(), self._clock),
        )
        self._register_peer_handlers(application)
        self.registry.register(ServiceName.PEER_SERVER, self._peer_server)
        self.registry.register("application", application)
        return application

    def _operator_requests(self) -> OperatorRequests:
        return make_operator_requests(
            self.registry,
            self._settings,
            self._process_id.incarnation,
            self._roster,
            self._holders,
            self.drain,
        )

    def _register_peer_handlers(self, application: EntryApplication) -> None:
        self._heartbeat_handler = HeartbeatHandler(
            self._clock,
            self._heartbeats,
            self._configuration,
            self._fleet,
            application.services.peer_work,
        )
        self._peer_server.handle(Heartbeat, self._heartbeat_handler.handle)
        ConfigurationHandlers(self._configuration).register(self._peer_server)
        application.register_handlers(self._peer_server)
        self._peer_server.handle(UsagePush, self._usage.handle_push)
        self._peer_server.handle(UsageRequest, self._usage.handle_request)

    def _register_heartbeats(self) -> None:
        builder = HeartbeatBuilder(
            self._identity,
            self._settings.listen_address,
            self._process_id.incarnation,
            self._configuration,
            self._fleet,
            self._application.services.demand,
            self._roster,
        )
        sender = HeartbeatSender(
            self._mesh,
            lambda: self._holders.link(f"fleet-{self._settings.cell}"),
            builder.build,
            self._heartbeat_handler.handle_reply,
            self._clock,
        )
        self.registry.register("heartbeat_sender", sender)

    def _broadcast(self, body: object) -> None:
        self._mesh.broadcast(body)

    def _usage_peers(self) -> list[UsagePeer]:
        links = [(link, link.peer) for link in self._mesh.links()]
        return [
            UsagePeer(peer.instance_id, peer.zone, link)
            for link, peer in links
            if peer is not None
        ]

    def _holder_address(self, duty: str) -> Address | None:
        holder = self._duties.holder_of(duty)
        return None if holder is None else holder.address

    def _is_alive(self, runner: ProcessId) -> bool:
        if runner == self._process_id:
            return True
        received = self._heartbeats.find(runner.instance_id)
        if received is None or received.heartbeat.incarnation != runner.incarnation:
            return False
        return self._heartbeats.is_alive(runner.instance_id, self._clock.now_seconds())

    def _freshness(self, now_seconds: float) -> Freshness:
        max_age_seconds = self._configuration.current().defaults.freshness_seconds
        return decide_freshness(
            self._configuration.follower.caught_up_seconds,
            self._heartbeats.synchronized_seconds(),
            self._settings.expected_instances,
            max_age_seconds,
            now_seconds,
        )

    def _await_configuration(self) -> None:
        """Request a configuration from peers until one is in force."""
        while self._configuration.needs_state() and not self.stopping.is_set():
            adopt_from_peers(self._configuration, self._mesh.links())
            self.stopping.wait(CONFIGURATION_RETRY_PAUSE_SECONDS)
