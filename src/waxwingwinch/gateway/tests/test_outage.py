"""Entries that lapse in an outage, and those that are removed beside one."""

from waxwingwinch.gateway._outage import (
    MIN_OUTAGE_SECONDS,
    PEER_LEAD_SECONDS,
    RECOVERY_SECONDS,
    OutageTracker,
)


def test_entries_vanish_for_good_while_the_store_answers():
    tracker = OutageTracker()
    tracker.record_success(10.0)
    assert not tracker.may_have_lapsed(10.1)


def test_entries_may_lapse_while_the_store_is_away_for_all():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_peer_read(4.0, 13.0)
    assert tracker.record_success(14.0) == 4.0
    assert tracker.may_have_lapsed(14.1)
    assert not tracker.may_have_lapsed(14.0 + RECOVERY_SECONDS)


def test_a_peer_that_comes_back_a_little_earlier_does_not_change_that():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_peer_read(0.2, 14.0 - PEER_LEAD_SECONDS / 2)
    tracker.record_success(14.0)
    assert tracker.may_have_lapsed(14.1)


def test_an_upstream_that_leaves_after_an_outage_of_this_instance_only_is_gone():
    tracker = OutageTracker()
    tracker.record_failure(16.5)
    for step in range(30):
        tracker.record_peer_read(0.3, 16.6 + step * 0.2)
    tracker.record_success(23.6)
    assert not tracker.may_have_lapsed(23.9)


def test_a_short_pause_is_no_outage():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_success(10.0 + MIN_OUTAGE_SECONDS / 2)
    assert not tracker.may_have_lapsed(10.6)
