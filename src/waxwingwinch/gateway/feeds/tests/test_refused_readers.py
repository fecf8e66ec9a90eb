"""Instances whose readers the store refuses, without a network."""

import pytest

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._exchange_reader import EXCHANGE_INTERVAL_SECONDS
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._follower import TopicFollower
from waxwingwinch.gateway._process import (
    CONFIGURATION_PACE,
    SHARED_CONFIGURATION_PACE,
)
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway.feeds import (
    FollowPlan,
    ReaderState,
    ReaderWatch,
    RecordEffect,
    StoreCalls,
    StoreReadMode,
)
from waxwingwinch.gateway.feeds._readers import (
    HEARD_SECONDS,
    OVERDUE_SECONDS,
    OVERDUE_UNHELD_SECONDS,
    SPREAD_SECONDS,
)
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore

TOPIC = "op"
PLAN = FollowPlan(TOPIC, CONFIGURATION_PACE, SHARED_CONFIGURATION_PACE)
STEP_SECONDS = 0.05
#: Time within which an instance has a version that was written after the store
#: began to refuse its reader: a held read of the reader (0.5 s), two exchanges
#: (0.6 s), the spread of the reads (0.2 s) and steps of these tests.
KNOWN_SECONDS = 1.5


class Instance:
    """The feed of one instance, which calls the store with its own faults."""

    def __init__(self, name, topics, clock, mode):
        self.name, self.clock = name, clock
        self.store = FakeStore(topics)
        self.mode = mode
        self.known: dict[str, bytes | None] = {}
        self.follower = TopicFollower(self.store, PLAN, clock, self.apply)
        self.follower.read_mode = lambda: mode
        self.feed = StoreFeed([self.follower], clock)
        self.next_read_seconds = 0.0

    def apply(self, record):
        self.known[record.key] = record.value
        return RecordEffect.NEW

    def take_from(self, other, is_collector):
        pages = other.feed.pages(self.feed.offsets(), True)
        pages = [decode_message(encode_message(page)) for page in pages]
        self.feed.apply_pages(pages, other.name, is_collector, self.clock.seconds)

    def run(self):
        """Read the store, which holds reads as long as there is no news."""
        now_seconds = self.clock.seconds
        if self.follower.seconds_until_read(now_seconds) > 0:
            return
        end_offset = self.follower.end_offset or 0
        has_news = len(self.store.topics.get(f"keyed.{TOPIC}", ())) > end_offset
        is_held = now_seconds < self.next_read_seconds
        if is_held and (self.store.is_down or not has_news):
            return
        pace = self.follower._pace()
        self.next_read_seconds = now_seconds + pace.wait_seconds
        try:
            self.follower.step()
        except (PlatformUnavailable, PlatformRefused) as error:
            self.follower.record_outage(error)
            self.next_read_seconds = now_seconds + 0.5


class Fleet:
    """Two readers, a collector, and a delegate of a reader and of it."""

    def __init__(self):
        self.clock = FakeClock()
        topics: dict[str, list[bytes]] = {}
        shared, delegated = StoreReadMode.SHARED, StoreReadMode.DELEGATED
        self.first = Instance("first", topics, self.clock, shared)
        self.second = Instance("second", topics, self.clock, shared)
        standby = StoreReadMode.STANDBY
        self.collector = Instance("collector", topics, self.clock, standby)
        self.near = Instance("near", topics, self.clock, delegated)
        self.far = Instance("far", topics, self.clock, delegated)
        self.readers = self.first, self.second
        self.delegates = self.collector, self.near, self.far
        self.instances = *self.readers, *self.delegates
        self.steps = 0
        self.write("0")

    def write(self, value):
        calls, writer = self.first.store.calls, self.first.store
        is_down, writer.is_down = writer.is_down, False
        writer.put(TOPIC, "config", value.encode())
        writer.is_down, writer.calls = is_down, calls

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.seconds += STEP_SECONDS
            self.steps += 1
            for instance in self.instances:
                instance.run()
            if self.steps % round(EXCHANGE_INTERVAL_SECONDS / STEP_SECONDS) == 0:
                self.exchange()

    def exchange(self):
        self.near.take_from(self.first, True)
        self.far.take_from(self.collector, True)
        for collector in (self.first, self.second, self.collector):
            for other in (self.first, self.second, self.collector):
                if collector is not other:
                    collector.take_from(other, False)

    def values(self, instances):
        return [instance.known["config"] for instance in instances]

    def calls(self, instances):
        return [instance.store.calls for instance in instances]


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run(4.0)
    return fleet


# Guards against a withdrawn key that is served for over three seconds at
# instances that the store serves, since it refuses their readers.
def test_delegates_read_for_themselves_once_their_readers_are_refused(fleet):
    for reader in fleet.readers:
        reader.store.is_down = True
    fleet.write("1")
    fleet.run(KNOWN_SECONDS)
    assert fleet.values(fleet.delegates) == [b"1"] * 3
    fleet.write("2")
    fleet.run(KNOWN_SECONDS)
    assert fleet.values(fleet.instances) == [b"2"] * 5


