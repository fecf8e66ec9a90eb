"""Counters and times of the gateway, in the text format of Prometheus."""

import enum
import threading
from collections.abc import Iterable

from attrs import frozen
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._outcomes import RefusalReason
from waxwingwinch.observability import (
    LatencyKind,
    MetricKey,
    Metrics,
    RequestResult,
    prometheus_text,
)

#: Customer under which requests on routes open to all are recorded.
NOBODY = CustomerId("")


class CounterName(enum.Enum):
    """What is counted by a label of a bounded set."""

    REFUSALS = "waxwing_refusals"
    UPSTREAM_FAILURES = "waxwing_upstream_failures"
    PLACEMENTS = "waxwing_placements"
    RESUMED_STREAMS = "waxwing_resumed_streams"


@frozen
class Gauge:
    """
    A value at the moment of the reading.

    :param name: Name of the metric.
    :param labels: Label values by label name.
    :param value: The value.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


class _GatewayCollector:
    """
    Hands counters and gauges to the Prometheus library.

    :param counters: Values by name and label.
    :param gauges: The gauges.
    """

    def __init__(
        self, counters: dict[tuple[CounterName, str], int], gauges: Iterable[Gauge]
    ) -> None:
        self._counters = counters
        self._gauges = gauges

    def collect(self) -> Iterable[Metric]:
        """Return the metric families."""
        for name in CounterName:
            family = CounterMetricFamily(name.value, name.value, labels=["kind"])
            for (counted, label), value in self._counters.items():
                if counted is name:
                    family.add_metric([label], value)
            yield family
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._gauges:
            names = [label for label, _ in gauge.labels]
            family_of_gauge = families.setdefault(
                gauge.name, GaugeMetricFamily(gauge.name, gauge.name, labels=names)
            )
            family_of_gauge.add_metric(
                [value for _, value in gauge.labels], gauge.value
            )
        yield from families.values()


class Telemetry:
    """Records what happens to requests; may be used from all threads."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self._counters: dict[tuple[CounterName, str], int] = {}
        self._lock = threading.Lock()

    def count(self, name: CounterName, label: str) -> None:
        """
        Count an event.

        :param name: What is counted.
        :param label: One of few.
        """
        with self._lock:
            self._counters[name, label] = self._counters.get((name, label), 0) + 1

    def answered(
        self,
        customer_id: CustomerId | None,
        route: str,
        took_seconds: float,
        target_seconds: float,
    ) -> None:
        """
        Record an answer of an upstream.

        :param customer_id: Whose request it was.
        :param route: Name of its route.
        :param took_seconds: Time to the first event, or to the whole answer.
        :param target_seconds: The latency objective.
        """
        key = MetricKey(customer_id or NOBODY, route)
        is_late = took_seconds > target_seconds
        self._metrics.record(key, LatencyKind.FIRST_TOKEN, took_seconds)
        self._metrics.count(
            key, RequestResult.LATE if is_late else RequestResult.SERVED
        )

    def ended(
        self, customer_id: CustomerId | None, route: str, reason: RefusalReason
    ) -> None:
        """
        Record a request that got no answer of an upstream.

        :param customer_id: Whose request it was.
        :param route: Name of its route.
        :param reason: Why.
        """
        match reason:
            case RefusalReason.OVER_QUOTA:
                result = RequestResult.REFUSED_OVER_RATE
            case RefusalReason.OUTCOME_UNKNOWN | RefusalReason.TIMED_OUT:
                result = RequestResult.FAILED
            case _:
                result = RequestResult.REFUSED_WITHIN_RATE
        self._metrics.count(MetricKey(customer_id or NOBODY, route), result)
        self.count(CounterName.REFUSALS, reason.value)

    def text(self, gauges: Iterable[Gauge]) -> bytes:
        """
        Return everything in the text format.

        :param gauges: Values at this moment.
        """
        with self._lock:
            counters = dict(self._counters)
        registry = CollectorRegistry(auto_describe=False)
        registry.register(
            _GatewayCollector(counters, gauges)  # type: ignore[arg-type]
        )
        return prometheus_text(self._metrics.snapshot()) + generate_latest(registry)
