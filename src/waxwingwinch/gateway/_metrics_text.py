"""Gateway metrics in the Prometheus text format."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric

from waxwingwinch.exposition import prometheus_text
from waxwingwinch.gateway._telemetry import CounterName, GatewayCounts
from waxwingwinch.observability import MetricsSnapshot


class _GatewayCollector:
    """
    Converts gateway counts to Prometheus metric families.

    :param counts: The counts of the gateway.
    """

    def __init__(self, counts: GatewayCounts) -> None:
        self._counts = counts

    def collect(self) -> Iterable[Metric]:
        """Return the metric families."""
        for name in CounterName:
            family = CounterMetricFamily(name.value, name.value, labels=["kind"])
            for (counter_name, label), value in self._counts.counters.items():
                if counter_name is name:
                    family.add_metric([label], value)
            yield family
        yield self._store_family()
        yield self._prompt_family()
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._counts.gauges:
            label_names = [label for label, _ in gauge.labels]
            gauge_family = families.setdefault(
                gauge.name,
                GaugeMetricFamily(gauge.name, gauge.name, labels=label_names),
            )
            gauge_family.add_metric([value for _, value in gauge.labels], gauge.value)
        yield from families.values()

    def _store_family(self) -> Metric:
        name = "waxwing_store_call_seconds"
        family = HistogramMetricFamily(name, name, labels=["call", "result"])
        for (call, result), durations in self._counts.store_calls.items():
            family.add_metric(
                [call, result.value], durations.buckets(), durations.sum_seconds
            )
        return family

    def _prompt_family(self) -> Metric:
        name = "waxwing_engine_prompt_tokens"
        family = CounterMetricFamily(name, name, labels=["upstream", "kind"])
        for upstream_id, counts in self._counts.prompts.items():
            family.add_metric([upstream_id, "read"], counts.work_tokens)
            family.add_metric([upstream_id, "cached"], counts.cached_tokens)
        return family


def metrics_text(snapshot: MetricsSnapshot, counts: GatewayCounts) -> bytes:
    """
    Return all metrics in the Prometheus text format.

    :param snapshot: Metrics of customers' requests.
    :param counts: All other counts of the gateway.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_GatewayCollector(counts))  # type: ignore[arg-type]
    return prometheus_text(snapshot) + generate_latest(registry)
