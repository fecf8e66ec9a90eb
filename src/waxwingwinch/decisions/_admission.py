"""Admission control: which requests are served under overload."""

import math
from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import CustomerId

#: Time constant of the exponential decay of past work: after this time its
#: weight is 1/e, about a third.
WORK_TIME_CONSTANT_SECONDS = 5.0
#: Fraction of the promised time to the first token above which a queue counts
#: as overload; the rest is reserved for prefill and for load peaks.
OVERLOAD_QUEUE_RATIO = 0.5
#: A customer may exceed its fair share by this factor before it is refused.
SHARE_TOLERANCE = 1.05
#: Multiple of the promised time to the first token up to which the queue may
#: grow for customers within their share.
WITHIN_SHARE_QUEUE_RATIO = 1.0
#: Maximum time for which a request waits at the entry for an engine.
MAX_WAITING_SECONDS = 2.0
#: Maximum number of requests that wait at the entry at the same time.
MAX_WAITING_REQUESTS = 64
#: Bounds of the time after which a refused caller is asked to retry.
RETRY_AFTER_MIN_SECONDS = 1.0
RETRY_AFTER_MAX_SECONDS = 30.0


@frozen
class CustomerWork:
    """
    The recent work of a customer: exponentially decayed token rates.

    :param customer_id: The customer.
    :param weight: Weight of the customer in fair shares.
    :param demanded_tokens_per_second: Rate of the requested work.
    :param admitted_tokens_per_second: Rate of the admitted work.
    :param taken_seconds: Monotonic time at which the rates were computed.
    """

    customer_id: CustomerId
    weight: float
    demanded_tokens_per_second: float = 0.0
    admitted_tokens_per_second: float = 0.0
    taken_seconds: float = 0.0


@frozen
class AdmissionRequest:
    """
    A request on whose admission is decided.

    :param customer_id: The customer that sent the request.
    :param queue_seconds: Estimated queueing time at the best engine.
    :param first_token_seconds: Estimated time to the first token at that
        engine, queueing included.
    :param promised_seconds: Promised time to the first token.
    :param deadline_seconds: Monotonic deadline of the request.
    :param arrived_seconds: Monotonic time at which the request arrived.
    :param waiting_requests: Number of requests that now wait at the entry.
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
    The request is sent to an engine now.

    :param priority: Priority at the engine; higher runs first.
    """

    priority: int


@frozen
class Wait:
    """
    The request waits at the entry and its admission is decided again.

    :param until_seconds: Monotonic time after which the request is refused.
    """

    until_seconds: float


@frozen
class Shed:
    """
    The request is refused without having run.

    :param retry_after_seconds: Time after which capacity is likely free.
    :param reason: Reason of the refusal, in one sentence.
    """

    retry_after_seconds: float
    reason: str


AdmissionDecision = Admit | Wait | Shed

#: Priority at the engine of requests of customers within their share.
PRIORITY_WITHIN_SHARE = 1
#: Priority at the engine of requests of customers beyond their share.
PRIORITY_BEYOND_SHARE = 0


def decayed(work: CustomerWork, now_seconds: float) -> CustomerWork:
    """
    Return the rates decayed to the current time.

    :param work: Rates computed earlier.
    :param now_seconds: Monotonic time.
    """
    elapsed_seconds = max(0.0, now_seconds - work.taken_seconds)
    decay_factor = math.exp(-elapsed_seconds / WORK_TIME_CONSTANT_SECONDS)
    return evolve(
        work,
        demanded_tokens_per_second=work.demanded_tokens_per_second * decay_factor,
        admitted_tokens_per_second=work.admitted_tokens_per_second * decay_factor,
        taken_seconds=max(now_seconds, work.taken_seconds),
    )


def after_demand(work: CustomerWork, tokens: int, now_seconds: float) -> CustomerWork:
    """
    Return the rates after the arrival of a request.

    :param work: The rates before.
    :param tokens: Prompt and expected output tokens.
    :param now_seconds: Monotonic time.
    """
    work = decayed(work, now_seconds)
    added = tokens / WORK_TIME_CONSTANT_SECONDS
    demanded = work.demanded_tokens_per_second + added
    return evolve(work, demanded_tokens_per_second=demanded)


def after_admission(
    work: CustomerWork, tokens: int, now_seconds: float
) -> CustomerWork:
    """
    Return the rates after the admission of a request.

    :param work: The rates before.
    :param tokens: Prompt and expected output tokens.
    :param now_seconds: Monotonic time.
    """
    work = decayed(work, now_seconds)
    added = tokens / WORK_TIME_CONSTANT_SECONDS
    admitted = work.admitted_tokens_per_second + added
    return evolve(work, admitted_tokens_per_second=admitted)


