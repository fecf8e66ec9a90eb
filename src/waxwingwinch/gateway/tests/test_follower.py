"""Tests of the topic follower through outages and expired history."""

import pytest

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch.gateway._follower import (
    MAX_CHANGES,
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    TopicFollower,
    pause_after_failure,
)
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway.feeds import FollowPlan, Pace, RecordEffect, StoreReadMode
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

TOPIC = "servers"
SHARED_PAUSE_SECONDS = 0.4
#: Value of a record that the store delivers after a newer one.
OLD = b"old"


class FollowerHarness:
    def __init__(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.outage = OutageTracker()
        self.applied: list[tuple[str, bytes | None]] = []
        self.snapshot_keys: list[frozenset[str]] = []
        self.read_times: list[float] = []
        self.known: dict[str, bytes | None] = {}
        self.follower = TopicFollower(
            self.store,
            FollowPlan(TOPIC, Pace(0.0), Pace(0.0, SHARED_PAUSE_SECONDS)),
            self.clock,
            self.apply,
            self.snapshot_keys.append,
            self.count,
            self.outage,
        )

    def apply(self, record):
        self.applied.append((record.key, record.value))
        if record.value == OLD:
            return RecordEffect.OUTDATED
        is_repeated = self.known.get(record.key) == record.value
        self.known[record.key] = record.value
        return RecordEffect.REPEATED if is_repeated else RecordEffect.NEW

    def count(self, read_seconds):
        self.read_times.append(read_seconds)


@pytest.fixture
def harness():
    return FollowerHarness()


def test_the_newest_records_are_applied_before_the_changes(harness):
    harness.store.put(TOPIC, "a", b"1")
    harness.store.put(TOPIC, "a", b"2")
    harness.follower.step()
    assert harness.applied == [("a", b"2")]
    assert harness.snapshot_keys == [frozenset({"a"})]
    harness.store.put(TOPIC, "a", None)
    harness.store.put(TOPIC, "b", b"3")
    harness.follower.step()
    assert harness.applied[1:] == [("a", None), ("b", b"3")]
    assert len(harness.read_times) == 2


def test_an_expired_history_is_replaced_by_the_newest_records(harness):
    harness.store.put(TOPIC, "a", b"1")
    harness.follower.step()
    harness.store.put(TOPIC, "b", b"2")
    harness.store.put(TOPIC, "a", None)
    harness.store.first_offsets["keyed." + TOPIC] = 3
    with pytest.raises(RecordsExpired):
        harness.follower.step()
    harness.follower.restart()
    harness.follower.step()
    assert harness.snapshot_keys[-1] == frozenset({"b"})


def test_an_outage_is_recorded_from_start_to_end(harness):
    harness.follower.step()
    harness.store.is_down = True
    with pytest.raises(PlatformUnavailable) as raised:
        harness.follower.step()
    harness.follower.record_outage(raised.value)
    harness.clock.seconds += 4.0
    harness.store.is_down = False
    harness.follower.step()
    assert harness.outage.may_have_lapsed(harness.clock.seconds)
    assert len(harness.read_times) == 2
    assert harness.read_times[-1] == harness.clock.seconds


class WaitingStore(FakeStore):
    """Records the maximum wait of each read."""

    def __init__(self):
        super().__init__()
        self.waits = []

    def changes(self, topic, from_offset, wait_seconds):
        self.waits.append(wait_seconds)
        return super().changes(topic, from_offset, wait_seconds)


def test_reads_do_not_wait_while_the_store_is_unavailable(harness):
    """Guards against a delayed version right after an outage without answers.

    A read that waits in the outage is answered late, if at all.
    """
    store = WaitingStore()
    plan = FollowPlan(TOPIC, Pace(2.0), Pace(1.0))
    follower = TopicFollower(store, plan, harness.clock, lambda _: RecordEffect.NEW)
    follower.step()
    follower.step()
    store.is_down = True
    with pytest.raises(PlatformUnavailable) as raised:
        follower.step()
    follower.record_outage(raised.value)
    with pytest.raises(PlatformUnavailable):
        follower.step()
    store.is_down = False
    harness.clock.seconds += 4.0
    follower.step()
    follower.step()
    assert store.waits == [2.0, 2.0, 0.0, 0.0, 2.0]


# Guards against a withdrawn key that is served for three seconds after an
# outage without responses: a call that began in it takes 1 s to fail.
def test_a_call_without_a_response_is_soon_repeated():
    assert pause_after_failure(MAX_PAUSE_SECONDS, 1.0) == MIN_PAUSE_SECONDS
    assert pause_after_failure(MAX_PAUSE_SECONDS, 0.1) == MAX_PAUSE_SECONDS - 0.1


class SharedReads:
    """An instance that reads the store, and another that relies on it."""

    def __init__(self):
        self.reader, self.other = FollowerHarness(), FollowerHarness()
        self.other.store = self.other.follower._store = self.reader.store
        self.other.clock = self.other.follower._clock = self.reader.clock
        self.store, self.clock = self.reader.store, self.reader.clock
        self.other.follower.read_mode = lambda: StoreReadMode.DELEGATED
        self.reader.follower.read_mode = lambda: StoreReadMode.SHARED
        self.reader.follower.step()
        self.other.follower.step()

    def pass_on(self):
        page = self.reader.follower.page_since(
            self.other.follower.end_offset, self.clock.seconds
        )
        assert page is not None
        self.other.follower.apply_page(page, self.clock.seconds)
        return page


@pytest.fixture
def shared():
    return SharedReads()


# Guards against a withdrawn key that is served for over three seconds: the
# store held a read that had begun before it turned the reader away, and
# answered it without the records written since.
def test_a_read_without_records_is_as_old_as_its_start(shared, monkeypatch):
    changes = FakeStore.changes

    def hold(store, topic, from_offset, wait_seconds):
        result = changes(store, topic, from_offset, wait_seconds)
        shared.clock.seconds += 1.0
        shared.store.put(TOPIC, "a", b"1")
        return result

    monkeypatch.setattr(FakeStore, "changes", hold)
    started_seconds = shared.clock.seconds
    shared.reader.follower.step()
    page = shared.pass_on()
    assert page.age_seconds == pytest.approx(shared.clock.seconds - started_seconds)
    max_age_seconds = shared.other.follower._plan.max_age_seconds
    until_read = shared.other.follower.seconds_until_read(shared.clock.seconds)
    assert until_read == pytest.approx(max_age_seconds - 1.0)


# Guards against two instances that the store turns away and that keep each
# other's records young: withdrawn keys were served for eight seconds, since
# nobody read the store.
def test_passing_on_makes_no_record_younger(shared):
    read_seconds = shared.clock.seconds
    feeds = [
        StoreFeed([each.follower], shared.clock)
        for each in (shared.reader, shared.other)
    ]
    for number in range(20):
        sender, receiver = feeds[number % 2], feeds[1 - number % 2]
        asked_seconds = shared.clock.seconds
        shared.clock.seconds += 0.05
        pages = sender.pages(receiver.offsets())
        shared.clock.seconds += 0.05
        receiver.apply_pages(pages, "other", False, asked_seconds)
    elapsed_seconds = shared.clock.seconds - read_seconds
    for each in (shared.reader, shared.other):
        page = each.follower.page_since(each.follower.end_offset, shared.clock.seconds)
        assert page.age_seconds >= elapsed_seconds - 1e-6


# Guards against hundreds of instances that all read the store while both
# readers are turned away.
def test_a_standby_reads_in_time_for_the_others(shared):
    standby = shared.other.follower
    plan = standby._plan
    standby.read_mode = lambda: StoreReadMode.STANDBY
    until_read = standby.seconds_until_read(shared.clock.seconds)
    assert until_read == pytest.approx(plan.standby_age_seconds)
    assert 0 < until_read < plan.max_age_seconds
    shared.clock.seconds += until_read
    shared.store.put(TOPIC, "a", b"1")
    standby.step()
    page = standby.page_since(0, shared.clock.seconds)
    assert page.age_seconds == 0.0
    assert [record.key for record in page.records] == ["a"]


def test_records_reach_another_instance_without_a_store_call(shared):
    """Guards against billed calls of hundreds of instances."""
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "b", b"2")
    shared.reader.follower.step()
    calls = shared.store.calls
    shared.pass_on()
    assert shared.other.applied == [("a", b"1"), ("b", b"2")]
    assert shared.other.follower.end_offset == 2
    shared.clock.seconds += 1.0
    assert shared.other.follower.seconds_until_read(shared.clock.seconds) > 0
    assert shared.store.calls == calls


