"""The services that the entry's request handlers use."""

from collections.abc import Callable

from attrs import frozen

from waxwingwinch.contracts import (
    ConfigurationSource,
    DecisionKind,
    DecisionLog,
    FleetView,
    IdempotencyStore,
    RateLimiter,
    Reason,
    ServiceName,
    UsageLedger,
)
from waxwingwinch.entry._crash_guard import CrashGuard
from waxwingwinch.entry._demand import EntryDemand
from waxwingwinch.entry._in_flight import InFlightTracker, PeerWorkTable
from waxwingwinch.entry._options import EntryOptions
from waxwingwinch.entry._stream_watcher import StreamWatcher
from waxwingwinch.interfaces import Engine, PlainService
from waxwingwinch.kernel import Clock, Registry
from waxwingwinch.observability import Metrics


@frozen
class EntryServices:
    """
    The services that request handlers use.

    :param options: Settings of this instance.
    :param clock: Source of the present time.
    :param configuration: Configuration and keys.
    :param limiter: Enforces the customers' rates.
    :param idempotency: Claims on idempotency keys.
    :param fleet: The upstreams.
    :param usage: Counts usage by customer.
    :param decisions: Stores the reasons of decisions.
    :param metrics: Records latencies and results.
    :param engine: Calls model engines.
    :param plain: Calls plain services.
    :param in_flight: Requests of this instance in progress.
    :param peer_work: Requests of other instances in progress.
    :param demand: Demand reported to the holder of the fleet duty.
    :param crash_guard: Detects requests that crash upstreams.
    :param stream_watcher: Closes streams whose request must be cancelled.
    """

    options: EntryOptions
    clock: Clock
    configuration: ConfigurationSource
    limiter: RateLimiter
    idempotency: IdempotencyStore
    fleet: FleetView
    usage: UsageLedger
    decisions: DecisionLog
    metrics: Metrics
    engine: Engine
    plain: PlainService
    in_flight: InFlightTracker
    peer_work: PeerWorkTable
    demand: EntryDemand
    crash_guard: CrashGuard
    stream_watcher: StreamWatcher

    def explain(
        self, kind: DecisionKind, subject: str, text: str, *related: str
    ) -> None:
        """
        Store the reason of a decision.

        :param kind: Kind of the decision.
        :param subject: Name of the request, upstream or customer concerned.
        :param text: The reason, one plain sentence.
        :param related: Further names under which the reason is found.
        """
        wall_seconds = self.clock.wall_seconds()
        self.decisions.add(Reason(kind, subject, wall_seconds, text, related))


def entry_services(
    registry: Registry, options: EntryOptions, broadcast: Callable[[object], None]
) -> EntryServices:
    """
    Collect the registered services and create the entry's own trackers.

    :param registry: Holds all services that are not created here.
    :param options: Settings of this instance.
    :param broadcast: Sends a message to all peers without waiting.
    """
    # mypy rejects protocols where ``type`` is expected, hence the ignores.
    clock = registry.lookup(ServiceName.CLOCK, Clock)  # type: ignore[type-abstract]
    in_flight = InFlightTracker()
    return EntryServices(
        options=options,
        clock=clock,
        configuration=registry.lookup(
            ServiceName.CONFIGURATION,
            ConfigurationSource,  # type: ignore[type-abstract]
        ),
        limiter=registry.lookup(
            ServiceName.LIMITER,
            RateLimiter,  # type: ignore[type-abstract]
        ),
        idempotency=registry.lookup(
            ServiceName.IDEMPOTENCY,
            IdempotencyStore,  # type: ignore[type-abstract]
        ),
        fleet=registry.lookup(
            ServiceName.FLEET,
            FleetView,  # type: ignore[type-abstract]
        ),
        usage=registry.lookup(
            ServiceName.USAGE,
            UsageLedger,  # type: ignore[type-abstract]
        ),
        decisions=registry.lookup(
            ServiceName.DECISIONS,
            DecisionLog,  # type: ignore[type-abstract]
        ),
        metrics=registry.lookup(ServiceName.METRICS, Metrics),
        engine=registry.lookup(
            ServiceName.ENGINE,
            Engine,  # type: ignore[type-abstract]
        ),
        plain=registry.lookup(
            ServiceName.PLAIN_SERVICE,
            PlainService,  # type: ignore[type-abstract]
        ),
        in_flight=in_flight,
        peer_work=PeerWorkTable(),
        demand=EntryDemand(in_flight, clock.now_seconds()),
        crash_guard=CrashGuard(options.instance_id, broadcast),
        stream_watcher=StreamWatcher(clock),
    )
