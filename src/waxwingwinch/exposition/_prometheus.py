"""Export of metrics in the Prometheus text format."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.metrics_core import Metric

from waxwingwinch.observability._metrics import LatencyMetric, MetricsSnapshot

#: Exported quantiles of latency.
QUANTILES = (0.5, 0.9, 0.95, 0.99)

_MICROSECONDS_PER_SECOND = 1_000_000


class _SnapshotCollector:
    """
    Prometheus collector that exports one metrics snapshot.

    :param snapshot: The snapshot.
    """

    def __init__(self, snapshot: MetricsSnapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterable[Metric]:
        """Return the metric families of the snapshot."""
        yield self._requests()
        yield self._quantiles()
        yield self._summaries()

    def _requests(self) -> Metric:
        family = CounterMetricFamily(
            "waxwing_requests",
            "Requests by result.",
            labels=["customer", "route", "result"],
        )
        for count in self._snapshot.counts:
            labels = [count.customer_id, count.route, count.result.value]
            family.add_metric(labels, count.requests)
        return family

    def _quantiles(self) -> Metric:
        family = GaugeMetricFamily(
            "waxwing_latency_quantile_seconds",
            "Quantiles of latency since the start of the process.",
            labels=["customer", "route", "kind", "quantile"],
        )
        for latency in self._snapshot.latencies:
            histogram = latency.decode()
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(100 * quantile)
                family.add_metric(
                    [*_labels(latency), str(quantile)], value / _MICROSECONDS_PER_SECOND
                )
        return family

    def _summaries(self) -> Metric:
        family = SummaryMetricFamily(
            "waxwing_latency_seconds",
            "Number and sum of latencies.",
            labels=["customer", "route", "kind"],
        )
        for latency in self._snapshot.latencies:
            histogram = latency.decode()
            count = histogram.get_total_count()
            sum_seconds = histogram.get_mean_value() * count / _MICROSECONDS_PER_SECOND
            family.add_metric(_labels(latency), count, sum_seconds)
        return family


def _labels(latency: LatencyMetric) -> list[str]:
    return [latency.customer_id, latency.route, latency.kind.value]


def prometheus_text(snapshot: MetricsSnapshot) -> bytes:
    """
    Return a metrics snapshot in the Prometheus text format.

    :param snapshot: The metrics.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(snapshot))  # type: ignore[arg-type]
    return generate_latest(registry)
