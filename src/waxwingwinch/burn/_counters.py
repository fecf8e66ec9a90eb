"""What happened between two moments, from cumulative snapshots."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from functools import lru_cache

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.observability import (
    LatencyKind,
    MetricsSnapshot,
    RequestResult,
)
from waxwingwinch.operators_api import MetricsView

#: Histograms that are kept decoded; each is read for several windows.
DECODED_HISTOGRAMS_MAX = 16_384

_MICROSECONDS_PER_SECOND = 1_000_000


@frozen
class Window:
    """
    A span of time.

    :param start_seconds: Unix time of its start; what instances counted up
        to their last snapshot before it is left out.
    :param end_seconds: Unix time of its end.
    """

    start_seconds: float
    end_seconds: float


@define
class Counters:
    """
    What one customer's requests did.

    :param times: Number of events by kind and recorded microseconds.
    :param results: Number of requests by result.
    """

    times: dict[LatencyKind, Counter[int]] = field(factory=lambda: defaultdict(Counter))
    results: Counter[RequestResult] = field(factory=Counter)

    def add(self, other: "Counters") -> None:
        """
        Add what others counted.

        :param other: Their counters.
        """
        for kind, counts in other.times.items():
            self.times[kind].update(counts)
        self.results.update(other.results)

    def minus(self, earlier: "Counters") -> "Counters":
        """
        Return what came after an earlier snapshot.

        :param earlier: Counters of the same process.
        """
        later = Counters(results=self.results - earlier.results)
        for kind, counts in self.times.items():
            later.times[kind] = counts - earlier.times.get(kind, Counter())
        return later

    def events(self, kind: LatencyKind) -> int:
        """
        Return the number of events of a kind.

        :param kind: What was timed.
        """
        return self.times[kind].total() if kind in self.times else 0

    def slower(self, kind: LatencyKind, limit_seconds: float) -> int:
        """
        Return how many events took longer than a limit.

        A recorded value stands for a range of about 1 %; a range that holds
        the limit counts as slower.

        :param kind: What was timed.
        :param limit_seconds: The limit.
        """
        limit = limit_seconds * _MICROSECONDS_PER_SECOND
        counts = self.times.get(kind, Counter())
        return sum(count for value, count in counts.items() if value > limit)

    def quantile_seconds(self, kind: LatencyKind, quantile: float) -> float | None:
        """
        Return a quantile; None without events.

        :param kind: What was timed.
        :param quantile: Between 0 and 1.
        """
        counts = self.times.get(kind, Counter())
        wanted = quantile * counts.total()
        seen = 0
        for value in sorted(counts):
            seen += counts[value]
            if seen >= wanted:
                return value / _MICROSECONDS_PER_SECOND
        return None

    def total_seconds(self, kind: LatencyKind) -> float:
        """
        Return the sum of the times of a kind.

        :param kind: What was timed.
        """
        counts = self.times.get(kind, Counter())
        total = sum(value * count for value, count in counts.items())
        return total / _MICROSECONDS_PER_SECOND


#: Counters by customer.
CustomerCounters = dict[CustomerId, Counters]


def counters_between(views: Sequence[MetricsView], window: Window) -> CustomerCounters:
    """
    Return what happened in a window, over all instances together.

    A start of an instance without a snapshot before the window counts whole.

    :param views: Snapshots in any order.
    :param window: The window.
    """
    merged: CustomerCounters = defaultdict(Counters)
    for own in _by_start(views).values():
        end = _last_until(own, window.end_seconds)
        if end is None:
            continue
        start = _last_until(own, window.start_seconds)
        present = _counters(end.metrics)
        before = {} if start is None else _counters(start.metrics)
        for customer_id, counters in present.items():
            earlier = before.get(customer_id, Counters())
            merged[customer_id].add(counters.minus(earlier))
    return dict(merged)


def _by_start(
    views: Iterable[MetricsView],
) -> dict[tuple[InstanceId, str], list[MetricsView]]:
    """Group snapshots by starts of instances, as each counts from 0."""
    found: dict[tuple[InstanceId, str], list[MetricsView]] = defaultdict(list)
    for view in sorted(views, key=lambda item: item.wall_seconds):
        found[view.instance_id, view.incarnation].append(view)
    return found


def _last_until(views: Sequence[MetricsView], seconds: float) -> MetricsView | None:
    return next(
        (view for view in reversed(views) if view.wall_seconds <= seconds), None
    )


def _counters(snapshot: MetricsSnapshot) -> CustomerCounters:
    counters: CustomerCounters = defaultdict(Counters)
    for latency in snapshot.latencies:
        counters[latency.customer_id].times[latency.kind].update(
            _counts(latency.histogram)
        )
    for count in snapshot.counts:
        counters[count.customer_id].results[count.result] += count.requests
    return counters


@lru_cache(maxsize=DECODED_HISTOGRAMS_MAX)
def _counts(encoded: bytes) -> Counter[int]:
    """Return the number of events by the upper end of their range."""
    histogram = HdrHistogram.decode(encoded)
    counts: Counter[int] = Counter()
    # The library's own iterator takes ten times as long.
    for index in range(histogram.counts_len):
        count = histogram.get_count_at_index(index)
        if count:
            value = histogram.get_value_from_index(index)
            counts[histogram.get_highest_equivalent_value(value)] = count
    return counts
