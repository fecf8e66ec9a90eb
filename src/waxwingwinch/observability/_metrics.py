"""Latency histograms and result counters by customer and route."""

import enum
import threading

from attrs import evolve, frozen
from hdrh.histogram import HdrHistogram

from waxwingwinch._types import CustomerId
from waxwingwinch.codec import message

#: Recorded times are clamped to this range.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
#: Precision of recorded times, in decimal digits.
SIGNIFICANT_DIGITS = 2
#: Maximum number of pairs of customer and route recorded separately.
MAX_RECORDED_PAIRS = 256
#: Customer and route name under which all further pairs are recorded.
OTHER = "other"

_MICROSECONDS_PER_SECOND = 1_000_000


class LatencyKind(enum.Enum):
    """Kinds of measured latency."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"


class RequestResult(enum.Enum):
    """How a request ended."""

    #: Completed within the promised times.
    SERVED = "served"
    #: Completed, but later than promised.
    LATE = "late"
    #: Refused although the customer stayed within its rate: for lack of
    #: capacity, or as this process's share of the rate was used up.
    REFUSED_WITHIN_RATE = "refused_within_rate"
    #: Refused because the customer exceeded its rate.
    REFUSED_OVER_RATE = "refused_over_rate"
    #: Failed without a complete response.
    FAILED = "failed"
    #: The caller disconnected.
    ABANDONED = "abandoned"


@frozen
class MetricKey:
    """
    Customer and route whose requests are recorded together.

    :param customer_id: The customer; empty on routes open to all.
    :param route: The path of the route.
    """

    customer_id: CustomerId
    route: str


@message("latency_metric")
@frozen
class LatencyMetric:
    """
    The recorded times of one kind, for one customer and route.

    :param customer_id: The customer.
    :param route: The path of the route.
    :param kind: Kind of latency.
    :param histogram: Encoded HDR histogram of microseconds.
    """

    customer_id: CustomerId
    route: str
    kind: LatencyKind
    histogram: bytes

    def decode(self) -> HdrHistogram:
        """Return the histogram, with values in microseconds."""
        return HdrHistogram.decode(self.histogram)


@message("count_metric")
@frozen
class CountMetric:
    """
    Number of requests with one result, for one customer and route.

    :param customer_id: The customer.
    :param route: The path of the route.
    :param result: Result of the requests.
    :param requests: Number of requests.
    """

    customer_id: CustomerId
    route: str
    result: RequestResult
    requests: int


@message("metrics_snapshot")
@frozen
class MetricsSnapshot:
    """
    Metrics recorded by one or several instances since their start.

    :param latencies: Times by customer, route and kind.
    :param counts: Requests by customer, route and result.
    """

    latencies: tuple[LatencyMetric, ...] = ()
    counts: tuple[CountMetric, ...] = ()


class Metrics:
    """Records latencies and results of requests; thread-safe."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[MetricKey, LatencyKind], HdrHistogram] = {}
        self._counts: dict[tuple[MetricKey, RequestResult], int] = {}
        self._keys: set[MetricKey] = set()
        self._lock = threading.Lock()

    def record(self, key: MetricKey, kind: LatencyKind, seconds: float) -> None:
        """
        Record a latency.

        :param key: Customer and route of the request.
        :param kind: Kind of latency.
        :param seconds: The latency.
        """
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        clamped = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        with self._lock:
            slot = (self._bounded_key(key), kind)
            histogram = self._histograms.get(slot)
            if histogram is None:
                histogram = self._histograms[slot] = _new_histogram()
            histogram.record_value(clamped)

    def count(self, key: MetricKey, result: RequestResult) -> None:
        """
        Count a request.

        :param key: Customer and route of the request.
        :param result: Result of the request.
        """
        with self._lock:
            slot = (self._bounded_key(key), result)
            self._counts[slot] = self._counts.get(slot, 0) + 1

    def snapshot(self) -> MetricsSnapshot:
        """Return all recorded latencies and results."""
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
            if len(self._keys) >= MAX_RECORDED_PAIRS:
                return MetricKey(CustomerId(OTHER), OTHER)
            self._keys.add(key)
        return key


def merge_snapshots(*snapshots: MetricsSnapshot) -> MetricsSnapshot:
    """
    Merge the snapshots of several instances.

    :param snapshots: At most one snapshot of each process.
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
