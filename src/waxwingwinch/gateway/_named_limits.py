"""Limits that upstreams name, and the requests sent to upstreams recently."""

import itertools
import threading
from collections import deque
from collections.abc import Set as AbstractSet

from attrs import frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._limit_log_lines import LimitChanged
from waxwingwinch.gateway._limit_messages import LimitedSends, NamedLimitReport

#: Time over which requests to an upstream are counted against its limit; from
#: the users' rule on limits.
LIMIT_WINDOW_SECONDS = 4.0
#: Time for which the end of a limit, and requests to upstreams with limits,
#: are reported to the other instances.
REPORTED_SECONDS = 4.0
#: Maximum number of reported entries of sends; far more than the limits allow
#: in the time for which they are reported.
MAX_REPORTED_SENDS = 256


@frozen
class NamedLimit:
    """
    What an upstream last said of its limit.

    :param started_ms: Unix time of the upstream's start in milliseconds.
    :param limit_per_second: Requests per second that it takes from all
        instances together; None if it names no limit any more.
    :param observed_seconds: Monotonic time of the observation.
    """

    started_ms: int
    limit_per_second: float | None
    observed_seconds: float


@frozen
class _SentRequests:
    """
    Requests sent to an upstream that names a limit.

    :param sequence: Increases with each entry of the process.
    :param upstream_id: The upstream.
    :param count: Number of requests.
    :param sent_seconds: Monotonic time at which the last was sent.
    """

    sequence: int
    upstream_id: UpstreamId
    count: int
    sent_seconds: float


