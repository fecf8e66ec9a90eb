"""Recording how one generation went."""

from waxwingwinch._exceptions import Outcome
from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Defaults
from waxwingwinch.contracts import UsageDelta
from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._callers import CallerGone, count_refusal
from waxwingwinch.entry._http import ANONYMOUS_CUSTOMER
from waxwingwinch.entry._services import EntryServices
from waxwingwinch.interfaces import StreamEnd, StreamItem
from waxwingwinch.observability import LatencyKind, MetricKey, RequestResult


def record_plain_call(
    services: EntryServices,
    customer_id: CustomerId,
    route: str,
    arrived_seconds: float,
    result: RequestResult,
) -> None:
    """
    Record how a call to a plain service went.

    :param services: The services of the entry.
    :param customer_id: The customer, or ``ANONYMOUS_CUSTOMER``.
    :param route: The path of the route.
    :param arrived_seconds: Monotonic time at which the request came.
    :param result: How it ended.
    """
    key = MetricKey(customer_id, route)
    services.metrics.count(key, result)
    if result is RequestResult.SERVED:
        whole_seconds = services.clock.now_seconds() - arrived_seconds
        services.metrics.record(key, LatencyKind.WHOLE_ANSWER, whole_seconds)
    if customer_id == ANONYMOUS_CUSTOMER:
        return
    delta = UsageDelta(customer_id, requests=1, plain_calls=1)
    if result is RequestResult.REFUSED_WITHIN_RATE:
        delta = UsageDelta(customer_id, refused_requests=1)
    services.usage.add(delta, services.clock.wall_seconds())


class AnswerRecorder:
    """
    Records times, result and usage of one generation.

    :param services: The services of the entry.
    :param customer_id: The customer.
    :param route: Route for metrics.
    :param completion: What the caller asked for.
    :param defaults: The promises.
    :param arrived_seconds: Monotonic time at which the request came.
    """

    def __init__(
        self,
        services: EntryServices,
        customer_id: CustomerId,
        route: str,
        completion: CompletionRequest,
        defaults: Defaults,
        arrived_seconds: float,
    ) -> None:
        self._services = services
        self._key = MetricKey(customer_id, route)
        self._completion = completion
        self._defaults = defaults
        self._arrived_seconds = arrived_seconds
        self._first_seconds: float | None = None
        self._last_seconds = arrived_seconds
        self._is_over = False

    def item(self, item: StreamItem) -> None:
        """
        Record an item of the answer.

        :param item: The item.
        """
        now_seconds = self._services.clock.now_seconds()
        if isinstance(item, StreamEnd):
            self._whole(item, now_seconds)
        elif self._first_seconds is None:
            self._first(now_seconds)
        else:
            gap_seconds = now_seconds - self._last_seconds
            self._record(LatencyKind.BETWEEN_TOKENS, gap_seconds)
        self._last_seconds = now_seconds

    def failed(
        self, error: BaseException, received_tokens: int, outcome: Outcome
    ) -> None:
        """
        Record that the answer isn't whole.

        :param error: Why.
        :param received_tokens: Tokens that the caller got.
        :param outcome: What is known of the execution.
        """
        if self._is_over:
            return
        self._is_over = True
        if outcome is Outcome.NOT_RUN:
            result = RequestResult.REFUSED_WITHIN_RATE
            self._services.demand.refused(self._completion.model)
            count_refusal(
                self._services, self._key.customer_id, self._key.route, result
            )
            return
        gone = isinstance(error, CallerGone | GeneratorExit)
        result = RequestResult.ABANDONED if gone else RequestResult.FAILED
        self._services.metrics.count(self._key, result)
        self._use(self._completion.prompt_tokens, received_tokens)

    def _first(self, now_seconds: float) -> None:
        self._first_seconds = now_seconds - self._arrived_seconds
        self._record(LatencyKind.FIRST_TOKEN, self._first_seconds)
        if self._first_seconds > self._defaults.first_token_seconds:
            self._services.demand.late(self._completion.model)

    def _whole(self, end: StreamEnd, now_seconds: float) -> None:
        self._is_over = True
        whole_seconds = now_seconds - self._arrived_seconds
        self._record(LatencyKind.WHOLE_ANSWER, whole_seconds)
        result = RequestResult.SERVED
        if self._is_late(end, whole_seconds):
            result = RequestResult.LATE
        self._services.metrics.count(self._key, result)
        self._use(end.prompt_tokens, end.output_tokens)

    def _is_late(self, end: StreamEnd, whole_seconds: float) -> bool:
        first_seconds = self._first_seconds
        if first_seconds is None:
            first_seconds = whole_seconds
        if first_seconds > self._defaults.first_token_seconds:
            return True
        gaps = end.output_tokens - 1
        if gaps < 1:
            return False
        between_seconds = (whole_seconds - first_seconds) / gaps
        return between_seconds > self._defaults.between_tokens_seconds

    def _record(self, kind: LatencyKind, seconds: float) -> None:
        self._services.metrics.record(self._key, kind, seconds)

    def _use(self, prompt_tokens: int, output_tokens: int) -> None:
        self._services.demand.generated(self._completion.model, output_tokens)
        delta = UsageDelta(
            self._key.customer_id,
            requests=1,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        self._services.usage.add(delta, self._services.clock.wall_seconds())
