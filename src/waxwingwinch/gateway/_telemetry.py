"""Counters and times of the gateway."""

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

#: Upper bounds in seconds of the classes in which calls of the store are
#: counted; a sound one answers within the first two.
STORE_CALL_BOUNDS_SECONDS = (0.01, 0.05, 0.25, 1.0, 5.0)
#: Engines whose prompts are counted apart; the least recent are forgotten.
COUNTED_ENGINES_MAX = 100
#: Customer under which requests on routes open to all are recorded.
ANONYMOUS_CUSTOMER = CustomerId("")


class CounterName(enum.Enum):
    """What is counted by a label of a bounded set."""

    REFUSALS = "waxwing_refusals"
    UPSTREAM_FAILURES = "waxwing_upstream_failures"
    PLACEMENTS = "waxwing_placements"
    RESUMED_STREAMS = "waxwing_resumed_streams"
    REPEATS = "waxwing_repeats"
    EJECTIONS = "waxwing_ejections"


class StoreCallResult(enum.Enum):
    """How a call of the platform's store ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    #: The answer said that the call could not be carried out as asked.
    FAILED = "failed"


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


@define
class CallDurations:
    """
    Calls of one kind that ended in one way.

    :param counts: Calls by class of their time, the longest last.
    :param sum_seconds: Time of all calls.
    """

    counts: list[int] = field(
        factory=lambda: [0] * (len(STORE_CALL_BOUNDS_SECONDS) + 1)
    )
    sum_seconds: float = 0.0

    def add(self, took_seconds: float) -> None:
        """
        Count a call.

        :param took_seconds: Time that it took.
        """
        self.counts[bisect_left(STORE_CALL_BOUNDS_SECONDS, took_seconds)] += 1
        self.sum_seconds += took_seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds with the calls up to each."""
        bounds = [*(str(bound) for bound in STORE_CALL_BOUNDS_SECONDS), "+Inf"]
        return list(zip(bounds, accumulate(self.counts), strict=True))


@define
class PromptCounts:
    """
    Prompts that one engine was given.

    :param read: Tokens that it had to read.
    :param cached: Tokens that it was believed to hold.
    """

    read_tokens: int = 0
    cached_tokens: int = 0


@frozen
class GatewayCounts:
    """
    What is told beside the requests of customers.

    :param counters: Counts by name and label.
    :param gauges: Values at the moment of the reading.
    :param store_calls: Calls of the platform's store by kind and result.
    :param prompts: Prompts by engine.
    """

    counters: dict[tuple[CounterName, str], int]
    gauges: tuple[Gauge, ...]
    store_calls: dict[tuple[str, StoreCallResult], CallDurations]
    prompts: dict[UpstreamId, PromptCounts]


class Telemetry:
    """Records what happens to requests; may be used from all threads."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self._counters: dict[tuple[CounterName, str], int] = {}
        self._store_calls: dict[tuple[str, StoreCallResult], CallDurations] = {}
        self._prompts: OrderedDict[UpstreamId, PromptCounts] = OrderedDict()
        self._lock = threading.Lock()

    def count(self, name: CounterName, label: str) -> None:
        """
        Count an event.

        :param name: What is counted.
        :param label: One of few.
        """
        with self._lock:
            self._counters[name, label] = self._counters.get((name, label), 0) + 1

    def record_store_call(
        self, call: str, result: StoreCallResult, took_seconds: float
    ) -> None:
        """
        Record a call of the platform's store.

        :param call: Kind of the call, one of few.
        :param result: How it ended.
        :param took_seconds: Time that it took.
        """
        with self._lock:
            durations = self._store_calls.setdefault((call, result), CallDurations())
            durations.add(took_seconds)

    def record_prompt(
        self, upstream_id: UpstreamId, read_tokens: int, cached_tokens: int
    ) -> None:
        """
        Record a prompt that an engine was given.

        :param upstream_id: The engine.
        :param read: Tokens that it has to read.
        :param cached: Tokens that it is believed to hold.
        """
        with self._lock:
            counts = self._prompts.setdefault(upstream_id, PromptCounts())
            self._prompts.move_to_end(upstream_id)
            counts.read_tokens += read_tokens
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
        Record an answer of an upstream.

        :param customer_id: Whose request it was.
        :param route: Name of its route.
        :param took_seconds: Time to the first event, or to the whole answer.
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
        self._metrics.count(MetricKey(customer_id or ANONYMOUS_CUSTOMER, route), result)
        self.count(CounterName.REFUSALS, reason.value)

    def text(self, gauges: Iterable[Gauge]) -> bytes:
        """
        Return everything in the text format.

        :param gauges: Values at this moment.
        """
        # Few processes are ever asked, and the library takes long to load.
        from waxwingwinch.gateway._metrics_text import metrics_text

        with self._lock:
            counts = GatewayCounts(
                dict(self._counters),
                tuple(gauges),
                deepcopy(self._store_calls),
                deepcopy(dict(self._prompts)),
            )
        return metrics_text(self._metrics.snapshot(), counts)
