"""What a process keeps of the incarnations of upstreams."""

import math

from attrs import define, field

from waxwingwinch._types import EngineRole
from waxwingwinch.gateway.capacity._averages import Baseline, Signal
from waxwingwinch.gateway.capacity._estimates import (
    INITIAL_SLOWDOWN,
    CapacityEstimate,
    Phase,
)
from waxwingwinch.gateway.capacity._failures import (
    FailureRate,
    service_failure_rate,
)

#: Samples that the initial prefill slowdown counts for.
INITIAL_SLOWDOWN_WEIGHT = 3.0
#: Routes of a service whose plain calls have a mean of their own.
MAX_ROUTES = 32


def _prefill_baseline() -> Baseline:
    return Baseline(math.log(INITIAL_SLOWDOWN), INITIAL_SLOWDOWN_WEIGHT)


@define
class ServiceCapacity:
    """
    What the upstreams of a service have in common.

    :param prefill: Mean prefill time by role, relative to the data sheet.
    :param decode: Mean time of an event.
    :param plain: Mean duration of plain calls, by route.
    :param failures: Failure rate of all upstreams.
    """

    prefill: dict[EngineRole | None, Baseline] = field(factory=dict)
    decode: Baseline = field(factory=Baseline)
    plain: dict[str, Baseline] = field(factory=dict)
    failures: FailureRate = field(factory=service_failure_rate)
    _plain_spread: float = Baseline().spread

    def prefill_baseline(self, role: EngineRole | None) -> Baseline:
        """
        Return the mean prefill time of the engines of a role.

        :param role: The role.
        """
        return self.prefill.setdefault(role, _prefill_baseline())

    def plain_baseline(self, route: str) -> Baseline:
        """
        Return the mean duration of the calls of a route.

        :param route: The route; those beyond the first 32 share a mean.
        """
        if route not in self.plain and len(self.plain) >= MAX_ROUTES:
            route = ""
        return self.plain.setdefault(route, Baseline())

    def spread(self, phase: Phase, role: EngineRole | None) -> float:
        """
        Return the standard deviation of single measurements.

        :param phase: What is measured.
        :param role: Role of the engine.
        """
        if phase is Phase.DECODE:
            return self.decode.spread
        if phase is Phase.PREFILL:
            return self.prefill_baseline(role).spread
        return self._plain_spread

    def keep_plain_spread(self, baseline: Baseline) -> None:
        """
        Keep the spread of the route that was measured last.

        :param baseline: The mean of the route.
        """
        self._plain_spread = baseline.spread

    def default_estimate(self, role: EngineRole | None) -> CapacityEstimate:
        """
        Return the estimate of an upstream without measurements.

        :param role: Role of the engine.
        """
        return CapacityEstimate(prefill=self.slowdown(role))

    def slowdown(self, role: EngineRole | None) -> float:
        """
        Return the prefill slowdown that the engines of a role share.

        Decode engines prefill between the tokens of other requests, which
        their fixed factor covers; it isn't learned.

        :param role: Role of the engines.
        """
        baseline = self.prefill.get(role)
        if baseline is None or role is EngineRole.DECODE:
            return INITIAL_SLOWDOWN
        return math.exp(baseline.mean)


@define(eq=False)
class UpstreamCapacity:
    """
    Measurements of one incarnation of an upstream.

    :param started_ms: Unix time of its start in milliseconds.
    :param service: Name of its service.
    :param role: Role of an engine; None for a plain upstream.
    :param signals: Measurements by phase.
    :param failures: Recent failures.
    :param estimate: The estimate as computed last.
    :param estimated_until_seconds: Monotonic time until which it is used.
    :param logged: The factors logged last.
    """

    started_ms: int
    service: str
    role: EngineRole | None
    signals: dict[Phase, Signal] = field(factory=dict)
    failures: FailureRate = field(factory=FailureRate)
    estimate: CapacityEstimate = field(factory=CapacityEstimate)
    estimated_until_seconds: float = -math.inf
    logged: dict[Phase, float] = field(factory=dict)

    def discard_estimate(self) -> None:
        """Have the estimate computed again."""
        self.estimated_until_seconds = -math.inf

    def compute(self, service: ServiceCapacity, now_seconds: float) -> CapacityEstimate:
        """
        Return the estimate at a time.

        :param service: What its service has in common.
        :param now_seconds: Monotonic time.
        """
        factors = [1.0, 1.0, 1.0]
        for phase, signal in list(self.signals.items()):
            difference = signal.difference(
                service.spread(phase, self.role), now_seconds
            )
            if difference:
                factors[phase] = math.exp(difference)
        return CapacityEstimate(
            service.slowdown(self.role) * factors[Phase.PREFILL],
            factors[Phase.DECODE],
            factors[Phase.PLAIN],
            self.failures.excess(service.failures, now_seconds),
        )
