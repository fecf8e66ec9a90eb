"""Tests of telling lapsed from removed entries after an outage."""

from waxwingwinch.gateway._outage import (
    MIN_OUTAGE_SECONDS,
    PEER_LEAD_SECONDS,
    RECOVERY_SECONDS,
    OutageTracker,
)


def test_entries_do_not_lapse_while_the_store_answers():
    tracker = OutageTracker()
    tracker.record_success(10.0)
    assert not tracker.may_have_lapsed(10.1)


def test_entries_may_lapse_in_an_outage_for_all_instances():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_peer_read(4.0, 13.0)
    assert tracker.record_success(14.0) == 4.0
    assert tracker.may_have_lapsed(14.1)
    assert not tracker.may_have_lapsed(14.0 + RECOVERY_SECONDS)


def test_an_outage_is_not_local_if_a_peer_recovers_slightly_earlier():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_peer_read(0.2, 14.0 - PEER_LEAD_SECONDS / 2)
    tracker.record_success(14.0)
    assert tracker.may_have_lapsed(14.1)


def test_a_removed_entry_has_not_lapsed_after_a_local_outage():
    tracker = OutageTracker()
    tracker.record_failure(16.5)
    for step in range(30):
        tracker.record_peer_read(0.3, 16.6 + step * 0.2)
    tracker.record_success(23.6)
    assert not tracker.may_have_lapsed(23.9)


def test_a_short_interruption_is_no_outage():
    tracker = OutageTracker()
    tracker.record_failure(10.0)
    tracker.record_success(10.0 + MIN_OUTAGE_SECONDS / 2)
    assert not tracker.may_have_lapsed(10.6)
