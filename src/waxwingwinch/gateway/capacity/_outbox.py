"""Measurements of this process that its peers haven't been told."""

import math
from collections import deque

from attrs import define, evolve, field

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.capacity._estimates import Phase
from waxwingwinch.gateway.capacity._messages import CapacityRow

#: Rows that all instances together report in a second. A row takes at most 60
#: bytes, before compression, so an instance receives 6 of the 8 KB a second
#: that it may use for control at worst, and fewer in normal operation.
ROWS_PER_SECOND = 100.0
#: Rows that an instance may report at once.
ROW_BURST = 4.0
#: Change of the mean from which measurements are reported, as a logarithm.
MIN_CHANGE = 0.25
#: Standard errors by which the mean has to differ.
MIN_ERRORS = 1.5
#: Requests without a failure after which an upstream that failed is reported
#: as working.
MIN_SUCCESSES = 3
#: Time after which measurements are no longer reported, and after which peers
#: have forgotten a report.
PENDING_SECONDS, FORGOTTEN_SECONDS = 2.0, 6.0
#: Upstreams and phases with unreported measurements; an instance of the
#: largest deployment serves nine requests a second.
MAX_PENDING = 256
#: Rows repeated in full reports.
MAX_RECENT_ROWS = 8


@define
class _Pending:
    """
    Unreported measurements of one phase of an upstream.

    :param started_ms: Unix time of its start in milliseconds.
    :param spread: Standard deviation of single measurements.
    """

    started_ms: int
    spread: float = 0.0
    total: float = 0.0
    weight: float = 0.0
    requests: int = 0
    failures: int = 0
    at_seconds: float = 0.0

    @property
    def mean(self) -> float:
        """Mean of the measurements."""
        return self.total / self.weight if self.weight else 0.0


@define
class _Sent:
    """What was reported last of one phase of an upstream."""

    mean: float
    has_failures: bool
    at_seconds: float


Key = tuple[UpstreamId, Phase]


@define
class Outbox:
    """Selects the rows of the next report; not thread-safe."""

    _pending: dict[Key, _Pending] = field(factory=dict)
    _sent: dict[Key, _Sent] = field(factory=dict)
    _recent: deque[tuple[float, CapacityRow]] = field(
        factory=lambda: deque(maxlen=MAX_RECENT_ROWS)
    )
    _sequence: int = 0
    _tokens: float = ROW_BURST
    _refilled_seconds: float = -math.inf

    def add_sample(
        self,
        key: Key,
        started_ms: int,
        difference: float,
        spread: float,
        weight: float,
        now_seconds: float,
    ) -> None:
        """
        Add a measurement.

        :param key: Upstream and phase.
        :param started_ms: Unix time of the upstream's start in milliseconds.
        :param difference: Difference from the service's mean.
        :param spread: Standard deviation of single measurements.
        :param weight: Weight of the measurement.
        :param now_seconds: Monotonic time.
        """
        pending = self._open(key, started_ms, now_seconds)
        if pending is not None:
            pending.spread = spread
            pending.total += difference * weight
            pending.weight += weight

    def add_end(
        self, key: Key, started_ms: int, is_failure: bool, now_seconds: float
    ) -> None:
        """
        Add a request that ended.

        :param key: Upstream and phase.
        :param started_ms: Unix time of the upstream's start in milliseconds.
        :param is_failure: True if it failed or was refused.
        :param now_seconds: Monotonic time.
        """
        pending = self._open(key, started_ms, now_seconds)
        if pending is not None:
            pending.requests += 1
            pending.failures += is_failure

    def rows(self, instances: int, now_seconds: float) -> tuple[CapacityRow, ...]:
        """
        Return the rows of a report.

        :param instances: Number of instances, which share the rate of rows.
        :param now_seconds: Monotonic time.
        """
        self._refill(instances, now_seconds)
        self._discard_old(now_seconds)
        if self._tokens >= 1.0 and self._pending:
            self._take(now_seconds)
        return tuple(
            evolve(row, age_tenths=max(int((now_seconds - at_seconds) * 10), 0))
            for at_seconds, row in self._recent
            if now_seconds - at_seconds < PENDING_SECONDS
        )

    def _open(self, key: Key, started_ms: int, now_seconds: float) -> _Pending | None:
        pending = self._pending.get(key)
        if pending is None or pending.started_ms != started_ms:
            if pending is None and len(self._pending) >= MAX_PENDING:
                return None
            pending = self._pending[key] = _Pending(started_ms)
        pending.at_seconds = now_seconds
        return pending

    def _refill(self, instances: int, now_seconds: float) -> None:
        elapsed_seconds = min(now_seconds - self._refilled_seconds, 3_600.0)
        gained = max(elapsed_seconds, 0.0) * ROWS_PER_SECOND / max(instances, 1)
        self._tokens = min(self._tokens + gained, ROW_BURST)
        self._refilled_seconds = now_seconds

    def _discard_old(self, now_seconds: float) -> None:
        for key, pending in list(self._pending.items()):
            if pending.at_seconds < now_seconds - PENDING_SECONDS:
                del self._pending[key]
        for key, sent in list(self._sent.items()):
            if sent.at_seconds < now_seconds - FORGOTTEN_SECONDS:
                del self._sent[key]

    def _take(self, now_seconds: float) -> None:
        """Move the most significant measurements to the recent rows."""
        ranked = sorted(
            ((self._urgency(key), key) for key in self._pending), reverse=True
        )
        for urgency, key in ranked[: int(self._tokens)]:
            if urgency < MIN_ERRORS:
                return
            pending = self._pending.pop(key)
            self._tokens -= 1.0
            self._sequence += 1
            self._sent[key] = _Sent(pending.mean, pending.failures > 0, now_seconds)
            upstream_id, phase = key
            row = CapacityRow(
                self._sequence,
                upstream_id,
                pending.started_ms,
                int(phase),
                round(pending.mean * 100),
                round(pending.weight * 10),
                pending.requests,
                pending.failures,
            )
            self._recent.append((pending.at_seconds, row))

    def _urgency(self, key: Key) -> float:
        """Return the standard errors by which measurements differ."""
        pending, sent = self._pending[key], self._sent.get(key)
        had_failures = sent is not None and sent.has_failures
        if pending.failures or (had_failures and pending.requests >= MIN_SUCCESSES):
            return MIN_ERRORS + pending.failures + 1.0
        change = abs(pending.mean - (sent.mean if sent is not None else 0.0))
        if not pending.weight or change < MIN_CHANGE:
            return 0.0
        return change * math.sqrt(pending.weight) / pending.spread
