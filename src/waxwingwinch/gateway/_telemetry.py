"""Counters and call durations of the gateway."""

import enum
import threading
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable
from copy import deepcopy
from itertools import accumulate

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._outcomes import RefusalReason
from waxwingwinch.observability import LatencyKind, MetricKey, Metrics, RequestResult

#: Upper bounds of the histogram buckets for the durations of store calls; a
#: healthy store responds within the first two.
STORE_CALL_BOUNDS_SECONDS = (0.01, 0.05, 0.25, 1.0, 5.0)
#: Maximum number of engines with separate prompt counts; the least recently
#: used are evicted.
COUNTED_ENGINES_MAX = 100
#: Customer id under which requests on public routes are recorded.
ANONYMOUS_CUSTOMER = CustomerId("")


class CounterName(enum.Enum):
    """Names of counters, each with one label from a bounded set of values."""

    REFUSALS = "waxwing_refusals"
    UPSTREAM_FAILURES = "waxwing_upstream_failures"
    PLACEMENTS = "waxwing_placements"
    RESUMED_STREAMS = "waxwing_resumed_streams"
    REPEATS = "waxwing_repeats"
    EJECTIONS = "waxwing_ejections"
    LIMITED_SENDS = "waxwing_limited_sends"
    LIMIT_PERMITS = "waxwing_limit_permits"
    BROKEN_ATTEMPTS = "waxwing_broken_attempts"
    STATEMENTS = "waxwing_upstream_statements"
    UNANSWERED_CONNECTIONS = "waxwing_unanswered_connections"
    BOUNDED_CONNECTIONS = "waxwing_bounded_connections"


class StoreCallResult(enum.Enum):
    """Result of a call to the platform's store."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    #: The store responded that it could not execute the call as requested.
    FAILED = "failed"


@frozen
class Gauge:
    """
    A metric value at the time of the scrape.

    :param name: Name of the metric.
    :param labels: Pairs of label name and label value.
    :param value: The value.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


@define
class CallDurations:
    """
    Durations of the store calls of one kind with one result.

    :param counts: Number of calls in each histogram bucket, the longest last.
    :param sum_seconds: Total duration of all calls.
    """

    counts: list[int] = field(
        factory=lambda: [0] * (len(STORE_CALL_BOUNDS_SECONDS) + 1)
    )
    sum_seconds: float = 0.0

    def add(self, took_seconds: float) -> None:
        """
        Count a call.

        :param took_seconds: Duration of the call.
        """
        self.counts[bisect_left(STORE_CALL_BOUNDS_SECONDS, took_seconds)] += 1
        self.sum_seconds += took_seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds with the cumulative number of calls."""
        bounds = [*(str(bound) for bound in STORE_CALL_BOUNDS_SECONDS), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


@define
class PromptCounts:
    """
    Tokens of the prompts sent to one engine.

    :param work_tokens: Prefill work, as tokens without attention.
    :param cached_tokens: Tokens expected in the KV cache of the engine.
    """

    work_tokens: int = 0
    cached_tokens: int = 0


@frozen
class GatewayCounts:
    """
    The metrics of the gateway other than those of customers' requests.

    :param counters: Counts by name and label.
    :param gauges: Values at the time of the scrape.
    :param store_calls: Durations of store calls by kind and result.
    :param prompts: Prompt tokens by engine.
    """

    counters: dict[tuple[CounterName, str], int]
    gauges: tuple[Gauge, ...]
    store_calls: dict[tuple[str, StoreCallResult], CallDurations]
    prompts: dict[UpstreamId, PromptCounts]


class Telemetry:
    """Records metrics of requests and store calls; thread-safe."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self._counters: dict[tuple[CounterName, str], int] = {}
        self._store_calls: dict[tuple[str, StoreCallResult], CallDurations] = {}
        self._prompts: OrderedDict[UpstreamId, PromptCounts] = OrderedDict()
        self._lock = threading.Lock()

    def count(self, name: CounterName, label: str) -> None:
        """
        Count an event.

        :param name: The counter.
        :param label: Label value, from a bounded set.
        """
        with self._lock:
            self._counters[name, label] = self._counters.get((name, label), 0) + 1

    def record_store_call(
        self, call: str, result: StoreCallResult, took_seconds: float
    ) -> None:
        """
        Record a call to the platform's store.

        :param call: Kind of the call, from a bounded set.
        :param result: Result of the call.
        :param took_seconds: Duration of the call.
        """
        with self._lock:
            durations = self._store_calls.setdefault((call, result), CallDurations())
            durations.add(took_seconds)

    def record_prompt(
        self, upstream_id: UpstreamId, work_tokens: int, cached_tokens: int
    ) -> None:
        """
        Record a prompt sent to an engine.

        :param upstream_id: The engine.
        :param work_tokens: Prefill work, as tokens without attention.
        :param cached_tokens: Tokens expected in its KV cache.
        """
        with self._lock:
            counts = self._prompts.setdefault(upstream_id, PromptCounts())
            self._prompts.move_to_end(upstream_id)
            counts.work_tokens += work_tokens
            counts.cached_tokens += cached_tokens
            if len(self._prompts) > COUNTED_ENGINES_MAX:
                self._prompts.popitem(last=False)

    def record_answer(
        self,
        customer_id: CustomerId | None,
        route: str,
        took_seconds: float,
        target_seconds: float,
    ) -> None:
        """
        Record a request that an upstream answered.

        :param customer_id: Customer of the request; None on public routes.
        :param route: Name of the route.
        :param took_seconds: Time to the first event of a stream or the whole
            response.
        :param target_seconds: The latency objective.
        """
        key = MetricKey(customer_id or ANONYMOUS_CUSTOMER, route)
        is_late = took_seconds > target_seconds
        self._metrics.record(key, LatencyKind.FIRST_TOKEN, took_seconds)
        self._metrics.count(
            key, RequestResult.LATE if is_late else RequestResult.SERVED
        )

    def record_refusal(
        self, customer_id: CustomerId | None, route: str, reason: RefusalReason
    ) -> None:
        """
        Record a request that no upstream answered.

        :param customer_id: Customer of the request; None on public routes.
        :param route: Name of the route.
        :param reason: Reason for the refusal or failure.
        """
        match reason:
            case RefusalReason.OVER_QUOTA:
                result = RequestResult.REFUSED_OVER_RATE
            case RefusalReason.OUTCOME_UNKNOWN | RefusalReason.TIMED_OUT:
                result = RequestResult.FAILED
            case _:
                result = RequestResult.REFUSED_WITHIN_RATE
        self._metrics.count(MetricKey(customer_id or ANONYMOUS_CUSTOMER, route), result)
        self.count(CounterName.REFUSALS, reason.value)

    def text(self, gauges: Iterable[Gauge]) -> bytes:
        """
        Return all metrics in the Prometheus text format.

        :param gauges: Values at the time of the scrape.
        """
        # The Prometheus library is imported on first use, as it loads slowly
        # and few processes are ever scraped.
        from waxwingwinch.gateway._metrics_text import metrics_text

        with self._lock:
            counts = GatewayCounts(
                dict(self._counters),
                tuple(gauges),
                deepcopy(self._store_calls),
                deepcopy(dict(self._prompts)),
            )
        return metrics_text(self._metrics.snapshot(), counts)
