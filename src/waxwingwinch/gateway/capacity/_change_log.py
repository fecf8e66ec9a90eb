"""Logs estimates that have changed much."""

import math

from attrs import define

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.capacity._estimates import Phase
from waxwingwinch.gateway.capacity._log_lines import CapacityChanged
from waxwingwinch.gateway.capacity._rows import UpstreamCapacity

#: Factor by which an estimate has to change to be logged, and lines a second.
LOGGED_FACTOR, LOGGED_PER_SECOND = 1.5, 5.0


@define
class ChangeLog:
    """Writes a bounded number of lines."""

    _next_line_seconds: float = -math.inf

    def write(
        self,
        upstream_id: UpstreamId,
        known: UpstreamCapacity,
        phase: Phase,
        spread: float,
        now_seconds: float,
    ) -> None:
        """
        Log the estimate of an upstream if it has changed much.

        :param upstream_id: The upstream.
        :param known: Its measurements.
        :param phase: What was measured.
        :param spread: Standard deviation of single measurements.
        :param now_seconds: Monotonic time.
        """
        signal = known.signals.get(phase)
        if signal is None or now_seconds < self._next_line_seconds:
            return
        after = math.exp(signal.difference(spread, now_seconds))
        before = known.logged.get(phase, 1.0)
        if abs(math.log(after / before)) < math.log(LOGGED_FACTOR):
            return
        known.logged[phase] = after
        self._next_line_seconds = now_seconds + 1 / LOGGED_PER_SECOND
        CapacityChanged(
            upstream_id=upstream_id,
            started_ms=known.started_ms,
            phase=phase.name.lower(),
            before=before,
            after=after,
            samples=signal.passing.weight_at(now_seconds),
            spread=spread,
        ).write()
