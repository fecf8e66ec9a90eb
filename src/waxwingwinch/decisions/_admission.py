"""Which requests are served when there is more work than capacity."""

import math
from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import CustomerId

#: Time in which the weight of past work falls to a third.
RATE_WINDOW_SECONDS = 5.0
#: Part of the promised first token time that a queue may take without
#: counting as overload; the rest is for the prompt and for peaks.
OVERLOAD_FACTOR = 0.5
#: A customer may exceed its fair share by this factor before it is refused.
SHARE_TOLERANCE = 1.05
#: Multiple of the promised first token time up to which the queue may grow
#: for customers within their share.
WITHIN_SHARE_FACTOR = 1.0
#: Longest time a request waits at the entry for an engine.
WAITING_SECONDS_MAX = 2.0
#: Requests that may wait at the entry together.
WAITING_REQUESTS_MAX = 64
#: Bounds of the time after which a refused caller is asked to come back.
RETRY_AFTER_MIN_SECONDS = 1.0
RETRY_AFTER_MAX_SECONDS = 30.0


@frozen
class CustomerWork:
    """
    The recent work of one customer, in tokens a second.

    :param customer_id: The customer.
    :param weight: Its share relative to others.
    :param demanded_tokens_per_second: Work that it asked for.
    :param admitted_tokens_per_second: Work that was admitted.
    :param taken_seconds: Monotonic time of the figures.
    """

    customer_id: CustomerId
    weight: float
    demanded_tokens_per_second: float = 0.0
    admitted_tokens_per_second: float = 0.0
    taken_seconds: float = 0.0


@frozen
class AdmissionRequest:
    """
    A request that asks to be served.

    :param customer_id: Its customer.
    :param queue_seconds: Estimated wait at the best engine.
    :param first_token_seconds: Estimated time to the first token there.
    :param promised_seconds: Promised time to the first token.
    :param deadline_seconds: Monotonic time by which it must be answered.
    :param arrived_seconds: Monotonic time at which it came.
    :param waiting_requests: Requests that wait at the entry at present.
    """

    customer_id: CustomerId
    queue_seconds: float
    first_token_seconds: float
    promised_seconds: float
    deadline_seconds: float
    arrived_seconds: float
    waiting_requests: int = 0


@frozen
class Admit:
    """
    The request is sent now.

    :param priority: Priority at the engine; higher runs first.
    """

    priority: int


@frozen
class Wait:
    """
    The request waits at the entry and asks again.

    :param until_seconds: Monotonic time after which it is given up.
    """

    until_seconds: float


@frozen
class Shed:
    """
    The request is refused; it has not run.

    :param retry_after_seconds: When there is likely to be room.
    :param reason: Why, in one sentence.
    """

    retry_after_seconds: float
    reason: str


AdmissionDecision = Admit | Wait | Shed

#: Priority at the engine of requests of customers within their share.
PRIORITY_WITHIN_SHARE = 1
#: Priority at the engine of requests of customers beyond it.
PRIORITY_BEYOND_SHARE = 0


def decayed(work: CustomerWork, now_seconds: float) -> CustomerWork:
    """
    Return the figures as they are at the present time.

    :param work: Older figures.
    :param now_seconds: Monotonic time.
    """
    elapsed_seconds = max(0.0, now_seconds - work.taken_seconds)
    kept = math.exp(-elapsed_seconds / RATE_WINDOW_SECONDS)
    return evolve(
        work,
        demanded_tokens_per_second=work.demanded_tokens_per_second * kept,
        admitted_tokens_per_second=work.admitted_tokens_per_second * kept,
        taken_seconds=max(now_seconds, work.taken_seconds),
    )


def after_demand(work: CustomerWork, tokens: int, now_seconds: float) -> CustomerWork:
    """
    Return the figures after a request asked to be served.

    :param work: The figures before.
    :param tokens: Prompt and expected output tokens.
    :param now_seconds: Monotonic time.
    """
    work = decayed(work, now_seconds)
    added = tokens / RATE_WINDOW_SECONDS
    demanded = work.demanded_tokens_per_second + added
    return evolve(work, demanded_tokens_per_second=demanded)


def after_admission(
    work: CustomerWork, tokens: int, now_seconds: float
) -> CustomerWork:
    """
    Return the figures after a request was admitted.

    :param work: The figures before.
    :param tokens: Prompt and expected output tokens.
    :param now_seconds: Monotonic time.
    """
    work = decayed(work, now_seconds)
    added = tokens / RATE_WINDOW_SECONDS
    admitted = work.admitted_tokens_per_second + added
    return evolve(work, admitted_tokens_per_second=admitted)


