"""How often a process reads what changes all the time."""

from waxwingwinch.gateway._process import (
    UPSTREAMS_PAUSE_MIN_SECONDS,
    upstreams_pause_seconds,
)


def test_entries_are_read_often_enough_for_a_leaving_upstream():
    """Pattern: many instances whose reads all have a price."""
    for drain_seconds in (1.0, 2.0, 3.0):
        # One read that takes as long as the pause may be lost.
        assert 3 * upstreams_pause_seconds(drain_seconds) < drain_seconds


def test_entries_are_not_read_without_a_pause():
    assert upstreams_pause_seconds(0.0) == UPSTREAMS_PAUSE_MIN_SECONDS
