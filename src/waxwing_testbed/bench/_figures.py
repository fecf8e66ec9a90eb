"""Figures of one run, from what callers saw."""

from collections.abc import Iterable, Sequence

from attrs import frozen

from waxwing_testbed.bench._fleet import BETWEEN_TOKENS_SECONDS, FIRST_TOKEN_SECONDS
from waxwing_testbed.bench._scenario import CustomerLoad
from waxwing_testbed.history import CallEvent, CallOutcome
from waxwingwinch.limits import TokenBucket

#: Code of the refusals that limits cause.
RATE_LIMITED = "rate_limited"


@frozen
class CustomerFigures:
    """
    What one customer got.

    :param customer_id: The customer.
    :param offered: Calls that it sent.
    :param within_rate: Of these, calls within its rate and burst.
    :param good: Whole answers that kept both promises.
    :param whole: Whole answers.
    :param refused_within_rate: Refusals of calls within the rate; 0 for a
        customer that means to exceed it.
    """

    customer_id: str
    offered: int
    within_rate: int
    good: int
    whole: int
    refused_within_rate: int

    @property
    def served_ratio(self) -> float:
        """Good answers by calls within the rate, 1 at most."""
        return min(1.0, self.good / self.within_rate) if self.within_rate else 1.0


@frozen
class Shortfall:
    """
    Calls that got no good answer, for one reason.

    :param reason: Code of the error, or the broken promise.
    :param count: How many.
    """

    reason: str
    count: int


def is_good(event: CallEvent) -> bool:
    """
    Tell whether a call got a whole answer that kept both promises.

    :param event: The call.
    """
    return event.outcome is CallOutcome.WHOLE and not broken_promise(event)


def broken_promise(event: CallEvent) -> str:
    """
    Name the promise that a whole answer broke; empty for none.

    The promise on tokens holds for their mean distance, as in the report on
    burn.

    :param event: The call.
    """
    first_seconds = event.first_token_seconds or 0.0
    if first_seconds > FIRST_TOKEN_SECONDS:
        return "first token late"
    gaps = event.output_tokens - 1
    stream_seconds = event.ended_seconds - event.started_seconds - first_seconds
    if gaps > 0 and stream_seconds / gaps > BETWEEN_TOKENS_SECONDS:
        return "tokens slow"
    return ""


def customer_figures(
    load: CustomerLoad, events: Iterable[CallEvent], begin_seconds: float
) -> CustomerFigures:
    """
    Sum up one customer's calls.

    :param load: What the customer may send.
    :param events: All its calls, those of the warm-up too.
    :param begin_seconds: Monotonic time from which calls count.
    """
    ordered = sorted(events, key=lambda event: event.started_seconds)
    within = calls_within_rate(load, ordered)
    counted = [event for event in ordered if event.started_seconds >= begin_seconds]
    refused = [
        event
        for event in counted
        if event.call_id in within and event.detail == RATE_LIMITED
    ]
    return CustomerFigures(
        load.customer_id,
        len(counted),
        sum(event.call_id in within for event in counted),
        sum(map(is_good, counted)),
        sum(event.outcome is CallOutcome.WHOLE for event in counted),
        0 if load.exceeds_rate else len(refused),
    )


def calls_within_rate(
    load: CustomerLoad, ordered: Sequence[CallEvent]
) -> frozenset[str]:
    """
    Return the calls that one bucket of rate and burst would admit.

    :param load: The customer's rate and burst.
    :param ordered: Its calls by their start.
    """
    if not ordered:
        return frozenset()
    burst = load.burst_requests
    start_seconds = ordered[0].started_seconds
    bucket = TokenBucket(load.rate_per_second, burst, burst, start_seconds)
    within = set()
    for event in ordered:
        bucket = bucket.refilled(event.started_seconds)
        if bucket.level_tokens >= 1:
            bucket = bucket.debited(1)
            within.add(event.call_id)
    return frozenset(within)


def shortfalls(events: Iterable[CallEvent]) -> tuple[Shortfall, ...]:
    """
    Count the calls without a good answer by reason.

    :param events: What callers saw.
    """
    counts: dict[str, int] = {}
    for event in events:
        if is_good(event):
            continue
        reason = broken_promise(event)
        if event.outcome is not CallOutcome.WHOLE:
            reason = f"{event.outcome.value}: {event.detail}"
        counts[reason] = counts.get(reason, 0) + 1
    return tuple(Shortfall(reason, count) for reason, count in sorted(counts.items()))


def goodput_by_second(
    events: Iterable[CallEvent], begin_seconds: float, seconds: int
) -> tuple[int, ...]:
    """
    Count good answers by the second in which their calls began.

    :param events: What callers saw.
    :param begin_seconds: Monotonic time of the first second.
    :param seconds: Number of seconds.
    """
    counts = [0] * seconds
    for event in events:
        second = int(event.started_seconds - begin_seconds)
        if event.started_seconds >= begin_seconds and second < seconds:
            counts[second] += is_good(event)
    return tuple(counts)