# Guards against calls of all instances while one of two readers is served.
def test_delegates_keep_to_the_reader_that_is_served(fleet):
    calls = fleet.calls(fleet.delegates)
    fleet.first.store.is_down = True
    for number in range(1, 6):
        fleet.write(str(number))
        fleet.run(KNOWN_SECONDS)
        assert fleet.values(fleet.instances) == [b"%d" % number] * 5
    assert fleet.calls(fleet.delegates) == calls


# Guards against a number of billed calls that rises while nothing is amiss.
def test_calm_delegates_make_no_calls(fleet):
    before = fleet.calls(fleet.delegates)
    reads = sum(fleet.calls(fleet.readers))
    for number in range(10):
        fleet.write(str(number))
        fleet.run(2.0)
    assert fleet.calls(fleet.delegates) == before
    # A read of 0.5 s each, one after another.
    assert sum(fleet.calls(fleet.readers)) - reads <= 2 * 20.0 / 0.5 + 2


# Guards against a delegate that the store refuses as well, and that takes no
# pages while it tries.
def test_a_refused_delegate_takes_pages_of_others(fleet):
    for instance in (*fleet.readers, fleet.far, fleet.near):
        instance.store.is_down = True
    fleet.write("1")
    fleet.run(KNOWN_SECONDS + EXCHANGE_INTERVAL_SECONDS)
    assert fleet.far.known["config"] == b"1"
    assert fleet.first.known["config"] == b"1"
    fleet.run(2 * EXCHANGE_INTERVAL_SECONDS)
    assert fleet.near.known["config"] == b"1"


# Guards against instances that go on reading, each for itself, after the store
# has served their readers again.
def test_delegates_stop_reading_once_a_reader_is_served_again(fleet):
    for reader in fleet.readers:
        reader.store.is_down = True
    fleet.run(5.0)
    fleet.second.store.is_down = False
    fleet.run(2.0)
    calls = fleet.calls(fleet.delegates)
    fleet.write("1")
    fleet.run(5.0)
    assert fleet.calls(fleet.delegates) == calls
    assert fleet.values(fleet.instances) == [b"1"] * 5


# Guards against a reader that waits for the store, unnoticed, until its call
# times out.
def test_a_call_without_a_response_counts_as_refused():
    calls = StoreCalls()
    calls.begin(0.5, 10.0)
    assert not calls.is_refused(10.5 + OVERDUE_SECONDS)
    assert calls.is_refused(10.6 + OVERDUE_SECONDS)
    calls.end(False, 11.5)
    assert not calls.is_refused(11.5)


# Guards against readers of many records on slow links that seem refused, so
# that all instances read the store in calm times.
def test_a_call_that_returns_many_records_at_once_may_take_longer():
    calls = StoreCalls()
    calls.begin(0.0, 10.0)
    assert not calls.is_refused(10.0 + OVERDUE_UNHELD_SECONDS)
    assert calls.is_refused(10.1 + OVERDUE_UNHELD_SECONDS)


# Guards against hundreds of instances that read the store at one moment.
def test_reads_after_the_loss_of_the_readers_are_spread():
    waits: list[float] = []
    for _ in range(200):
        watch = ReaderWatch()
        watch.hear_collector(True, 10.0)
        wait_seconds = watch.seconds_until_read(10.0)
        assert wait_seconds is not None
        waits.append(wait_seconds)
        watch.hear_collector(True, 10.3)
        assert watch.seconds_until_read(10.3) == 0.0
        assert watch.seconds_until_read(10.3 + HEARD_SECONDS) is None
    assert max(waits) <= SPREAD_SECONDS
    assert max(waits) - min(waits) > SPREAD_SECONDS / 2


# Guards against peers that send a state of a later release.
def test_an_unknown_state_of_a_reader_is_ignored(fleet):
    page = FeedPage(TOPIC, 1, 1, 0.0, (), reader_state=9)
    fleet.near.feed.apply_pages([page], "other", False, fleet.clock.seconds)
    assert fleet.near.follower.seconds_until_read(fleet.clock.seconds) > 0


# Guards against reads of all instances while one reader is served.
def test_a_served_reader_outweighs_a_refused_one():
    watch = ReaderWatch()
    watch.hear_reader("first", ReaderState.REFUSED, 10.0)
    watch.hear_reader("second", ReaderState.SERVED, 10.0)
    assert watch.seconds_until_read(10.0) is None
    assert watch.are_all_refused(None, 10.0) is False
    watch.hear_reader("second", ReaderState.NO_READER, 10.1)
    assert watch.are_all_refused(None, 10.1)
    assert not watch.are_all_refused(False, 10.1)
