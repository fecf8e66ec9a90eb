"""Followers of topics when the store returns from an older copy."""

import pytest

from waxwingwinch.gateway._positions import (
    MAX_ERA,
    MAX_OFFSET,
    era_of,
    make_position,
    offset_of,
)
from waxwingwinch.gateway._store import HistoryReplaced
from waxwingwinch.gateway.feeds import StoreReadMode
from waxwingwinch.gateway.tests.test_follower import TOPIC, FollowerHarness, SharedReads


@pytest.mark.parametrize("era", [0, 1, MAX_ERA])
@pytest.mark.parametrize("offset", [0, 1, MAX_OFFSET])
def test_a_position_holds_era_and_offset(era, offset):
    position = make_position(era, offset)
    assert (era_of(position), offset_of(position)) == (era, offset)
    assert position < make_position(era + 1, 0)


# Guards against a read that goes on in the middle of other records.
@pytest.mark.parametrize("refilled", [0, 1, 2])
def test_a_follower_starts_over_in_a_new_history(refilled):
    harness = FollowerHarness()
    harness.store.put(TOPIC, "a", b"1")
    copy = harness.store.copy()
    harness.store.put(TOPIC, "a", b"2")
    harness.follower.step()
    harness.store.restore(copy)
    for number in range(refilled):
        harness.store.put(TOPIC, "b", b"%d" % number)
    with pytest.raises(HistoryReplaced):
        harness.follower.step()
    harness.follower.restart()
    harness.follower.step()
    newest = {key: value for key, value in harness.applied}
    assert newest == {"a": b"1", **({"b": b"%d" % (refilled - 1)} if refilled else {})}
    harness.store.put(TOPIC, "a", b"3")
    harness.follower.step()
    assert harness.applied[-1] == ("a", b"3")


def restart_in_new_history(harness):
    with pytest.raises(HistoryReplaced):
        harness.follower.step()
    harness.follower.restart()
    harness.follower.step()


# Guards against records of a new history, whose ends are smaller, that are
# taken for outdated where instances read the store for one another.
def test_a_page_of_a_newer_history_is_applied():
    shared = SharedReads()
    copy = shared.store.copy()
    for number in range(10):
        shared.store.put(TOPIC, f"k{number}", b"1")
    shared.reader.follower.step()
    shared.pass_on()
    shared.store.restore(copy)
    shared.store.put(TOPIC, "a", b"2")
    restart_in_new_history(shared.reader)
    shared.clock.seconds += 0.1
    page = shared.pass_on()
    assert page.is_full
    assert shared.other.applied[-1] == ("a", b"2")
    shared.store.put(TOPIC, "a", b"3")
    shared.reader.follower.step()
    assert not shared.pass_on().is_full
    assert shared.other.applied[-1] == ("a", b"3")


# Guards against an instance that goes back with one that hasn't read yet.
def test_a_page_of_an_older_history_is_ignored():
    shared = SharedReads()
    shared.store.put(TOPIC, "a", b"1")
    shared.reader.follower.step()
    old_page = shared.reader.follower.page_since(None, shared.clock.seconds)
    assert old_page is not None
    shared.store.restore(shared.store.copy())
    shared.store.put(TOPIC, "a", b"2")
    shared.other.follower.read_mode = lambda: StoreReadMode.INDEPENDENT
    restart_in_new_history(shared.other)
    applied = list(shared.other.applied)
    shared.other.follower.apply_page(old_page, shared.clock.seconds)
    assert shared.other.applied == applied
    shared.other.follower.restart()
    shared.other.follower.apply_page(old_page, shared.clock.seconds)
    assert shared.other.applied == applied


# Guards against keys that are removed because a copy lacks them.
def test_the_first_snapshot_of_a_new_history_removes_nothing():
    harness = FollowerHarness()
    returned_keys: list[frozenset[str]] = []
    harness.follower._on_return = returned_keys.append
    harness.follower.step()
    copy = harness.store.copy()
    harness.store.put(TOPIC, "a", b"1")
    harness.follower.step()
    harness.store.restore(copy)
    snapshots = len(harness.snapshot_keys)
    restart_in_new_history(harness)
    assert returned_keys == [frozenset()]
    assert len(harness.snapshot_keys) == snapshots
