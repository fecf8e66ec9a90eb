"""Following a topic through outages and lost history."""

import pytest

from waxwingwinch._exceptions import PlatformUnavailable, RecordsExpired
from waxwingwinch.gateway._follower import FollowPlan, TopicFollower
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

TOPIC = "servers"


class World:
    def __init__(self):
        self.store = FakeStore()
        self.clock = FakeClock()
        self.outage = OutageTracker()
        self.applied: list[tuple[str, bytes | None]] = []
        self.kept: list[frozenset[str]] = []
        self.read_times: list[float] = []
        self.follower = TopicFollower(
            self.store,
            FollowPlan(TOPIC, 0.0),
            self.clock,
            lambda record: self.applied.append((record.key, record.value)),
            self.kept.append,
            self.count,
            self.outage,
        )

    def count(self):
        self.read_times.append(self.clock.seconds)


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
    world.follower.note_away(raised.value)
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
    plan = FollowPlan(TOPIC, 2.0)
    follower = TopicFollower(store, plan, world.clock, lambda _: None)
    follower.step()
    follower.step()
    store.is_down = True
    with pytest.raises(PlatformUnavailable) as raised:
        follower.step()
    follower.note_away(raised.value)
    with pytest.raises(PlatformUnavailable):
        follower.step()
    store.is_down = False
    world.clock.seconds += 4.0
    follower.step()
    follower.step()
    assert store.waits == [2.0, 2.0, 0.0, 0.0, 2.0]
