"""Computing the report from snapshots."""

from collections.abc import Sequence
from itertools import pairwise

from attrs import evolve, frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.burn._counters import (
    Counters,
    CustomerCounters,
    Window,
    counters_between,
)
from waxwingwinch.burn._model import (
    BurnPoint,
    BurnReport,
    CustomerBurn,
    EventCount,
    Objective,
    ObjectiveBurn,
    Quantiles,
    ReportOptions,
)
from waxwingwinch.burn._spend import Spend, add_up_spend
from waxwingwinch.observability import LatencyKind, RequestResult
from waxwingwinch.operators_api import MetricsView, ServicePromise

#: Points of the course that are drawn at most.
COURSE_POINTS_MAX = 60
#: Snapshots closer than this belong to one round of fetching.
ROUND_SECONDS = 1.0


@frozen
class _Windows:
    """
    Counters of all windows.

    :param period: Since the start of the instances.
    :param covered: Between the first and the last snapshot.
    :param long: Long window.
    :param short: Short window.
    """

    period: CustomerCounters
    covered: CustomerCounters
    long: CustomerCounters
    short: CustomerCounters


def make_report(
    views: Sequence[MetricsView],
    options: ReportOptions,
    problems: Sequence[str] = (),
) -> BurnReport:
    """
    Compute the report.

    :param views: At least one snapshot; those of one instance are told
        apart by their times.
    :param options: How to report.
    :param problems: Why snapshots are missing, one for each.
    :raises ValueError: If there is no snapshot.
    """
    if not views:
        raise ValueError("there is no snapshot")
    times = sorted(view.wall_seconds for view in views)
    windows = _count(views, times, options)
    spend = add_up_spend(views, options.prices)
    promises = _newest_promises(views)
    names = sorted(set(windows.period) | set(promises))
    course = _course_counters(views, times)
    customers = [
        _customer(name, windows, promises[name], options, course)
        for name in names
        if name in promises
    ]
    customers = _with_costs(customers, windows.covered, spend)
    return BurnReport(
        times[0],
        times[-1],
        options,
        tuple(sorted({view.instance_id for view in views})),
        tuple(sorted(customers, key=_worst_first)),
        spend,
        (
            *(f"No snapshot from {problem}" for problem in problems),
            *_notes(times, options, [name for name in names if name not in promises]),
        ),
    )


def _with_costs(
    customers: Sequence[CustomerBurn], covered: CustomerCounters, spend: Spend
) -> list[CustomerBurn]:
    """Divide the spend by the time spent answering each customer."""
    busy_seconds = {
        name: counters.total_seconds(LatencyKind.WHOLE_ANSWER)
        for name, counters in covered.items()
    }
    all_seconds = sum(busy_seconds.values())
    if all_seconds <= 0:
        return list(customers)
    per_second = spend.total / all_seconds
    return [
        evolve(item, cost=per_second * busy_seconds.get(item.customer_id, 0.0))
        for item in customers
    ]


def _count(
    views: Sequence[MetricsView], times: Sequence[float], options: ReportOptions
) -> _Windows:
    end_seconds = times[-1]

    def since(start_seconds: float) -> CustomerCounters:
        return counters_between(views, Window(start_seconds, end_seconds))

    return _Windows(
        since(float("-inf")),
        since(_first_round_end(times)),
        since(end_seconds - options.long_seconds),
        since(end_seconds - options.short_seconds),
    )


def _first_round_end(times: Sequence[float]) -> float:
    return max(time for time in times if time < times[0] + ROUND_SECONDS)


def _customer(
    customer_id: CustomerId,
    windows: _Windows,
    promise: ServicePromise,
    options: ReportOptions,
    course: Sequence[tuple[float, CustomerCounters]],
) -> CustomerBurn:
    period = windows.period.get(customer_id, Counters())
    long = windows.long.get(customer_id, Counters())
    short = windows.short.get(customer_id, Counters())
    objectives = tuple(
        ObjectiveBurn(
            objective,
            _target_ratio(objective, promise, options),
            _events(objective, period, promise),
            _events(objective, long, promise),
            _events(objective, short, promise),
        )
        for objective in Objective
    )
    points = tuple(
        BurnPoint(
            seconds, _highest_rate(counters.get(customer_id), promise, objectives)
        )
        for seconds, counters in course
    )
    return CustomerBurn(
        customer_id,
        objectives,
        period.results[RequestResult.SERVED],
        period.results[RequestResult.LATE],
        period.results[RequestResult.REFUSED_OVER_RATE],
        _quantiles(period, LatencyKind.FIRST_TOKEN),
        _quantiles(period, LatencyKind.WHOLE_ANSWER),
        points,
    )


