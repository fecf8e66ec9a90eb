from attrs import evolve
from hypothesis import given, strategies as st

from waxwing_testbed.history import (
    Admission,
    AuthoritySpan,
    CallEvent,
    CallKind,
    CallOutcome,
    ReportedWindow,
    UpstreamExecution,
    VersionSighting,
    check_at_most_once,
    check_monotone_versions,
    check_one_figure,
    check_rate,
    check_rate_by_calls,
    check_refusals_are_true,
    check_same_answer,
    check_single_authority,
    check_whole_answers,
)

ORDER = CallEvent(
    "c1", "r1", CallKind.ORDER, "tahi", "i1", "k1", 0.0, 1.0, 200, CallOutcome.WHOLE
)
RAN_ONCE = UpstreamExecution("r1", "k1", 0.5)


def test_one_run_is_fine():
    assert not check_at_most_once([ORDER], [RAN_ONCE])


def test_two_runs_of_a_key_are_found():
    twice = [RAN_ONCE, UpstreamExecution("r2", "k1", 0.7)]
    assert check_at_most_once([ORDER], twice)


def test_two_runs_of_a_payment_are_found():
    payment = evolve(ORDER, kind=CallKind.PAYMENT, idempotency_key="")
    ran = UpstreamExecution("r1", "", 0.5)
    assert not check_at_most_once([payment], [ran])
    assert check_at_most_once([payment], [ran, ran])


def test_refusal_of_a_request_that_ran_is_found():
    refused = evolve(ORDER, outcome=CallOutcome.NOT_RUN)
    assert check_refusals_are_true([refused], [RAN_ONCE])
    assert not check_refusals_are_true([refused], [])
    assert not check_refusals_are_true([ORDER], [RAN_ONCE])


def test_different_answers_under_one_key_are_found():
    first = evolve(ORDER, upstream_execution="e1")
    assert not check_same_answer([first, first])
    assert check_same_answer([first, evolve(ORDER, upstream_execution="e2")])


def test_wrong_answer_is_found():
    assert check_whole_answers([evolve(ORDER, outcome=CallOutcome.WRONG)])
    assert not check_whole_answers([ORDER])


@given(st.lists(st.floats(0, 20), max_size=60), st.integers(1, 5))
def test_rate_check_agrees_with_all_intervals(times, burst):
    times.sort()
    admissions = [Admission("a", seconds) for seconds in times]
    exceeds = any(
        count + 1 > 2.0 * (times[start + count] - times[start]) + burst + 1e-6
        for start in range(len(times))
        for count in range(len(times) - start)
    )
    assert bool(check_rate(admissions, "a", 2.0, burst)) == exceeds


def test_calls_above_the_burst_are_found():
    calls = [evolve(ORDER, started_seconds=0.0, ended_seconds=0.1)] * 4
    assert check_rate_by_calls(calls, "tahi", 1.0, 3.0)
    assert not check_rate_by_calls(calls, "tahi", 1.0, 4.0)


def test_long_calls_leave_room_for_the_rate():
    calls = [evolve(ORDER, started_seconds=0.0, ended_seconds=2.0)] * 4
    assert not check_rate_by_calls(calls, "tahi", 1.0, 3.0)


def test_old_epoch_after_a_newer_one_is_found():
    newer = AuthoritySpan("fleet", 7, "i1", 1.0)
    older = AuthoritySpan("fleet", 3, "i2", 2.0)
    assert not check_single_authority([older, newer])
    assert check_single_authority([newer, older])


def test_epoch_used_by_two_holders_is_found():
    spans = [AuthoritySpan("fleet", 7, name, 1.0) for name in ("i1", "i2")]
    assert check_single_authority(spans)


def test_window_with_two_figures_is_found():
    assert not check_one_figure([ReportedWindow(60, "5"), ReportedWindow(60, "5")])
    assert check_one_figure([ReportedWindow(60, "5"), ReportedWindow(60, "6")])


def test_version_going_back_is_found():
    up = [VersionSighting("i1", 3, 1.0), VersionSighting("i1", 4, 2.0)]
    assert not check_monotone_versions(up)
    assert check_monotone_versions([*up, VersionSighting("i1", 3, 3.0)])
