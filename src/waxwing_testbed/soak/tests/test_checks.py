"""Each check, on histories in which its rule is broken, and excused."""

import pytest
from attrs import evolve

from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._checks import (
    check_all,
    check_configuration,
    check_fault,
    check_mixed,
    check_order,
    check_refused,
    check_twice,
)
from waxwing_testbed.soak._events import (
    Answered,
    Call,
    Cause,
    Cut,
    Disruption,
    Ended,
    Kind,
    Published,
    Run,
    RunEnd,
)
from waxwing_testbed.soak._history import make_history
from waxwing_testbed.soak._lost import check_lost

BOUNDS = Bounds()
FIRST = Published(
    1, frozenset(("plain", "once")), frozenset(("key",)), 8.0, 4.0, 0.0, 0.0
)
CALL = Call(
    request_id="c1",
    kind=Kind.PLAIN,
    instance="edge-0",
    route="plain",
    key="key",
    started_seconds=20.0,
    sent_seconds=20.0,
    ended_seconds=21.0,
    deadline_seconds=8.0,
    is_kept=True,
    result=Answered(200, "u-1"),
)
RUN = Run("c1", "u-1", 20.1, 20.9, RunEnd.WHOLE)
CUT = evolve(CALL, result=Cut(0, "closed"))
CUT_RUN = evolve(RUN, end=RunEnd.ABANDONED)
STOP = Disruption(Cause.TERM, "edge-0", 16.5, 24.5)


def found(check, *events):
    return check(make_history(BOUNDS, (FIRST, *events)))


def test_a_sound_history_breaks_no_rule():
    assert found(check_all, CALL, RUN, STOP) == []


# LOST


def test_a_request_cut_by_a_stop_is_lost():
    (case,) = found(check_lost, CUT, CUT_RUN, STOP)
    assert (case.rule, case.request_id, case.instance) == ("LOST", "c1", "edge-0")
    assert "beside a stop or reload" in case.detail
    assert "4.50 s after SIGTERM" in case.detail


def test_an_answer_cut_in_its_middle_is_lost():
    call = evolve(CALL, result=Cut(200, "incomplete"))
    assert found(check_lost, call, RUN, STOP)


def test_an_unread_request_is_lost_once_it_is_closed_late():
    late = evolve(CUT, ended_seconds=20.21)
    soon = evolve(CUT, ended_seconds=20.19)
    assert found(check_lost, late, STOP)
    assert not found(check_lost, soon, STOP)


def test_a_request_cut_beside_a_reload_is_lost():
    reload = Disruption(Cause.HANGUP, "edge-0", 18.5, 18.5)
    assert found(check_lost, CUT, CUT_RUN, reload)
    before = evolve(reload, started_seconds=17.9, ended_seconds=17.9)
    assert not found(check_lost, CUT, CUT_RUN, before)
    other = evolve(reload, target="edge-1")
    assert not found(check_lost, CUT, CUT_RUN, other)


def test_requests_cut_only_beside_configurations_are_lost():
    second = evolve(FIRST, version=2, sent_seconds=19.0, acknowledged_seconds=19.0)
    (case,) = found(check_lost, CUT, CUT_RUN, second)
    assert "beside a configuration" in case.detail
    # Three times as many in seven times the time: under three times as often.
    new = evolve(CUT, is_kept=False)
    calls = [
        evolve(new, request_id=f"o{number}", ended_seconds=seconds)
        for number, seconds in enumerate((20.5, 24.0, 24.0, 24.0))
    ]
    runs = [evolve(CUT_RUN, request_id=call.request_id) for call in calls]
    assert not found(check_lost, *calls, *runs, second)
    assert found(check_lost, *calls[:3], *runs[:3], second)


def test_a_request_that_used_most_of_its_time_may_be_cut_beside_a_configuration():
    second = evolve(FIRST, version=2, sent_seconds=19.0, acknowledged_seconds=24.0)
    call = evolve(CUT, ended_seconds=25.7)
    assert not found(check_lost, call, CUT_RUN, second)


def test_more_than_three_kept_requests_cut_in_calm_times_are_lost():
    calls = [evolve(CUT, request_id=f"c{number}") for number in range(4)]
    runs = [evolve(CUT_RUN, request_id=call.request_id) for call in calls]
    cases = found(check_lost, *calls, *runs)
    assert ["at a calm instance" in case.detail for case in cases] == [True] * 4
    assert not found(check_lost, *calls[:3], *runs[:3])
    assert not found(check_lost, *calls)


@pytest.mark.parametrize(
    "cause", [Cause.KILL, Cause.FREEZE, Cause.UPSTREAM, Cause.LINK]
)
def test_unplanned_disruptions_excuse(cause):
    shortly_before = Disruption(cause, "any", 16.0, 17.1)
    long_before = Disruption(cause, "any", 16.0, 16.9)
    assert not found(check_lost, CUT, CUT_RUN, STOP, shortly_before)
    assert found(check_lost, CUT, CUT_RUN, STOP, long_before)


