from waxwingwinch.contracts import Freshness
from waxwingwinch.membership import decide_freshness


def test_log_read_keeps_fresh():
    assert decide_freshness(98.0, [], 7, 3.0, 100.0) is Freshness.FRESH


def test_old_log_read_and_no_peers_is_stale():
    assert decide_freshness(96.0, [], 7, 3.0, 100.0) is Freshness.STALE


def test_majority_of_peers_keeps_fresh():
    assert decide_freshness(None, [99.0] * 3, 7, 3.0, 100.0) is Freshness.FRESH


def test_minority_partition_is_stale():
    assert decide_freshness(None, [99.0] * 2, 7, 3.0, 100.0) is Freshness.STALE


def test_old_heartbeats_do_not_count():
    synchronized_seconds = [99.0, 99.0, 96.9]
    assert (
        decide_freshness(None, synchronized_seconds, 7, 3.0, 100.0) is Freshness.STALE
    )


def test_half_of_an_even_number_is_no_majority():
    assert decide_freshness(None, [99.0] * 2, 6, 3.0, 100.0) is Freshness.STALE