def max_min_shares(
    works: Sequence[CustomerWork], capacity_tokens_per_second: float
) -> dict[CustomerId, float]:
    """
    Divide a capacity so that the least served gets as much as possible.

    Nobody gets more than it demands; what that leaves is divided among the
    others by weight.

    :param works: The customers.
    :param capacity_tokens_per_second: What there is to divide.
    :returns: Tokens a second by customer.
    """
    shares: dict[CustomerId, float] = {}
    left = capacity_tokens_per_second
    left_weight = sum(work.weight for work in works)
    for work in sorted(works, key=_demand_by_weight):
        fair = left * work.weight / left_weight if left_weight > 0 else 0.0
        given = min(work.demanded_tokens_per_second, fair)
        shares[work.customer_id] = given
        left = max(0.0, left - given)
        left_weight -= work.weight
    return shares


def decide_admission(
    request: AdmissionRequest, works: Sequence[CustomerWork], now_seconds: float
) -> AdmissionDecision:
    """
    Decide whether a request is sent, waits or is refused.

    Without overload all are sent. Under overload a customer is refused at
    once if it uses more than an equal part by weight and more than its
    max-min share of what the queue shows to be the capacity. The others are
    sent, or wait for as long as waiting can help.

    :param request: The request and the wait that routing estimates.
    :param works: Recent work of all customers, this one included.
    :param now_seconds: Monotonic time.
    """
    if now_seconds + request.first_token_seconds >= request.deadline_seconds:
        reason = f"the estimated wait of {request.queue_seconds:.1f} s is too long"
        return Shed(_retry_after(request.queue_seconds), reason)
    current = [decayed(work, now_seconds) for work in works]
    allowed_seconds = OVERLOAD_FACTOR * request.promised_seconds
    # The longer the queue, the less of the admitted work was within capacity.
    in_capacity = min(1.0, allowed_seconds / max(request.queue_seconds, 1e-9))
    excess = _excess_over_share(request.customer_id, current, in_capacity)
    if request.queue_seconds <= allowed_seconds:
        beyond = excess > SHARE_TOLERANCE
        return Admit(PRIORITY_BEYOND_SHARE if beyond else PRIORITY_WITHIN_SHARE)
    if excess > SHARE_TOLERANCE:
        settle_seconds = RATE_WINDOW_SECONDS * math.log(excess)
        reason = f"overload, and the customer uses {excess:.1f} times its share"
        return Shed(_retry_after(max(request.queue_seconds, settle_seconds)), reason)
    return _wait_or_shed(request, now_seconds)


def _wait_or_shed(request: AdmissionRequest, now_seconds: float) -> Wait | Shed | Admit:
    if request.queue_seconds <= WITHIN_SHARE_FACTOR * request.promised_seconds:
        return Admit(PRIORITY_WITHIN_SHARE)
    until_seconds = min(
        request.arrived_seconds + WAITING_SECONDS_MAX,
        request.deadline_seconds - request.promised_seconds,
    )
    if now_seconds >= until_seconds:
        reason = f"no engine got free; the queue is {request.queue_seconds:.1f} s"
        return Shed(_retry_after(request.queue_seconds), reason)
    if request.waiting_requests >= WAITING_REQUESTS_MAX:
        reason = f"{request.waiting_requests} requests wait already"
        return Shed(_retry_after(request.queue_seconds), reason)
    return Wait(until_seconds)


def _excess_over_share(
    customer_id: CustomerId, works: list[CustomerWork], in_capacity: float
) -> float:
    """Return used over fair work, or 0 for at most an equal part."""
    own = next((work for work in works if work.customer_id == customer_id), None)
    if own is None:
        return 0.0
    used = own.admitted_tokens_per_second
    total = sum(work.admitted_tokens_per_second for work in works)
    total_weight = sum(w.weight for w in works if w.demanded_tokens_per_second > 0)
    equal = total * own.weight / total_weight if total_weight > 0 else 0.0
    if used <= SHARE_TOLERANCE * equal:
        return 0.0
    share = max_min_shares(works, in_capacity * total)[customer_id]
    return used / share if share > 0.0 else math.inf


def _demand_by_weight(work: CustomerWork) -> float:
    if work.weight <= 0:
        return math.inf
    return work.demanded_tokens_per_second / work.weight


def _retry_after(seconds: float) -> float:
    return min(max(seconds, RETRY_AFTER_MIN_SECONDS), RETRY_AFTER_MAX_SECONDS)