def test_only_the_last_heartbeat_before_a_removal_is_passed_on(shared):
    """Guards against traffic of upstreams that renew entries every second."""
    for _ in range(3):
        shared.store.put(TOPIC, "a", b"1")
    shared.reader.follower.step()
    assert len(shared.pass_on().records) == 1
    shared.store.put(TOPIC, "a", b"1")
    shared.reader.follower.step()
    assert not shared.pass_on().records
    shared.store.put(TOPIC, "a", None)
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied[-2:] == [("a", b"1"), ("a", None)]
    assert shared.other.follower.end_offset == 5


# Guards against versions in force late, since a page holds a series of them.
def test_a_page_holds_only_the_newest_record_of_a_key(shared):
    for number in range(20):
        shared.store.put(TOPIC, "config", b"%d" % number)
    shared.reader.follower.step()
    assert [record.value for record in shared.pass_on().records] == [b"19"]


def test_an_outdated_record_is_not_passed_on(shared):
    """Entries of removed upstreams are written once more."""
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "a", OLD)
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied == [("a", b"1")]
    full_page = shared.reader.follower.page_since(-1, shared.clock.seconds)
    assert [record.value for record in full_page.records] == [b"1"]
    shared.store.put(TOPIC, "a", None)
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied[-2:] == [("a", b"1"), ("a", None)]


