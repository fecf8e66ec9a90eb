"""Wiring of the control process."""

from attrs import frozen

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch.adapters import (
    HttpEngine,
    HttpInstanceList,
    HttpPlatformLog,
    HttpUpstreamMarket,
    HttpUsageIntake,
    HttpWeightStore,
)
from waxwingwinch.authority import DutyDirectory, DutyHolder, FenceTimer
from waxwingwinch.configuration.service import ConfigurationService
from waxwingwinch.contracts import Freshness, ServiceName
from waxwingwinch.control._buying_runner import BuyingRunner
from waxwingwinch.control._drain_tracker import DrainTracker
from waxwingwinch.control._duty_threads import DutyThread
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._entry_tracker import EntryTracker
from waxwingwinch.control._fleet_runner import FleetRunner
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.control._limits import GuardedExtras
from waxwingwinch.control._market_orders import MarketOrders
from waxwingwinch.control._runner import DutyRunner
from waxwingwinch.control._snapshot_runner import SnapshotRunner
from waxwingwinch.control._usage import EntryLinks, GuardedIntake
from waxwingwinch.fleet import (
    FleetObserver,
    PollScope,
    buying_planner,
    fleet_duty,
    fleet_stream,
)
from waxwingwinch.http import ORDER_TCP_USER_TIMEOUT_SECONDS
from waxwingwinch.interfaces import PlatformLog
from waxwingwinch.kernel import Clock, Registry, SystemClock
from waxwingwinch.limits import ExtraRequest, FloorRequest, GrantorDuty
from waxwingwinch.membership import Heartbeat, InstanceDirectory, PeerMesh
from waxwingwinch.peers import PeerIdentity, PeerProgram, PeerServer
from waxwingwinch.reasons import ExplainHandler, ExplainRequest, MemoryDecisionLog
from waxwingwinch.settings import ControlSettings
from waxwingwinch.streams import StreamWriter
from waxwingwinch.usage import UsageReportRunner


@frozen
class ControlServices:
    """
    Services that the runners of duties share.

    :param settings: Settings of the process.
    :param clock: Source of the present time.
    :param log: The platform's log.
    :param server: Serves requests of peers.
    :param directory: Follows the holders of duties in the log.
    :param holder: Claims duties and renews their leases.
    :param observer: Observed state of the fleet.
    :param entries: Heartbeats and demand of the entries.
    :param configuration: Follows the configuration in the log.
    :param instances: The instances listed by the platform.
    :param decisions: Log of the reasons for decisions.
    """

    settings: ControlSettings
    clock: Clock
    log: PlatformLog
    server: PeerServer
    directory: DutyDirectory
    holder: DutyHolder
    observer: FleetObserver
    entries: EntryTracker
    configuration: ConfigurationService
    instances: InstanceDirectory
    decisions: MemoryDecisionLog


def build_process(settings: ControlSettings) -> Registry:
    """
    Create and register the services of the process without starting them.

    The threads of duties are registered last, so that they stop first and
    the holder can then release its duties at once.

    :param settings: Settings of the process.
    """
    services = _build_services(settings)
    registry = _register_services(services)
    mesh = _register_mesh(services, registry)
    runners = (
        *_fleet_runners(services, registry),
        _limits_runner(services, registry),
        _usage_runner(services, registry, mesh),
        SnapshotRunner(services.configuration, mesh.links),
    )
    for runner in runners:
        add_runner(registry, services, runner)
    return registry


def add_runner(
    registry: Registry, services: ControlServices, runner: DutyRunner
) -> None:
    """
    Claim the duty of a runner and register a thread for the runner.

    :param runner: Does the work of the duty; runners may share a duty.
    """
    services.holder.add_duty(runner.duty)
    thread = DutyThread(runner, services.holder, services.clock)
    registry.register(f"duty:{runner.duty}:{type(runner).__name__}", thread)


def _build_services(settings: ControlSettings) -> ControlServices:
    clock = SystemClock()
    platform = settings.platform_address
    log = HttpPlatformLog(platform)
    decisions = MemoryDecisionLog()
    directory = DutyDirectory(log, clock)
    holder = DutyHolder(
        log,
        clock,
        directory,
        FenceTimer(clock),
        settings.instance_id,
        settings.peer_address,
        settings.lease_seconds,
        settings.drift_ratio,
        decisions,
        ORDER_TCP_USER_TIMEOUT_SECONDS,
    )
    market, engine = HttpUpstreamMarket(platform), HttpEngine()
    return ControlServices(
        settings,
        clock,
        log,
        PeerServer(settings.peer_address, _identity(settings), settings.secrets()),
        directory,
        holder,
        FleetObserver(
            market,
            engine,
            log,
            clock,
            settings.cell,
            lambda: _poll_scope(holder, clock, fleet_duty(settings.cell)),
        ),
        EntryTracker(clock.now_seconds),
        # A control process serves no callers, so it never counts as stale.
        ConfigurationService(log, clock, lambda now_seconds: Freshness.FRESH),
        InstanceDirectory(HttpInstanceList(platform), clock),
        decisions,
    )


