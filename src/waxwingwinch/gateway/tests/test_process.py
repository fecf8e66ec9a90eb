"""The intervals at which a process reads topics of the store."""

import pytest

from waxwingwinch.gateway._exchange_reader import EXCHANGE_INTERVAL_SECONDS
from waxwingwinch.gateway._process import (
    CONFIGURATION_PACE,
    SHARED_CONFIGURATION_PACE,
    UPSTREAMS_PAUSE_MIN_SECONDS,
    upstreams_pace,
)
from waxwingwinch.gateway.feeds import FollowPlan


def upstreams_plan(drain_seconds):
    alone, shared = (
        upstreams_pace(drain_seconds, is_shared) for is_shared in (False, True)
    )
    return FollowPlan("servers", alone, shared)


def test_entries_are_read_often_enough_for_a_leaving_upstream():
    """Pattern: many instances, each of whose reads is charged for."""
    for drain_seconds in (1.0, 2.0, 3.0):
        # One read may fail after as long as the pause.
        assert 3 * upstreams_pace(drain_seconds, False).pause_seconds < drain_seconds


def test_entries_are_not_read_without_a_pause():
    assert upstreams_pace(0.0, True).pause_seconds == UPSTREAMS_PAUSE_MIN_SECONDS


@pytest.mark.parametrize("drain_seconds", [2.0, 3.0, 4.0])
def test_a_failed_reader_is_replaced_before_a_leaving_upstream_is_gone(
    drain_seconds,
):
    """Pattern: the instance that reads the store for others is cut off."""
    plan = upstreams_plan(drain_seconds)
    assert plan.max_age_seconds + 0.25 < drain_seconds
    propagation_seconds = plan.shared_pace.pause_seconds + 3 * EXCHANGE_INTERVAL_SECONDS
    assert propagation_seconds < plan.max_age_seconds


# Guards against standbys that read the store although the readers do.
@pytest.mark.parametrize("drain_seconds", [2.0, 3.0, 4.0])
def test_standbys_are_idle_while_records_arrive(drain_seconds):
    configuration = FollowPlan("op", CONFIGURATION_PACE, SHARED_CONFIGURATION_PACE)
    for plan in (upstreams_plan(drain_seconds), configuration):
        pace = plan.shared_pace
        oldest_seconds = 2 * pace.wait_seconds + pace.pause_seconds
        arrival_seconds = oldest_seconds + EXCHANGE_INTERVAL_SECONDS
        assert arrival_seconds < plan.standby_age_seconds
        # Two exchanges bring what a standby reads to the others in time.
        relayed_seconds = plan.standby_age_seconds + 2 * EXCHANGE_INTERVAL_SECONDS
        assert relayed_seconds <= plan.max_age_seconds + 1e-9


@pytest.mark.parametrize("deadline_seconds", [3.0, 4.0])
def test_a_failed_reader_is_replaced_before_a_version_is_overdue(
    deadline_seconds,
):
    plan = FollowPlan("op", CONFIGURATION_PACE, SHARED_CONFIGURATION_PACE)
    assert plan.max_age_seconds + 0.25 < deadline_seconds