def _highest_rate(
    counters: Counters | None,
    promise: ServicePromise,
    objectives: Sequence[ObjectiveBurn],
) -> float:
    if counters is None:
        return 0.0
    return max(
        item.burn_rate(_events(item.objective, counters, promise))
        for item in objectives
    )


def _target_ratio(
    objective: Objective, promise: ServicePromise, options: ReportOptions
) -> float:
    match objective:
        case Objective.FIRST_TOKEN | Objective.BETWEEN_TOKENS:
            return promise.promised_ratio
        case Objective.WHOLE_ANSWERS:
            return options.whole_ratio
        case Objective.ADMISSION:
            return options.admission_ratio


def _events(
    objective: Objective, counters: Counters, promise: ServicePromise
) -> EventCount:
    results = counters.results
    whole = results[RequestResult.SERVED] + results[RequestResult.LATE]
    failed = results[RequestResult.FAILED]
    match objective:
        case Objective.FIRST_TOKEN:
            limit_seconds = promise.first_token_seconds
            return _timed(counters, LatencyKind.FIRST_TOKEN, limit_seconds)
        case Objective.BETWEEN_TOKENS:
            limit_seconds = promise.between_tokens_seconds
            return _timed(counters, LatencyKind.BETWEEN_TOKENS, limit_seconds)
        case Objective.WHOLE_ANSWERS:
            return EventCount(whole + failed, failed)
        case Objective.ADMISSION:
            refused = results[RequestResult.REFUSED_WITHIN_RATE]
            abandoned = results[RequestResult.ABANDONED]
            return EventCount(whole + failed + abandoned + refused, refused)


def _timed(counters: Counters, kind: LatencyKind, limit_seconds: float) -> EventCount:
    return EventCount(counters.events(kind), counters.slower(kind, limit_seconds))


def _quantiles(counters: Counters, kind: LatencyKind) -> Quantiles:
    return Quantiles(
        counters.quantile_seconds(kind, 0.5), counters.quantile_seconds(kind, 0.95)
    )


def _course_counters(
    views: Sequence[MetricsView], times: Sequence[float]
) -> tuple[tuple[float, CustomerCounters], ...]:
    """Return the counters between successive rounds of snapshots."""
    ends = [
        time
        for time, later in pairwise([*times, float("inf")])
        if later - time >= ROUND_SECONDS
    ]
    step = max(1, -(-len(ends) // COURSE_POINTS_MAX))
    return tuple(
        (end - times[0], counters_between(views, Window(start, end)))
        for start, end in pairwise(ends[::step])
    )


def _newest_promises(
    views: Sequence[MetricsView],
) -> dict[CustomerId, ServicePromise]:
    promises = {}
    for view in sorted(views, key=lambda item: item.wall_seconds):
        promises.update({item.customer_id: item for item in view.promises})
    return promises


def _worst_first(item: CustomerBurn) -> tuple[bool, float, float, float, str]:
    return (
        not item.has_traffic,
        -item.worst_long_burn_rate,
        -item.worst_short_burn_rate,
        item.least_budget_left_ratio,
        item.customer_id,
    )


def _notes(
    times: Sequence[float],
    options: ReportOptions,
    without_promise: Sequence[CustomerId],
) -> tuple[str, ...]:
    notes = []
    covered_seconds = times[-1] - times[0]
    for name, seconds in (
        ("short", options.short_seconds),
        ("long", options.long_seconds),
    ):
        if covered_seconds < seconds:
            notes.append(
                f"The snapshots cover {covered_seconds:.0f} s, so the {name} window "
                f"of {seconds:.0f} s reaches back to the start of the instances."
            )
    if without_promise:
        names = ", ".join(without_promise)
        notes.append(f"Recorded but without a promise, so not reported: {names}.")
    return tuple(notes)