def _register_services(services: ControlServices) -> Registry:
    registry = Registry()
    registry.register(ServiceName.CLOCK, services.clock)
    registry.register(ServiceName.DECISIONS, services.decisions)
    registry.register(ServiceName.CONFIGURATION, services.configuration)
    registry.register(ServiceName.INSTANCE_LIST, services.instances)
    registry.register(ServiceName.FLEET, services.observer)
    registry.register("duty_directory", services.directory)
    services.server.handle(Heartbeat, services.entries.handle)
    services.server.handle(ExplainRequest, ExplainHandler(services.decisions))
    registry.register(ServiceName.PEER_SERVER, services.server)
    registry.register(ServiceName.DUTIES, services.holder)
    return registry


def _fleet_runners(
    services: ControlServices, registry: Registry
) -> tuple[DutyRunner, ...]:
    cell = services.settings.cell
    writer = StreamWriter(services.log, fleet_stream(cell), services.clock)
    registry.register("fleet_writer", writer)
    fleet_journal = FleetJournal(fleet_duty(cell), writer, services.observer)
    buying_journal = FleetJournal(buying_planner(cell), writer, services.observer)
    platform = services.settings.platform_address
    fleet = FleetRunner(
        fleet_duty(cell),
        fleet_journal,
        EngineOrders(fleet_journal, services.observer, HttpEngine()),
        _drains(services),
        services.observer,
        services.entries,
        HttpWeightStore(platform),
        services.configuration.current,
        services.decisions,
        services.clock,
        services.settings.role_policy,
    )
    buying = BuyingRunner(
        fleet_duty(cell),
        buying_journal,
        MarketOrders(buying_journal, services.observer, HttpUpstreamMarket(platform)),
        _drains(services),
        services.observer,
        services.entries,
        services.configuration.current,
        services.decisions,
        services.clock,
        services.settings.buying_policy,
    )
    return (fleet, buying)


def _limits_runner(services: ControlServices, registry: Registry) -> GrantorDuty:
    """Build the runner of the duty ``limits-<cell>``."""
    grantor = GrantorDuty(
        services.settings.cell,
        services.log,
        services.clock,
        services.configuration.current,
        services.instances.instances,
        # The duty is claimed only after the earlier grantor's lease ended.
        handover_seconds=0.0,
    )
    extras = GuardedExtras(grantor, services.holder, services.clock)
    services.server.handle(ExtraRequest, extras.handle)
    services.server.handle(FloorRequest, grantor.handle_floors)
    registry.register(ServiceName.LIMITER, grantor)
    return grantor


def _register_mesh(services: ControlServices, registry: Registry) -> PeerMesh:
    settings = services.settings
    mesh = PeerMesh(
        services.instances,
        _identity(settings),
        settings.secrets(),
        settings.peer_seeds,
    )
    registry.register(ServiceName.MEMBERSHIP, mesh)
    return mesh


def _usage_runner(
    services: ControlServices, registry: Registry, mesh: PeerMesh
) -> UsageReportRunner:
    settings = services.settings
    intake = HttpUsageIntake(settings.platform_address)
    duty = f"usage-{settings.cell}"
    runner = UsageReportRunner(
        settings.cell,
        services.log,
        services.clock,
        services.configuration.current,
        EntryLinks(services.instances, mesh).peers,
        GuardedIntake(intake, duty, services.holder, services.clock),
    )
    registry.register(ServiceName.USAGE, runner)
    return runner


def _poll_scope(holder: DutyHolder, clock: Clock, duty: str) -> PollScope:
    """Return what to poll: load reports if the duty is held, else nothing."""
    try:
        holder.epoch_of(duty, clock.now_seconds())
    except AuthorityLost:
        return PollScope.NOTHING
    return PollScope.LOAD


def _identity(settings: ControlSettings) -> PeerIdentity:
    return PeerIdentity(
        settings.instance_id, PeerProgram.CONTROL, settings.zone, settings.cell
    )


def _drains(services: ControlServices) -> DrainTracker:
    settings = services.settings
    return DrainTracker(
        services.observer,
        services.entries,
        settings.expected_instances,
        settings.drift_ratio,
    )