class NamedLimits:
    """The limits of the upstreams; may be used from all threads."""

    def __init__(self) -> None:
        self._limits: dict[UpstreamId, NamedLimit] = {}
        self._local_observations: dict[UpstreamId, NamedLimit] = {}
        # Of all upstreams, since those sent before a limit is known count too.
        self._sends: dict[UpstreamId, deque[float]] = {}
        self._reported_sends: deque[_SentRequests] = deque(maxlen=MAX_REPORTED_SENDS)
        self._sequences = itertools.count(1)
        self._lock = threading.Lock()

    def get(self, upstream_id: UpstreamId, started_ms: int) -> NamedLimit | None:
        """
        Return the limit that an upstream names; None if it names none.

        :param upstream_id: The upstream.
        :param started_ms: Unix time of its start in milliseconds.
        """
        with self._lock:
            known = self._limits.get(upstream_id)
            if known is None or known.limit_per_second is None:
                return None
            return known if known.started_ms == started_ms else None

    def observe(
        self, upstream_id: UpstreamId, observed: NamedLimit, now_seconds: float
    ) -> None:
        """
        Record what an answer to this process says of an upstream's limit.

        :param upstream_id: The upstream.
        :param observed: The observation. One without a limit is dated to the
            time at which the request was sent, so that it ends only a limit
            that was named before.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            known = self._limits.get(upstream_id)
            if known is None and observed.limit_per_second is None:
                return
            if known is not None and _precedes(observed, known):
                return
            self._local_observations[upstream_id] = observed
            self._replace(upstream_id, observed, None, now_seconds)

    def record_report(
        self, report: NamedLimitReport, reporter_id: InstanceId, made_seconds: float
    ) -> None:
        """
        Record what an answer to another instance says of a limit.

        :param report: The other instance's observation.
        :param reporter_id: The other instance.
        :param made_seconds: Monotonic time at which it was reported.
        """
        observed = NamedLimit(
            report.started_ms,
            report.limit_per_second,
            made_seconds - report.age_seconds,
        )
        with self._lock:
            known = self._limits.get(report.upstream_id)
            if known is None or _precedes(known, observed):
                self._replace(report.upstream_id, observed, reporter_id, made_seconds)

    def record_send(
        self, upstream_id: UpstreamId, started_ms: int, now_seconds: float
    ) -> int:
        """
        Record that a request is sent to an upstream.

        :param upstream_id: The upstream.
        :param started_ms: Unix time of its start in milliseconds.
        :param now_seconds: Monotonic time.
        :returns: Requests sent to it in the past window, this one included.
        """
        is_limited = self.get(upstream_id, started_ms) is not None
        with self._lock:
            sends = self._sends.setdefault(upstream_id, deque())
            sends.append(now_seconds)
            while sends[0] <= now_seconds - LIMIT_WINDOW_SECONDS:
                sends.popleft()
            if is_limited:
                self._report_sends(upstream_id, 1, now_seconds)
            return len(sends)

    def limit_reports(self, now_seconds: float) -> tuple[NamedLimitReport, ...]:
        """
        Return this process's observations, for the other instances.

        A limit is reported as long as it holds, so that an instance that
        starts learns it, by the instance that observed it last.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                NamedLimitReport(
                    upstream_id,
                    observed.started_ms,
                    observed.limit_per_second,
                    now_seconds - observed.observed_seconds,
                )
                for upstream_id, observed in self._local_observations.items()
                if self._limits.get(upstream_id) is observed
                and (
                    observed.limit_per_second is not None
                    or now_seconds - observed.observed_seconds < REPORTED_SECONDS
                )
            )

    def send_reports(self, now_seconds: float) -> tuple[LimitedSends, ...]:
        """
        Return the recent requests to upstreams that name a limit.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return tuple(
                LimitedSends(
                    sent.sequence,
                    sent.upstream_id,
                    sent.count,
                    now_seconds - sent.sent_seconds,
                )
                for sent in self._reported_sends
                if now_seconds - sent.sent_seconds < REPORTED_SECONDS
            )

    def retain_only(self, upstream_ids: AbstractSet[UpstreamId]) -> None:
        """
        Delete what is known of all upstreams except the given ones.

        :param upstream_ids: The upstreams to retain.
        """
        with self._lock:
            for table in (self._limits, self._local_observations, self._sends):
                for upstream_id in table.keys() - upstream_ids:
                    del table[upstream_id]

    def _replace(
        self,
        upstream_id: UpstreamId,
        observed: NamedLimit,
        reporter_id: InstanceId | None,
        now_seconds: float,
    ) -> None:
        known = self._limits.get(upstream_id)
        if known is not None and known.started_ms != observed.started_ms:
            known = None
        self._limits[upstream_id] = observed
        _log_change(upstream_id, observed, known, reporter_id, now_seconds)
        was_limited = known is not None and known.limit_per_second is not None
        if observed.limit_per_second is None or was_limited:
            return
        # Requests sent before the limit was known count against it as well.
        oldest_seconds = now_seconds - LIMIT_WINDOW_SECONDS
        sends = self._sends.get(upstream_id, ())
        count = sum(sent_seconds > oldest_seconds for sent_seconds in sends)
        if count:
            self._report_sends(upstream_id, count, now_seconds)

    def _report_sends(
        self, upstream_id: UpstreamId, count: int, now_seconds: float
    ) -> None:
        self._reported_sends.append(
            _SentRequests(next(self._sequences), upstream_id, count, now_seconds)
        )


def _precedes(observed: NamedLimit, other: NamedLimit) -> bool:
    return (observed.started_ms, observed.observed_seconds) < (
        other.started_ms,
        other.observed_seconds,
    )


def _log_change(
    upstream_id: UpstreamId,
    observed: NamedLimit,
    known: NamedLimit | None,
    reporter_id: InstanceId | None,
    now_seconds: float,
) -> None:
    known_per_second = known.limit_per_second if known is not None else None
    if observed.limit_per_second == known_per_second:
        return
    LimitChanged(
        upstream_id=upstream_id,
        limit_per_second=observed.limit_per_second,
        observed_age_seconds=now_seconds - observed.observed_seconds,
        reporter=reporter_id,
        known_per_second=known_per_second,
        known_age_seconds=(
            now_seconds - known.observed_seconds if known is not None else None
        ),
    ).write()
