"""Charges the extra calls of requests to the retry budget."""

from attrs import evolve

from waxwingwinch.gateway._arrivals import Arrivals
from waxwingwinch.gateway._job import Job, Progress, RelayContext
from waxwingwinch.gateway._request_log_lines import RetryCharged
from waxwingwinch.gateway._telemetry import CounterName


def charge_calls(
    context: RelayContext,
    job: Job,
    progress: Progress,
    planned: Arrivals,
    now_seconds: float,
) -> Progress | None:
    """
    Charge further calls of a request to the retry budget of its service.

    :param context: Dependencies shared by the relays of the process.
    :param job: The request.
    :param progress: The attempts so far.
    :param planned: The request's arrivals once the calls are made.
    :param now_seconds: Monotonic time.
    :returns: The progress with the charge; None if the budget is too low, and
        the calls must not be made.
    """
    arrivals, service = progress.arrivals, job.service.name
    cost = arrivals.cost(planned)
    if cost == 0:
        return progress
    is_charged = context.budget.spend(service, now_seconds, cost)
    RetryCharged(
        request_id=job.request.request_id,
        service=service,
        calls=arrivals.calls,
        has_prefilled=arrivals.has_prefilled,
        paid=arrivals.paid,
        cost=cost,
        is_charged=is_charged,
        level=context.budget.level(service, now_seconds),
    ).write()
    if not is_charged:
        return None
    context.telemetry.count(CounterName.REPEATS, service)
    return evolve(progress, arrivals=arrivals.with_payment(cost))