def test_a_disruption_of_the_store_excuses_nothing():
    store = Disruption(Cause.STORE, "store down", 19.0, 21.0)
    assert found(check_lost, CUT, CUT_RUN, STOP, store)


def test_what_the_upstream_broke_off_is_excused():
    run = evolve(RUN, end=RunEnd.BROKEN)
    assert not found(check_lost, CUT, run, STOP)


def test_a_request_whose_time_is_over_is_excused():
    assert not found(check_lost, evolve(CUT, ended_seconds=28.0), CUT_RUN, STOP)


def test_work_in_the_last_sixth_excuses_requests_sent_early():
    call = evolve(CUT, ended_seconds=23.3)
    run = evolve(CUT_RUN, ended_seconds=23.3)
    early = evolve(STOP, started_seconds=16.6)
    late = evolve(STOP, started_seconds=17.5)
    assert found(check_lost, call, run, early)
    assert found(check_lost, call, run, late)
    in_time = evolve(call, started_seconds=19.5, sent_seconds=19.5)
    assert not found(check_lost, in_time, run, early)
    # Whatever else was planned then.
    reload = Disruption(Cause.HANGUP, "edge-0", 20.0, 20.0)
    second = evolve(FIRST, version=2, sent_seconds=22.0, acknowledged_seconds=22.0)
    assert not found(check_lost, in_time, run, early, reload, second)


# The other rules


def test_a_second_run_breaks_twice():
    call = evolve(CALL, kind=Kind.ONCE, route="once")
    second = evolve(RUN, stamp="u-2", end=RunEnd.BROKEN)
    assert [case.rule for case in found(check_twice, call, RUN, second)] == ["TWICE"]
    assert not found(check_twice, call, RUN)
    assert not found(check_twice, CALL, RUN, second)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_request_that_ran_breaks_refused(status):
    call = evolve(CALL, route="once", result=Answered(status))
    assert [case.rule for case in found(check_refused, call, RUN)] == ["REFUSED"]
    assert not found(check_refused, call)
    assert not found(check_refused, evolve(call, result=Answered(502)), RUN)


def test_another_answer_breaks_mixed():
    without = evolve(CALL, result=Answered(200))
    others = evolve(CALL, result=Answered(200, "u-2"))
    other_body = evolve(CALL, flaw="100 bytes for 200")
    for call in (without, others, other_body):
        assert [case.rule for case in found(check_mixed, call, RUN)] == ["MIXED"]
    assert not found(check_mixed, CALL, RUN)


def test_a_missing_event_breaks_order():
    call = evolve(CALL, kind=Kind.STREAM, flaw="100 bytes for 200")
    assert [case.rule for case in found(check_order, call, RUN)] == ["ORDER"]
    assert not found(check_order, evolve(call, flaw=""), RUN)


def test_an_end_without_a_signal_breaks_fault():
    end = Ended("edge-0", 20.0, 1, False, 1)
    assert [case.rule for case in found(check_fault, end)] == ["FAULT"]
    assert not found(check_fault, evolve(end, is_expected=True))
    freeze = Disruption(Cause.FREEZE, "edge-0", 18.0, 19.5)
    assert not found(check_fault, end, freeze)
    assert found(check_fault, end, evolve(freeze, target="edge-1"))


def test_too_much_memory_breaks_fault():
    end = Ended("edge-0", 20.0, 0, True, BOUNDS.memory_bytes + 1)
    assert [case.rule for case in found(check_fault, end)] == ["FAULT"]


def test_a_removed_route_or_key_breaks_configuration():
    second = evolve(FIRST, version=2, sent_seconds=16.0, acknowledged_seconds=17.0)
    for without in (
        evolve(second, routes=frozenset(("once",))),
        evolve(second, keys=frozenset()),
    ):
        (case,) = found(check_configuration, CALL, RUN, without)
        assert case.rule == "CONFIG"
        recent = evolve(without, acknowledged_seconds=18.1)
        assert not found(check_configuration, CALL, RUN, recent)


def test_a_denied_route_breaks_configuration():
    for status in (401, 403, 404):
        call = evolve(CALL, result=Answered(status))
        assert [case.rule for case in found(check_configuration, call)] == ["CONFIG"]
    added = evolve(
        FIRST,
        version=2,
        routes=frozenset(("new",)),
        sent_seconds=19.0,
        acknowledged_seconds=19.0,
    )
    assert not found(check_configuration, evolve(call, route="new"), added)


def test_instances_out_of_touch_are_not_held_to_configurations():
    call = evolve(CALL, result=Answered(404))
    for cause, target in (
        (Cause.START, "edge-0"),
        (Cause.FREEZE, "edge-0"),
        (Cause.STORE, "store silent"),
    ):
        one = Disruption(cause, target, 17.0, 17.5)
        assert not found(check_configuration, call, one)
        assert found(
            check_configuration, call, evolve(one, started_seconds=1, ended_seconds=16)
        )
