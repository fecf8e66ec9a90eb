"""What is known of the times during which upstreams are cold."""

import threading
from collections.abc import Callable, Set as AbstractSet

from attrs import evolve, frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._model import ServiceRules
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold._budgets import BOUND_SECONDS
from waxwingwinch.gateway.cold._log_lines import ColdLearned
from waxwingwinch.gateway.cold._messages import ColdUpstreamReport

#: Time after a suspension in which a read may have been answered before it,
#: as replies that are buffered are read at once.
BUFFERED_SECONDS = 0.3
#: Source of a cold period that an answer to this process states.
ANSWER_SOURCE = "answer"


@frozen
class _Period:
    """
    A time during which an incarnation is cold.

    :param started_ms: Unix time of the incarnation's start in milliseconds.
    :param until_seconds: Monotonic time of its end.
    :param learned_seconds: Monotonic time at which it was learned.
    :param is_local: True if an answer to this process states it.
    """

    started_ms: int
    until_seconds: float
    learned_seconds: float
    is_local: bool


class ColdPeriods:
    """
    The upstreams that are cold; may be used from all threads.

    :param find_rules: Returns the rules of a service; None if it is unknown.
    """

    def __init__(self, find_rules: Callable[[str], ServiceRules | None]) -> None:
        self._find_rules = find_rules
        self._periods: dict[UpstreamId, _Period] = {}
        self._rest_until_seconds: dict[UpstreamId, float] = {}
        # Monotonic time since which the entries may be outdated.
        self._doubt_seconds: float | None = None
        self._lock = threading.Lock()

    def rate(self, upstream: Upstream) -> float:
        """
        Return the requests per second that an upstream can handle while cold.

        :param upstream: The upstream.
        :returns: 0 for no limit.
        """
        rules = self._find_rules(upstream.service)
        return rules.cold_requests_per_second if rules is not None else 0.0

    def until_seconds(self, upstream: Upstream) -> float:
        """
        Return the monotonic time until which an upstream is cold.

        :param upstream: Its entry.
        """
        with self._lock:
            until_seconds = self._until_seconds(upstream)
            doubt_seconds = self._doubt_seconds
        rules = self._find_rules(upstream.service)
        if doubt_seconds is None or rules is None or not rules.cold_requests_per_second:
            return until_seconds
        return max(until_seconds, doubt_seconds + rules.cold_start_seconds)

    def is_limited(self, upstream: Upstream, now_seconds: float) -> bool:
        """
        Tell whether requests to an upstream need a permit, as it is cold.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        return self.rate(upstream) > 0 and self.until_seconds(upstream) > now_seconds

    def rest_until_seconds(self, upstream_id: UpstreamId) -> float:
        """
        Return until when an upstream gets nothing, having just become cold.

        :param upstream_id: The upstream.
        """
        with self._lock:
            return self._rest_until_seconds.get(upstream_id, 0.0)

    def put_entry(
        self,
        upstream: Upstream,
        previous: Upstream | None,
        age_seconds: float | None,
        now_seconds: float,
    ) -> None:
        """
        Record the entry of an upstream.

        Of an entry that doesn't say whether it is cold, a new incarnation
        counts as cold for the time that the service's rules name.

        :param upstream: The entry.
        :param previous: The entry before; None if there was none.
        :param age_seconds: Time since its start, if this process may have
            missed the start; None if it has just started.
        :param now_seconds: Monotonic time.
        """
        rules = self._find_rules(upstream.service)
        if rules is None or not rules.cold_requests_per_second:
            return
        is_new = previous is None or previous.started_ms < upstream.started_ms
        if previous is not None and previous.started_ms > upstream.started_ms:
            return
        if upstream.is_cold_stated:
            if previous is not None and upstream.cold_until_seconds > now_seconds:
                self._turn_cold(
                    upstream,
                    previous,
                    upstream.cold_until_seconds,
                    "entry",
                    now_seconds,
                )
        elif is_new and upstream.started_ms:
            until_seconds = now_seconds + rules.cold_start_seconds - (age_seconds or 0)
            if until_seconds > now_seconds:
                self._turn_cold(upstream, previous, until_seconds, "start", now_seconds)

    def record_statement(
        self,
        upstream: Upstream,
        remaining_seconds: float,
        sent_seconds: float,
        now_seconds: float,
    ) -> None:
        """
        Record what an answer to this process states.

        :param upstream: The upstream that answered.
        :param remaining_seconds: Time for which it remains cold; 0 ends what
            was known before the request was sent, except by its entry.
        :param sent_seconds: Monotonic time at which the request was sent.
        :param now_seconds: Monotonic time.
        """
        if remaining_seconds > 0:
            until_seconds = now_seconds + remaining_seconds
            self._turn_cold(
                upstream, upstream, until_seconds, ANSWER_SOURCE, now_seconds
            )
            return
        with self._lock:
            known = self._periods.get(upstream.upstream_id)
            if known is not None and known.learned_seconds < sent_seconds:
                del self._periods[upstream.upstream_id]

    def record_report(
        self,
        upstream: Upstream,
        started_ms: int,
        remaining_seconds: float,
        reporter_id: InstanceId,
        made_seconds: float,
        now_seconds: float,
    ) -> None:
        """
        Record what another instance says of an upstream.

        :param upstream: The upstream, as known here.
        :param started_ms: Unix time of the incarnation's start in
            milliseconds.
        :param remaining_seconds: Time for which it remains cold.
        :param reporter_id: The other instance.
        :param made_seconds: Monotonic time at which it said so.
        :param now_seconds: Monotonic time.
        """
        until_seconds = made_seconds + remaining_seconds
        if started_ms >= upstream.started_ms and until_seconds > now_seconds:
            # The entry of a new incarnation may arrive after the report.
            self._turn_cold(upstream, upstream, until_seconds, reporter_id, now_seconds)

    def suspect(self, upstream: Upstream, now_seconds: float) -> None:
        """
        Record a failed call: the upstream may have restarted since its entry.

        :param upstream: The upstream.
        :param now_seconds: Monotonic time.
        """
        rules = self._find_rules(upstream.service)
        if rules is not None and rules.cold_start_seconds:
            until_seconds = now_seconds + rules.cold_start_seconds
            self._turn_cold(upstream, upstream, until_seconds, "failure", now_seconds)

    def doubt_entries(self, now_seconds: float) -> None:
        """
        Record that the process was suspended: any upstream may have restarted.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._doubt_seconds = now_seconds

    def record_read(self, read_seconds: float) -> None:
        """
        Record that the entries were read.

        :param read_seconds: Monotonic time of the read.
        """
        with self._lock:
            doubt_seconds = self._doubt_seconds
            if doubt_seconds is not None and (
                read_seconds > doubt_seconds + BUFFERED_SECONDS
            ):
                self._doubt_seconds = None

    def reports(self, now_seconds: float) -> tuple[ColdUpstreamReport, ...]:
        """
        Return what answers to this process state, for the other instances.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                ColdUpstreamReport(
                    upstream_id, period.started_ms, period.until_seconds - now_seconds
                )
                for upstream_id, period in self._periods.items()
                if period.is_local and period.until_seconds > now_seconds
            )

    def retain_only(
        self, upstream_ids: AbstractSet[UpstreamId], now_seconds: float
    ) -> None:
        """
        Delete what is known of other upstreams, and what has ended.

        :param upstream_ids: The upstreams to retain.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            for upstream_id, period in list(self._periods.items()):
                is_over = period.until_seconds <= now_seconds
                if is_over or upstream_id not in upstream_ids:
                    del self._periods[upstream_id]
                    self._rest_until_seconds.pop(upstream_id, None)

    def _until_seconds(self, upstream: Upstream) -> float:
        period = self._periods.get(upstream.upstream_id)
        if period is None or period.started_ms != upstream.started_ms:
            return upstream.cold_until_seconds
        return max(period.until_seconds, upstream.cold_until_seconds)

    def _turn_cold(
        self,
        upstream: Upstream,
        previous: Upstream | None,
        until_seconds: float,
        source: str,
        now_seconds: float,
    ) -> None:
        """Record a period; begin a rest if the upstream has been in use."""
        if not self.rate(upstream):
            return
        upstream_id, started_ms = upstream.upstream_id, upstream.started_ms
        is_local = source == ANSWER_SOURCE
        with self._lock:
            known = self._periods.get(upstream_id)
            if known is not None and known.started_ms > started_ms:
                return
            was_cold = (
                previous is not None
                and previous.started_ms == started_ms
                and self._until_seconds(previous) > now_seconds
            )
            period = _Period(started_ms, until_seconds, now_seconds, is_local)
            if known is not None and known.started_ms == started_ms:
                period = evolve(
                    period,
                    until_seconds=max(until_seconds, known.until_seconds),
                    is_local=is_local or known.is_local,
                )
            self._periods[upstream_id] = period
            if was_cold:
                return
            rest_seconds = BOUND_SECONDS if previous is not None else 0.0
            self._rest_until_seconds[upstream_id] = now_seconds + rest_seconds
        ColdLearned(
            upstream_id=upstream_id,
            started_ms=started_ms,
            remaining_seconds=until_seconds - now_seconds,
            source=source,
            rest_seconds=rest_seconds,
        ).write()