def test_a_slow_reader_misses_no_state(shared):
    """There are more changes than retained while an instance is paused."""
    for number in range(MAX_CHANGES + 2):
        shared.store.put(TOPIC, f"k{number % 7}", b"%d" % number)
        if number % 3 == 0:
            shared.store.put(TOPIC, f"k{number % 7}", None)
    shared.reader.follower.step()
    shared.pass_on()
    newest = {
        record.key: record.value for record in shared.store.snapshot(TOPIC).records
    }
    known = {
        key: value for key, value in shared.other.known.items() if value is not None
    }
    assert {key: known[key] for key in newest} == newest
    assert shared.other.snapshot_keys[-1] == frozenset(newest)


def test_an_instance_reads_the_store_after_its_reader_fell_silent(shared):
    """The instance that reads for the others loses the store."""
    plan = shared.other.follower._plan
    for _ in range(8):
        shared.clock.seconds += plan.max_age_seconds / 6
        shared.pass_on()
    assert shared.other.follower.seconds_until_read(shared.clock.seconds) <= 0


def test_an_instance_that_is_ahead_ignores_older_pages(shared):
    shared.store.put(TOPIC, "a", b"1")
    shared.reader.follower.step()
    page = shared.reader.follower.page_since(0, shared.clock.seconds)
    shared.store.put(TOPIC, "a", b"2")
    shared.other.follower.step()
    assert shared.other.follower.end_offset == 2
    assert page is not None
    shared.other.follower.apply_page(page, shared.clock.seconds)
    shared.pass_on()
    assert shared.other.follower.end_offset == 2
    assert shared.other.applied[-1] == ("a", b"2")


def test_an_instance_far_behind_receives_all_records(shared):
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "b", b"1")
    shared.pass_on()
    shared.reader.follower.restart()
    shared.store.put(TOPIC, "a", None)
    shared.reader.follower.step()
    assert shared.pass_on().is_full
    assert shared.other.snapshot_keys[-1] == frozenset({"b"})


def test_a_record_passed_on_after_an_outage_ends_the_outage(shared):
    """After an outage one instance reaches the store before the others."""
    shared.store.is_down = True
    for follower in (shared.reader.follower, shared.other.follower):
        with pytest.raises(PlatformUnavailable) as raised:
            follower.step()
        follower.record_outage(raised.value)
    shared.clock.seconds += 4.0
    shared.pass_on()
    assert not shared.other.outage.may_have_lapsed(shared.clock.seconds)
    shared.store.is_down = False
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.outage.may_have_lapsed(shared.clock.seconds)
