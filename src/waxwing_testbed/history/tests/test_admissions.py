"""Tests of admissions from two sides."""

from waxwing_testbed.history import (
    Admission,
    CallEvent,
    CallKind,
    CallOutcome,
    UpstreamExecution,
    timely_admissions,
)


def make_call(request_id, ended_seconds):
    return CallEvent(
        call_id=f"call-{request_id}",
        request_id=request_id,
        kind=CallKind.READ,
        customer_id="narrow",
        instance="127.0.0.1:1",
        idempotency_key="",
        started_seconds=1.0,
        ended_seconds=ended_seconds,
        status=200,
        outcome=CallOutcome.WHOLE,
    )


def test_only_runs_of_short_and_known_calls_count():
    calls = [make_call("short", 1.2), make_call("long", 5.0), make_call("", 1.1)]
    runs = [
        UpstreamExecution(name, "", seconds)
        for name, seconds in (("short", 101.1), ("long", 104.0), ("strange", 102.0))
    ]
    assert timely_admissions(calls, runs, 0.5) == [Admission("narrow", 101.1)]
