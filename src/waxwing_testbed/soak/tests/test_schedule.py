"""Schedules, made from seeds alone."""

import pytest

from waxwing_testbed.soak._schedule import (
    CALM_END_SECONDS,
    FIRST_EVENT_SECONDS,
    UPSTREAMS,
    Action,
    Configure,
    Disturb,
    make_schedule,
)

PLANNED = {Action.STOP, Action.RELOAD, Action.RELOAD_TWICE, Action.LEAVE}


def actions(schedule):
    return {event.action for event in schedule.events if isinstance(event, Disturb)}


@pytest.mark.parametrize("seed", range(20))
def test_a_seed_gives_one_schedule(seed):
    assert make_schedule(seed, 2, 20.0) == make_schedule(seed, 2, 20.0)
    assert make_schedule(seed, 2, 20.0) != make_schedule(seed + 1, 2, 20.0)


@pytest.mark.parametrize("seed", range(20))
def test_events_come_in_order_within_the_soak(seed):
    schedule = make_schedule(seed, 3, 20.0)
    times = [event.at_seconds for event in schedule.events]
    assert times == sorted(times)
    assert times[0] >= FIRST_EVENT_SECONDS
    assert times[-1] <= 20.0 - CALM_END_SECONDS


@pytest.mark.parametrize("seed", range(20))
def test_targets_exist(seed):
    for event in make_schedule(seed, 2, 60.0).events:
        if isinstance(event, Disturb):
            assert event.target in range(max(2, UPSTREAMS))


def test_even_seeds_hold_planned_work_only():
    for seed in range(0, 40, 2):
        schedule = make_schedule(seed, 2, 60.0)
        assert schedule.is_planned
        assert actions(schedule) <= PLANNED


def test_odd_seeds_hold_each_fault_among_them():
    schedules = [make_schedule(seed, 2, 60.0) for seed in range(1, 41, 2)]
    assert set().union(*map(actions, schedules)) == set(Action)


def test_each_schedule_begins_with_a_stop():
    for seed in range(20):
        first = make_schedule(seed, 2, 20.0).events[0]
        assert isinstance(first, Disturb) and first.action is Action.STOP


def test_configurations_change_routes_keys_and_timeouts():
    configurations = [
        event
        for seed in range(20)
        for event in make_schedule(seed, 2, 60.0).events
        if isinstance(event, Configure)
    ]
    assert len({one.extra_routes for one in configurations}) > 1
    assert {one.has_extra_key for one in configurations} == {True, False}
    assert len({one.timeout_seconds for one in configurations}) > 1
    assert len({one.idle_seconds for one in configurations}) > 1
