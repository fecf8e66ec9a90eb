"""Failures of upstreams and their ejection from selection."""

import threading

from attrs import frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.upstreams._entry import Upstream

#: Time for which an upstream is ejected after its first failure; doubles with
#: each further failure. Short, since most restarts take a few seconds. Also
#: the time for which an unreachable upstream is reported to peers.
FIRST_EJECTION_SECONDS = 0.5
#: Longest time for which failures eject an upstream.
MAX_EJECTION_SECONDS = 4.0


@frozen
class _FailureStreak:
    """
    Consecutive failures of an upstream.

    :param failures: Number of failures.
    :param ejected_until_seconds: Monotonic time until which it is ejected.
    """

    failures: int
    ejected_until_seconds: float


class FailureTracker:
    """
    The failures that this process has observed; may be used from all threads.
    """

    def __init__(self) -> None:
        self._failure_streaks: dict[UpstreamId, _FailureStreak] = {}
        self._unreachable_seconds: dict[UpstreamId, float] = {}
        self._unresponsive_seconds: dict[UpstreamId, float] = {}
        self._lock = threading.Lock()

    def record_failure(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record a failure of an upstream and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            known = self._failure_streaks.get(upstream_id)
            failures = known.failures + 1 if known is not None else 1
            ejection_seconds: float = min(
                FIRST_EJECTION_SECONDS * 2 ** (failures - 1), MAX_EJECTION_SECONDS
            )
            self._failure_streaks[upstream_id] = _FailureStreak(
                failures, now_seconds + ejection_seconds
            )
            return ejection_seconds

    def unreachable(self, now_seconds: float) -> tuple[UpstreamId, ...]:
        """
        Return the upstreams that this process recently failed to reach.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                upstream_id
                for upstream_id, at_seconds in self._unreachable_seconds.items()
                if now_seconds - at_seconds < FIRST_EJECTION_SECONDS
            )

    def was_unreachable(self, upstream_id: UpstreamId, since_seconds: float) -> bool:
        """
        Tell whether this process has failed to reach an upstream lately.

        :param upstream_id: Id of the upstream.
        :param since_seconds: Monotonic time; earlier failures don't count.
        """
        with self._lock:
            at_seconds = self._unreachable_seconds.get(upstream_id)
        return at_seconds is not None and at_seconds >= since_seconds

    def was_unresponsive(self, upstream_id: UpstreamId, since_seconds: float) -> bool:
        """
        Tell whether connecting to an upstream has timed out lately.

        One that refuses a connection is reachable, and may go on with the
        requests that it runs.

        :param upstream_id: Id of the upstream.
        :param since_seconds: Monotonic time; earlier time-outs don't count.
        """
        with self._lock:
            at_seconds = self._unresponsive_seconds.get(upstream_id)
        return at_seconds is not None and at_seconds >= since_seconds

    def record_unresponsive(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record that connecting to an upstream timed out, and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            self._unresponsive_seconds[upstream_id] = now_seconds
        return self.record_unreachable(upstream_id, now_seconds)

    def record_unreachable(self, upstream_id: UpstreamId, now_seconds: float) -> float:
        """
        Record that a connection to an upstream failed, and eject it.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        :returns: Duration of the ejection in seconds.
        """
        with self._lock:
            self._unreachable_seconds[upstream_id] = now_seconds
        return self.record_failure(upstream_id, now_seconds)

    def record_unreachable_from_peer(
        self, upstream_id: UpstreamId, now_seconds: float
    ) -> None:
        """
        Record that a peer could not reach an upstream.

        The upstream is ejected unless it is ejected already.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        """
        self._eject_once(upstream_id, now_seconds)

    def record_silence(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        """
        Record that an upstream is silent, which may pass.

        The upstream is ejected unless it is ejected already.

        :param upstream_id: Id of the upstream.
        :param now_seconds: Monotonic time.
        """
        self._eject_once(upstream_id, now_seconds)

    def _eject_once(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        with self._lock:
            if self._ejected_until_seconds(upstream_id) <= now_seconds:
                self._failure_streaks[upstream_id] = _FailureStreak(
                    1, now_seconds + FIRST_EJECTION_SECONDS
                )

    def record_success(self, upstream_id: UpstreamId) -> None:
        """
        Record that an upstream answered, and end its ejection.

        :param upstream_id: Id of the upstream.
        """
        with self._lock:
            self._failure_streaks.pop(upstream_id, None)

    def _least_ejected(
        self, ready: list[Upstream], now_seconds: float
    ) -> list[Upstream]:
        ejected_until = [
            self._ejected_until_seconds(candidate.upstream_id) for candidate in ready
        ]
        limit_seconds = max(now_seconds, min(ejected_until))
        return [
            upstream
            for upstream, until_seconds in zip(ready, ejected_until, strict=True)
            if until_seconds <= limit_seconds
        ]

    def _ejected_until_seconds(self, upstream_id: UpstreamId) -> float:
        streak = self._failure_streaks.get(upstream_id)
        return streak.ejected_until_seconds if streak is not None else 0.0

    def _end_streak(self, upstream_id: UpstreamId) -> None:
        """End the ejection of an upstream; called with the lock held."""
        self._failure_streaks.pop(upstream_id, None)

    def _forget_failures(self, upstream_id: UpstreamId) -> None:
        """Forget an upstream that was removed; called with the lock held."""
        self._failure_streaks.pop(upstream_id, None)
        self._unreachable_seconds.pop(upstream_id, None)
        self._unresponsive_seconds.pop(upstream_id, None)
