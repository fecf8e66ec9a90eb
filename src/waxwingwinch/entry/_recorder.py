"""Records metrics, demand and usage of finished requests."""

from waxwingwinch._exceptions import Outcome
from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Defaults
from waxwingwinch.contracts import UsageDelta
from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._callers import CallerDisconnected, count_refusal
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
    Record the result and usage of a call to a plain service.

    :param services: The services of the entry.
    :param customer_id: The customer, or ``ANONYMOUS_CUSTOMER``.
    :param route: The path of the route.
    :param arrived_seconds: Monotonic time at which the request arrived.
    :param result: How the request ended.
    """
    key = MetricKey(customer_id, route)
    services.metrics.count(key, result)
    if result is RequestResult.SERVED:
        total_seconds = services.clock.now_seconds() - arrived_seconds
        services.metrics.record(key, LatencyKind.WHOLE_ANSWER, total_seconds)
    if customer_id == ANONYMOUS_CUSTOMER:
        return
    delta = UsageDelta(customer_id, requests=1, plain_calls=1)
    if result is RequestResult.REFUSED_WITHIN_RATE:
        delta = UsageDelta(customer_id, refused_requests=1)
    services.usage.add(delta, services.clock.wall_seconds())


class ResponseRecorder:
    """
    Records latencies, result and usage of one generation.

    :param services: The services of the entry.
    :param customer_id: The customer.
    :param route: Route for metrics.
    :param completion: The caller's request.
    :param defaults: Defaults in force, with the promised latencies.
    :param arrived_seconds: Monotonic time at which the request arrived.
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
        self._first_token_latency_seconds: float | None = None
        self._last_received_seconds = arrived_seconds
        self._is_recorded = False

    def record_item(self, item: StreamItem) -> None:
        """
        Record an item of the response stream.

        :param item: The item.
        """
        now_seconds = self._services.clock.now_seconds()
        if isinstance(item, StreamEnd):
            self._record_completion(item, now_seconds)
        elif self._first_token_latency_seconds is None:
            self._record_first_token(now_seconds)
        else:
            gap_seconds = now_seconds - self._last_received_seconds
            self._record(LatencyKind.BETWEEN_TOKENS, gap_seconds)
        self._last_received_seconds = now_seconds

    def record_failure(
        self, error: BaseException, received_tokens: int, outcome: Outcome
    ) -> None:
        """
        Record a request that was refused or whose response is incomplete.

        Does nothing if the result of the generation is already recorded.

        :param error: The cause.
        :param received_tokens: Tokens received from the engines.
        :param outcome: What is known of the execution.
        """
        if self._is_recorded:
            return
        self._is_recorded = True
        if outcome is Outcome.NOT_RUN:
            result = RequestResult.REFUSED_WITHIN_RATE
            self._services.demand.record_refusal(self._completion.model)
            count_refusal(
                self._services, self._key.customer_id, self._key.route, result
            )
            return
        # GeneratorExit: the response was closed before its end.
        is_disconnected = isinstance(error, CallerDisconnected | GeneratorExit)
        result = RequestResult.ABANDONED if is_disconnected else RequestResult.FAILED
        self._services.metrics.count(self._key, result)
        self._record_usage(self._completion.prompt_tokens, received_tokens)

    def _record_first_token(self, now_seconds: float) -> None:
        self._first_token_latency_seconds = now_seconds - self._arrived_seconds
        self._record(LatencyKind.FIRST_TOKEN, self._first_token_latency_seconds)
        if self._first_token_latency_seconds > self._defaults.first_token_seconds:
            self._services.demand.record_late_request(self._completion.model)

    def _record_completion(self, end: StreamEnd, now_seconds: float) -> None:
        self._is_recorded = True
        total_seconds = now_seconds - self._arrived_seconds
        self._record(LatencyKind.WHOLE_ANSWER, total_seconds)
        result = RequestResult.SERVED
        if self._is_late(end, total_seconds):
            result = RequestResult.LATE
        self._services.metrics.count(self._key, result)
        self._record_usage(end.prompt_tokens, end.output_tokens)

    def _is_late(self, end: StreamEnd, total_seconds: float) -> bool:
        first_token_latency_seconds = self._first_token_latency_seconds
        if first_token_latency_seconds is None:
            first_token_latency_seconds = total_seconds
        if first_token_latency_seconds > self._defaults.first_token_seconds:
            return True
        gaps = end.output_tokens - 1
        if gaps < 1:
            return False
        between_seconds = (total_seconds - first_token_latency_seconds) / gaps
        return between_seconds > self._defaults.between_tokens_seconds

    def _record(self, kind: LatencyKind, seconds: float) -> None:
        self._services.metrics.record(self._key, kind, seconds)

    def _record_usage(self, prompt_tokens: int, output_tokens: int) -> None:
        self._services.demand.record_output(self._completion.model, output_tokens)
        delta = UsageDelta(
            self._key.customer_id,
            requests=1,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        self._services.usage.add(delta, self._services.clock.wall_seconds())
