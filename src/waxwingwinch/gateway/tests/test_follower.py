"""Following a topic through outages and lost history."""

import pytest

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch.gateway._follower import (
    MAX_CHANGES,
    FollowPlan,
    Pace,
    RecordEffect,
    StoreReadMode,
    TopicFollower,
)
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

TOPIC = "servers"
SHARED_PAUSE_SECONDS = 0.4
#: Value of a record that turns up late.
OLD = b"old"


class World:
    def __init__(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.outage = OutageTracker()
        self.applied: list[tuple[str, bytes | None]] = []
        self.kept: list[frozenset[str]] = []
        self.read_times: list[float] = []
        self.known: dict[str, bytes | None] = {}
        self.follower = TopicFollower(
            self.store,
            FollowPlan(TOPIC, Pace(0.0), Pace(0.0, SHARED_PAUSE_SECONDS)),
            self.clock,
            self.apply,
            self.kept.append,
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
def world():
    return World()


def test_the_newest_records_come_first_and_then_the_changes(world):
    world.store.put(TOPIC, "a", b"1")
    world.store.put(TOPIC, "a", b"2")
    world.follower.step()
    assert world.applied == [("a", b"2")]
    assert world.kept == [frozenset({"a"})]
    world.store.put(TOPIC, "a", None)
    world.store.put(TOPIC, "b", b"3")
    world.follower.step()
    assert world.applied[1:] == [("a", None), ("b", b"3")]
    assert len(world.read_times) == 2


def test_a_lost_history_is_replaced_by_the_newest_records(world):
    world.store.put(TOPIC, "a", b"1")
    world.follower.step()
    world.store.put(TOPIC, "b", b"2")
    world.store.put(TOPIC, "a", None)
    world.store.first_offsets["keyed." + TOPIC] = 3
    with pytest.raises(RecordsExpired):
        world.follower.step()
    world.follower.restart()
    world.follower.step()
    assert world.kept[-1] == frozenset({"b"})


def test_an_outage_is_noted_from_its_begin_to_its_end(world):
    world.follower.step()
    world.store.is_down = True
    with pytest.raises(PlatformUnavailable) as raised:
        world.follower.step()
    world.follower.record_outage(raised.value)
    world.clock.seconds += 4.0
    world.store.is_down = False
    world.follower.step()
    assert world.outage.may_have_lapsed(world.clock.seconds)
    assert len(world.read_times) == 2
    assert world.read_times[-1] == world.clock.seconds


class WaitingStore(FakeStore):
    """Notes how long each read may wait."""

    def __init__(self):
        super().__init__()
        self.waits = []

    def changes(self, topic, from_offset, wait_seconds):
        self.waits.append(wait_seconds)
        return super().changes(topic, from_offset, wait_seconds)


def test_reads_do_not_wait_while_the_store_is_away(world):
    """Pattern: a version is sent right after an outage without answers."""
    store = WaitingStore()
    plan = FollowPlan(TOPIC, Pace(2.0), Pace(1.0))
    follower = TopicFollower(store, plan, world.clock, lambda _: RecordEffect.NEW)
    follower.step()
    follower.step()
    store.is_down = True
    with pytest.raises(PlatformUnavailable) as raised:
        follower.step()
    follower.record_outage(raised.value)
    with pytest.raises(PlatformUnavailable):
        follower.step()
    store.is_down = False
    world.clock.seconds += 4.0
    follower.step()
    follower.step()
    assert store.waits == [2.0, 2.0, 0.0, 0.0, 2.0]


class Shared:
    """An instance that reads the store, and one that relies on it."""

    def __init__(self):
        self.reader, self.other = World(), World()
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
    return Shared()


def test_what_one_has_read_reaches_another_without_a_call(shared):
    """Pattern: hundreds of instances whose calls all have a price."""
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


def test_heartbeats_are_not_passed_on_but_the_last_one_before_an_end(shared):
    """Pattern: upstreams that write their entries every second."""
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


def test_an_old_record_that_turns_up_late_is_not_passed_on(shared):
    """Pattern: entries of upstreams that left are written once more."""
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "a", OLD)
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied == [("a", b"1")]
    whole = shared.reader.follower.page_since(-1, shared.clock.seconds)
    assert [record.value for record in whole.records] == [b"1"]
    shared.store.put(TOPIC, "a", None)
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied[-2:] == [("a", b"1"), ("a", None)]


def test_one_that_asks_late_misses_nothing(shared):
    """Pattern: more changes than are kept while an instance is paused."""
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
    assert shared.other.kept[-1] == frozenset(newest)


def test_one_whose_reader_fell_silent_reads_itself(shared):
    """Pattern: the instance that reads for all is cut off from the store."""
    plan = shared.other.follower._plan
    for _ in range(8):
        shared.clock.seconds += plan.max_age_seconds / 6
        shared.pass_on()
    assert shared.other.follower.seconds_until_read(shared.clock.seconds) <= 0


def test_one_that_has_read_on_is_not_set_back(shared):
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


def test_one_that_is_far_behind_gets_all_records(shared):
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "b", b"1")
    shared.pass_on()
    shared.reader.follower.restart()
    shared.store.put(TOPIC, "a", None)
    shared.reader.follower.step()
    assert shared.pass_on().is_full
    assert shared.other.kept[-1] == frozenset({"b"})


def test_a_record_passed_on_after_an_outage_ends_it(shared):
    """Pattern: the store is away, and one instance reaches it first."""
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
