"""Tests of the duty table."""

from waxwingwinch._types import Address, Epoch, InstanceId
from waxwingwinch.authority import (
    NO_VERSION,
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    DutyReset,
    DutyTable,
    DutyVersion,
)

ADDRESS = Address("127.0.0.1", 1)


def claim(token, supersedes):
    return DutyClaim("d", InstanceId(token), ADDRESS, token, supersedes)


def known_state(table):
    """Return the state of the duty, which must be known."""
    state = table.state("d")
    assert state is not None
    return state


def renewal(epoch, supersedes):
    return DutyRenewal((DutyVersion("d", Epoch(epoch), supersedes),))


def release(epoch, supersedes):
    return DutyRelease((DutyVersion("d", Epoch(epoch), supersedes),))


def test_first_claim_on_a_version_wins():
    table = DutyTable()
    assert table.apply(0, claim("a", NO_VERSION), 1.0) == ["d"]
    assert table.apply(1, claim("b", NO_VERSION), 2.0) == []
    assert known_state(table).token == "a"
    assert known_state(table).epoch == 0


def test_claim_decided_before_a_renewal_is_void():
    table = DutyTable()
    table.apply(0, claim("a", NO_VERSION), 1.0)
    table.apply(1, renewal(0, 0), 2.0)
    assert table.apply(2, claim("b", 0), 3.0) == []
    assert table.version("d") == 1
    assert table.read_seconds("d") == 2.0


def test_renewal_of_an_older_term_is_void():
    table = DutyTable()
    table.apply(0, claim("a", NO_VERSION), 1.0)
    table.apply(1, claim("b", 0), 2.0)
    assert table.apply(2, renewal(0, 1), 3.0) == []
    assert table.apply(3, release(0, 0), 3.0) == []
    assert known_state(table).token == "b"


def test_released_duty_takes_no_renewal():
    table = DutyTable()
    table.apply(0, claim("a", NO_VERSION), 1.0)
    table.apply(1, release(0, 0), 2.0)
    assert not table.may_have_holder("d")
    assert table.apply(2, renewal(0, 1), 3.0) == []
    assert table.apply(3, claim("b", 1), 3.0) == ["d"]


def test_late_reader_is_anchored_by_a_snapshot_and_replays_the_rest():
    full_table = DutyTable()
    records = [claim("a", NO_VERSION), renewal(0, 0), renewal(0, 1)]
    for offset, body in enumerate(records):
        full_table.apply(offset, body, float(offset))
    snapshot = full_table.snapshot()
    stale = claim("stale", 0)
    tail = [stale, renewal(0, 2), snapshot]
    for offset, body in enumerate(tail, start=3):
        full_table.apply(offset, body, float(offset))
    late_table = DutyTable(first_offset=3)
    for offset, body in enumerate(tail, start=3):
        assert not late_table.anchored
        late_table.apply(offset, body, float(offset))
    assert late_table.anchored
    assert late_table.state("d") == full_table.state("d")


def test_snapshot_that_leaves_a_gap_is_not_taken():
    old_table = DutyTable()
    old_table.apply(0, claim("a", NO_VERSION), 1.0)
    late_table = DutyTable(first_offset=5)
    late_table.apply(5, old_table.snapshot(), 2.0)
    assert not late_table.anchored


def test_reset_voids_holders_and_makes_candidates_wait():
    table = DutyTable()
    table.apply(0, claim("a", NO_VERSION), 1.0)
    assert table.apply(1, DutyReset("b"), 2.0) == ["d"]
    assert table.may_have_holder("d")
    assert table.read_seconds("d") == 2.0
    assert table.apply(2, renewal(0, 0), 3.0) == []
    assert table.apply(3, claim("b", 1), 3.0) == ["d"]
