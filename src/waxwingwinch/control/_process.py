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
from waxwingwinch.control._drains import DrainWatch
from waxwingwinch.control._duty_threads import DutyThread
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._entries import EntryBook
from waxwingwinch.control._fleet_runner import FleetRunner
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.control._limits import GuardedExtras
from waxwingwinch.control._market_orders import MarketOrders
from waxwingwinch.control._runner import DutyRunner
from waxwingwinch.control._snapshot_runner import SnapshotRunner
from waxwingwinch.control._usage import EntryLinks, GuardedIntake
from waxwingwinch.fleet import (
    FleetObserver,
    PollNeeds,
    buying_duty,
    fleet_duty,
    fleet_stream,
)
from waxwingwinch.http import CONTROL_USER_TIMEOUT_SECONDS
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
class Base:
    """
    What the duties are built on.

    :param settings: Settings of the process.
    :param clock: Source of the present time.
    :param log: The platform's log.
    :param server: Where peers are served.
    :param directory: The duties in the log.
    :param holder: Stands for duties.
    :param observer: The fleet.
    :param entries: What the entries tell.
    :param configuration: The configuration.
    :param instances: The listed instances.
    :param decisions: Where reasons are kept.
    """

    settings: ControlSettings
    clock: Clock
    log: PlatformLog
    server: PeerServer
    directory: DutyDirectory
    holder: DutyHolder
    observer: FleetObserver
    entries: EntryBook
    configuration: ConfigurationService
    instances: InstanceDirectory
    decisions: MemoryDecisionLog


def build_process(settings: ControlSettings) -> Registry:
    """
    Wire the services of the process without starting them.

    Threads of duties are registered last, so that they stop first and the
    holder then releases its duties at once.

    :param settings: Settings of the process.
    """
    base = _build_base(settings)
    registry = _register_base(base)
    mesh = _register_mesh(base, registry)
    runners = (
        *_fleet_runners(base, registry),
        _limits_runner(base, registry),
        _usage_runner(base, registry, mesh),
        SnapshotRunner(base.configuration, mesh.links),
    )
    for runner in runners:
        add_runner(registry, base, runner)
    return registry


def add_runner(registry: Registry, base: Base, runner: DutyRunner) -> None:
    """
    Stand for the duty of a runner and give the runner a thread.

    :param runner: The work; runners may share a duty.
    """
    base.holder.stand_for(runner.duty)
    thread = DutyThread(runner, base.holder, base.clock)
    registry.register(f"duty:{runner.duty}:{type(runner).__name__}", thread)


def _build_base(settings: ControlSettings) -> Base:
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
        CONTROL_USER_TIMEOUT_SECONDS,
    )
    market, engine = HttpUpstreamMarket(platform), HttpEngine()
    return Base(
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
            lambda: _poll_needs(holder, clock, fleet_duty(settings.cell)),
        ),
        EntryBook(clock.now_seconds),
        # A control process serves no callers, so it is never stale.
        ConfigurationService(log, clock, lambda now_seconds: Freshness.FRESH),
        InstanceDirectory(HttpInstanceList(platform), clock),
        decisions,
    )


def _register_base(base: Base) -> Registry:
    registry = Registry()
    registry.register(ServiceName.CLOCK, base.clock)
    registry.register(ServiceName.DECISIONS, base.decisions)
    registry.register(ServiceName.CONFIGURATION, base.configuration)
    registry.register(ServiceName.INSTANCE_LIST, base.instances)
    registry.register(ServiceName.FLEET, base.observer)
    registry.register("duty_directory", base.directory)
    base.server.handle(Heartbeat, base.entries.handle)
    base.server.handle(ExplainRequest, ExplainHandler(base.decisions))
    registry.register(ServiceName.PEER_SERVER, base.server)
    registry.register(ServiceName.DUTIES, base.holder)
    return registry


def _fleet_runners(base: Base, registry: Registry) -> tuple[DutyRunner, ...]:
    cell = base.settings.cell
    writer = StreamWriter(base.log, fleet_stream(cell), base.clock)
    registry.register("fleet_writer", writer)
    fleet_journal = FleetJournal(fleet_duty(cell), writer, base.observer)
    buying_journal = FleetJournal(buying_duty(cell), writer, base.observer)
    platform = base.settings.platform_address
    fleet = FleetRunner(
        fleet_duty(cell),
        fleet_journal,
        EngineOrders(fleet_journal, base.observer, HttpEngine()),
        _drains(base),
        base.observer,
        base.entries,
        HttpWeightStore(platform),
        base.configuration.current,
        base.decisions,
        base.clock,
        base.settings.role_policy,
    )
    buying = BuyingRunner(
        fleet_duty(cell),
        buying_journal,
        MarketOrders(buying_journal, base.observer, HttpUpstreamMarket(platform)),
        _drains(base),
        base.observer,
        base.entries,
        base.configuration.current,
        base.decisions,
        base.clock,
        base.settings.buying_policy,
    )
    return (fleet, buying)


def _limits_runner(base: Base, registry: Registry) -> GrantorDuty:
    grantor = GrantorDuty(
        base.settings.cell,
        base.log,
        base.clock,
        base.configuration.current,
        base.instances.instances,
        # A claim comes only after the lease of the earlier grantor.
        handover_seconds=0.0,
    )
    extras = GuardedExtras(grantor, base.holder, base.clock)
    base.server.handle(ExtraRequest, extras.handle)
    base.server.handle(FloorRequest, grantor.handle_floors)
    registry.register(ServiceName.LIMITER, grantor)
    return grantor


def _register_mesh(base: Base, registry: Registry) -> PeerMesh:
    settings = base.settings
    mesh = PeerMesh(
        base.instances,
        _identity(settings),
        settings.secrets(),
        settings.peer_seeds,
    )
    registry.register(ServiceName.MEMBERSHIP, mesh)
    return mesh


def _usage_runner(base: Base, registry: Registry, mesh: PeerMesh) -> UsageReportRunner:
    settings = base.settings
    intake = HttpUsageIntake(settings.platform_address)
    duty = f"usage-{settings.cell}"
    runner = UsageReportRunner(
        settings.cell,
        base.log,
        base.clock,
        base.configuration.current,
        EntryLinks(base.instances, mesh).peers,
        GuardedIntake(intake, duty, base.holder, base.clock),
    )
    registry.register(ServiceName.USAGE, runner)
    return runner


def _poll_needs(holder: DutyHolder, clock: Clock, duty: str) -> PollNeeds:
    """Engines are asked only by the process that decides about them."""
    try:
        holder.epoch_of(duty, clock.now_seconds())
    except AuthorityLost:
        return PollNeeds.NOTHING
    return PollNeeds.LOAD


def _identity(settings: ControlSettings) -> PeerIdentity:
    return PeerIdentity(
        settings.instance_id, PeerProgram.CONTROL, settings.zone, settings.cell
    )


def _drains(base: Base) -> DrainWatch:
    settings = base.settings
    return DrainWatch(
        base.observer,
        base.entries,
        settings.expected_instances,
        settings.drift_ratio,
    )
