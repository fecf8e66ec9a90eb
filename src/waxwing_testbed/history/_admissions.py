"""Admissions from what upstreams recorded and callers saw."""

from collections.abc import Iterable

from waxwing_testbed.history._checks import Admission, UpstreamExecution
from waxwing_testbed.history._events import CallEvent


def timely_admissions(
    calls: Iterable[CallEvent],
    executions: Iterable[UpstreamExecution],
    longest_seconds: float,
) -> list[Admission]:
    """
    Return the admissions whose times are known well enough.

    A request is admitted after its caller sent it and before it runs, so the
    time of its run is late by no more than the whole call took. Calls that
    took longer are left out: the others keep rate and burst as well.

    :param calls: What callers saw.
    :param executions: What the upstreams recorded.
    :param longest_seconds: Longest call that counts; the resolution to pass
        to ``check_rate``.
    """
    customers = {
        call.request_id: call.customer_id
        for call in calls
        if call.request_id
        and call.ended_seconds - call.started_seconds <= longest_seconds
    }
    return [
        Admission(customers[run.request_id], run.seconds)
        for run in executions
        if run.request_id in customers
    ]