def max_min_shares(
    works: Sequence[CustomerWork], capacity_tokens_per_second: float
) -> dict[CustomerId, float]:
    """
    Divide a capacity by weighted max-min fairness.

    No customer gets more than its demand; the unused part of its share is
    divided among the other customers by weight.

    :param works: Recent work of the customers.
    :param capacity_tokens_per_second: The capacity to divide.
    :returns: Share of each customer, in tokens per second.
    """
    shares: dict[CustomerId, float] = {}
    remaining = capacity_tokens_per_second
    remaining_weight = sum(work.weight for work in works)
    for work in sorted(works, key=_demand_by_weight):
        fair = (
            remaining * work.weight / remaining_weight if remaining_weight > 0 else 0.0
        )
        granted = min(work.demanded_tokens_per_second, fair)
        shares[work.customer_id] = granted
        remaining = max(0.0, remaining - granted)
        remaining_weight -= work.weight
    return shares


def decide_admission(
    request: AdmissionRequest, works: Sequence[CustomerWork], now_seconds: float
) -> AdmissionDecision:
    """
    Decide whether a request is admitted, waits or is refused.

    A request whose estimated first token misses its deadline is refused.
    Without overload every other request is admitted. Under overload a
    customer's request is refused at once if the customer uses more than an
    equal part by weight and more than its max-min share of the capacity
    that the queue length implies. Requests of other customers are admitted,
    or wait while the deadline, ``MAX_WAITING_SECONDS`` and
    ``MAX_WAITING_REQUESTS`` allow it.

    :param request: The request, with the times estimated by routing.
    :param works: Recent work of all customers, including the request's.
    :param now_seconds: Monotonic time.
    """
    if now_seconds + request.first_token_seconds >= request.deadline_seconds:
        reason = (
            f"the first token is expected after {request.first_token_seconds:.1f} s,"
            " not before the deadline"
        )
        return Shed(_retry_after(request.queue_seconds), reason)
    current = [decayed(work, now_seconds) for work in works]
    overload_threshold_seconds = OVERLOAD_QUEUE_RATIO * request.promised_seconds
    # Estimate: if the queue is n times the threshold, 1/n of the admitted work
    # fits the capacity.
    capacity_fraction = min(
        1.0, overload_threshold_seconds / max(request.queue_seconds, 1e-9)
    )
    used_share_ratio = _used_share_ratio(
        request.customer_id, current, capacity_fraction
    )
    if request.queue_seconds <= overload_threshold_seconds:
        is_beyond_share = used_share_ratio > SHARE_TOLERANCE
        return Admit(
            PRIORITY_BEYOND_SHARE if is_beyond_share else PRIORITY_WITHIN_SHARE
        )
    if used_share_ratio > SHARE_TOLERANCE:
        # Time until the admitted rate has decayed to the share if no further
        # request of the customer is admitted.
        settle_seconds = WORK_TIME_CONSTANT_SECONDS * math.log(used_share_ratio)
        reason = (
            f"overload, and the customer uses {used_share_ratio:.1f} times its share"
        )
        return Shed(_retry_after(max(request.queue_seconds, settle_seconds)), reason)
    return _wait_or_shed(request, now_seconds)


def _wait_or_shed(request: AdmissionRequest, now_seconds: float) -> Wait | Shed | Admit:
    if request.queue_seconds <= WITHIN_SHARE_QUEUE_RATIO * request.promised_seconds:
        return Admit(PRIORITY_WITHIN_SHARE)
    # The promised time to the first token remains between the end of the wait
    # and the deadline.
    until_seconds = min(
        request.arrived_seconds + MAX_WAITING_SECONDS,
        request.deadline_seconds - request.promised_seconds,
    )
    if now_seconds >= until_seconds:
        reason = (
            "no engine became available in time; the estimated queueing time is"
            f" {request.queue_seconds:.1f} s"
        )
        return Shed(_retry_after(request.queue_seconds), reason)
    if request.waiting_requests >= MAX_WAITING_REQUESTS:
        reason = (
            f"{request.waiting_requests} requests are waiting already, the maximum is"
            f" {MAX_WAITING_REQUESTS}"
        )
        return Shed(_retry_after(request.queue_seconds), reason)
    return Wait(until_seconds)


def _used_share_ratio(
    customer_id: CustomerId, works: list[CustomerWork], capacity_fraction: float
) -> float:
    """
    Return the ratio of a customer's admitted work to its max-min share.

    The ratio is 0 if the work is at most ``SHARE_TOLERANCE`` times an equal
    part by weight, and infinite if more is used and the share is 0.
    """
    customer_work = next(
        (work for work in works if work.customer_id == customer_id), None
    )
    if customer_work is None:
        return 0.0
    used = customer_work.admitted_tokens_per_second
    total = sum(work.admitted_tokens_per_second for work in works)
    total_weight = sum(w.weight for w in works if w.demanded_tokens_per_second > 0)
    equal = total * customer_work.weight / total_weight if total_weight > 0 else 0.0
    if used <= SHARE_TOLERANCE * equal:
        return 0.0
    share = max_min_shares(works, capacity_fraction * total)[customer_id]
    return used / share if share > 0.0 else math.inf


def _demand_by_weight(work: CustomerWork) -> float:
    if work.weight <= 0:
        return math.inf
    return work.demanded_tokens_per_second / work.weight


def _retry_after(seconds: float) -> float:
    return min(max(seconds, RETRY_AFTER_MIN_SECONDS), RETRY_AFTER_MAX_SECONDS)
