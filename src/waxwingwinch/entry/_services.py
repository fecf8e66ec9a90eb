"""What the entry's request handlers work with."""

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
from waxwingwinch.entry._in_flight import InFlight, PeerWork
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
    :param limiter: Rates of the customers.
    :param idempotency: Claims on idempotency keys.
    :param fleet: The upstreams.
    :param usage: Counts what customers use.
    :param decisions: Keeps reasons.
    :param metrics: Records times and results.
    :param engine: Calls model engines.
    :param plain: Calls plain services.
    :param in_flight: Requests under way from here.
    :param peer_work: Requests under way from other instances.
    :param demand: What the fleet's controller is told.
    :param crashes: Requests that crash upstreams.
    :param watcher: Ends streams that have lost their purpose.
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
    in_flight: InFlight
    peer_work: PeerWork
    demand: EntryDemand
    crashes: CrashGuard
    watcher: StreamWatcher

    def explain(
        self, kind: DecisionKind, subject: str, text: str, *related: str
    ) -> None:
        """
        Keep the reason of a decision.

        :param kind: What was decided.
        :param subject: What it is about.
        :param text: One plain sentence.
        :param related: Other names to find it under.
        """
        wall_seconds = self.clock.wall_seconds()
        self.decisions.add(Reason(kind, subject, wall_seconds, text, related))


def entry_services(
    registry: Registry, options: EntryOptions, broadcast: Callable[[object], None]
) -> EntryServices:
    """
    Collect the registered services.

    :param registry: Holds all services but those that the entry makes here.
    :param options: Settings of this instance.
    :param broadcast: Sends a message to all peers without waiting.
    """
    # Protocols can't be passed where a type is expected, hence the ignores.
    clock = registry.lookup(ServiceName.CLOCK, Clock)  # type: ignore[type-abstract]
    in_flight = InFlight()
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
        peer_work=PeerWork(),
        demand=EntryDemand(in_flight, clock.now_seconds()),
        crashes=CrashGuard(options.instance_id, broadcast),
        watcher=StreamWatcher(clock),
    )
