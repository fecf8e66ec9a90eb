"""Recorders of latency and outcomes by customer and route."""

import enum
import threading

from attrs import evolve, frozen
from hdrh.histogram import HdrHistogram

from waxwingwinch._types import CustomerId
from waxwingwinch.codec import message

#: Smallest and largest recorded time.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
#: Precision of recorded times.
SIGNIFICANT_DIGITS = 2
#: Pairs of customer and route that get recorders of their own.
RECORDED_PAIRS_MAX = 256
#: Name under which further customers and routes are recorded.
OTHER = "other"

_MICROSECONDS_PER_SECOND = 1_000_000


class LatencyKind(enum.Enum):
    """What was timed."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"


class RequestResult(enum.Enum):
    """How a request ended."""

    #: Whole and within the promised times.
    SERVED = "served"
    #: Whole, but later than promised.
    LATE = "late"
    #: Refused for lack of capacity, or by a share of the rate that was used
    #: up here, while the customer kept to its rate.
    REFUSED_WITHIN_RATE = "refused_within_rate"
    #: Refused because the customer exceeded its rate.
    REFUSED_OVER_RATE = "refused_over_rate"
    #: Not answered whole.
    FAILED = "failed"
    #: The caller went away.
    ABANDONED = "abandoned"


@frozen
class MetricKey:
    """
    Whose requests are recorded together.

    :param customer_id: The customer; empty on routes open to all.
    :param route: The path of the route.
    """

    customer_id: CustomerId
    route: str


@message("latency_metric")
@frozen
class LatencyMetric:
    """
    The recorded times of one kind.

    :param customer_id: The customer.
    :param route: The path of the route.
    :param kind: What was timed.
    :param histogram: Encoded HDR histogram of microseconds.
    """

    customer_id: CustomerId
    route: str
    kind: LatencyKind
    histogram: bytes

    def decode(self) -> HdrHistogram:
        """Return the histogram; its values are microseconds."""
        return HdrHistogram.decode(self.histogram)


@message("count_metric")
@frozen
class CountMetric:
    """
    Number of requests with one result.

    :param customer_id: The customer.
    :param route: The path of the route.
    :param result: How they ended.
    :param requests: How many.
    """

    customer_id: CustomerId
    route: str
    result: RequestResult
    requests: int


@message("metrics_snapshot")
@frozen
class MetricsSnapshot:
    """
    What one or several instances have recorded since their start.

    :param latencies: Times by customer, route and kind.
    :param counts: Requests by customer, route and result.
    """

    latencies: tuple[LatencyMetric, ...] = ()
    counts: tuple[CountMetric, ...] = ()


class Metrics:
    """Records times and results; may be used from all threads."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[MetricKey, LatencyKind], HdrHistogram] = {}
        self._counts: dict[tuple[MetricKey, RequestResult], int] = {}
        self._keys: set[MetricKey] = set()
        self._lock = threading.Lock()

    def record(self, key: MetricKey, kind: LatencyKind, seconds: float) -> None:
        """
        Record a time.

        :param key: Whose request.
        :param kind: What was timed.
        :param seconds: The time.
        """
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        with self._lock:
            slot = (self._bounded_key(key), kind)
            histogram = self._histograms.get(slot)
            if histogram is None:
                histogram = self._histograms[slot] = _new_histogram()
            histogram.record_value(bounded)

    def count(self, key: MetricKey, result: RequestResult) -> None:
        """
        Count a request.

        :param key: Whose request.
        :param result: How it ended.
        """
        with self._lock:
            slot = (self._bounded_key(key), result)
            self._counts[slot] = self._counts.get(slot, 0) + 1

    def snapshot(self) -> MetricsSnapshot:
        """Return all that was recorded."""
        with self._lock:
            latencies = [
                LatencyMetric(key.customer_id, key.route, kind, histogram.encode())
                for (key, kind), histogram in self._histograms.items()
            ]
            counts = [
                CountMetric(key.customer_id, key.route, result, requests)
                for (key, result), requests in self._counts.items()
            ]
        return MetricsSnapshot(
            tuple(sorted(latencies, key=_latency_order)),
            tuple(sorted(counts, key=_count_order)),
        )

    def _bounded_key(self, key: MetricKey) -> MetricKey:
        if key not in self._keys:
            if len(self._keys) >= RECORDED_PAIRS_MAX:
                return MetricKey(CustomerId(OTHER), OTHER)
            self._keys.add(key)
        return key


def merge_snapshots(*snapshots: MetricsSnapshot) -> MetricsSnapshot:
    """
    Join what several instances have recorded.

    :param snapshots: At most one of each process.
    """
    histograms: dict[tuple[str, str, str], HdrHistogram] = {}
    latencies: dict[tuple[str, str, str], LatencyMetric] = {}
    counts: dict[tuple[str, str, str], CountMetric] = {}
    for snapshot in snapshots:
        for latency in snapshot.latencies:
            order = _latency_order(latency)
            latencies[order] = latency
            histograms.setdefault(order, _new_histogram()).add(latency.decode())
        for count in snapshot.counts:
            present = counts.get(_count_order(count))
            earlier = present.requests if present is not None else 0
            merged = evolve(count, requests=count.requests + earlier)
            counts[_count_order(count)] = merged
    return MetricsSnapshot(
        tuple(
            evolve(latencies[order], histogram=histograms[order].encode())
            for order in sorted(latencies)
        ),
        tuple(counts[order] for order in sorted(counts)),
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


def _latency_order(metric: LatencyMetric) -> tuple[str, str, str]:
    return metric.customer_id, metric.route, metric.kind.value


def _count_order(metric: CountMetric) -> tuple[str, str, str]:
    return metric.customer_id, metric.route, metric.result.value
