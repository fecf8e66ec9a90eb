"""Pages with a large configuration, from one instance to another."""

import threading
import zlib

import pytest
from attrs import evolve

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._exchange_reader import (
    EXCHANGE_INTERVAL_SECONDS,
    EXCHANGE_TIMEOUT_SECONDS,
)
from waxwingwinch.gateway._feed_messages import FeedPage
from waxwingwinch.gateway._report_messages import ConfigurationReply
from waxwingwinch.gateway._store import KeyedRecord
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway.feeds import LargePageBudget, unpack_value
from waxwingwinch.gateway.feeds._packing import MAX_VALUE_BYTES
from waxwingwinch.gateway.tests.test_follower import TOPIC, SharedReads
from waxwingwinch.platform.tests.large_configurations import large_configuration

#: The slowest links of instances, 5 Mbit/s.
LINK_BYTES_PER_SECOND = 625_000
#: Readers of a collector in a deployment of 72 instances: the others of its
#: cell, and the collectors of the other cells.
READERS = 16
WAIT_SECONDS = 30.0


class Feeds:
    """The feeds of an instance that reads the store and of another."""

    def __init__(self):
        self.shared = shared = SharedReads()
        self.clock = shared.clock
        self.reader = StoreFeed([shared.reader.follower], self.clock)
        self.other = StoreFeed([shared.other.follower], self.clock)

    def write(self, key, value):
        self.shared.store.put(TOPIC, key, value)
        self.shared.reader.follower.step()

    def pages(self, accepts_packed=True):
        pages = self.reader.pages(self.other.offsets(), accepts_packed)
        return tuple(decode_message(encode_message(page)) for page in pages)


@pytest.fixture
def feeds():
    return Feeds()


def await_applied(feeds, join_threads):
    join_threads(f"apply-{TOPIC}")
    return feeds.shared.other.applied


@pytest.fixture
def join_threads():
    """Return a function that waits for the threads of a name."""

    def join(name):
        for thread in threading.enumerate():
            if thread.name == name:
                thread.join(WAIT_SECONDS)

    return join


# Guards against a page of 2,000 routes that takes longer on a slow link than
# an exchange may, so that it is lost and asked for again and again.
def test_a_page_of_many_routes_arrives_within_an_exchange(feeds, join_threads):
    value = large_configuration()
    feeds.write("first", b"1")
    feeds.write("config", value)
    feeds.write("last", b"2")
    pages = feeds.pages()
    sent_bytes = sum(len(encode_message(page)) for page in pages)
    assert sent_bytes / LINK_BYTES_PER_SECOND < 0.2 * EXCHANGE_TIMEOUT_SECONDS
    feeds.other.apply_pages(pages, "reader", True, feeds.clock.seconds)
    applied = await_applied(feeds, join_threads)
    assert applied == [("first", b"1"), ("config", value), ("last", b"2")]


# Guards against instances of the former release, which can't decompress.
def test_a_peer_that_cannot_decompress_gets_plain_records(feeds, join_threads):
    value = large_configuration(100)
    feeds.write("config", value)
    [page] = feeds.pages(accepts_packed=False)
    assert page.records[0].value == value
    feeds.other.apply_pages([page], "reader", True, feeds.clock.seconds)
    assert await_applied(feeds, join_threads) == [("config", value)]


# Guards against pages that share a slow link, so that all are too late.
def test_large_pages_to_many_readers_are_spread(feeds):
    feeds.write("config", large_configuration())
    served = 0
    for _ in range(4):
        sent_bytes = 0
        for _ in range(READERS - served):
            for page in feeds.pages():
                sent_bytes += len(encode_message(page))
                served += 1
        assert sent_bytes / LINK_BYTES_PER_SECOND < EXCHANGE_TIMEOUT_SECONDS
        feeds.clock.seconds += EXCHANGE_INTERVAL_SECONDS
    assert served == READERS


# Guards against withdrawals and entries that wait behind large pages.
def test_small_pages_are_not_held_back(feeds):
    budget = feeds.reader._budget
    while budget.take(10_000, feeds.clock.seconds):
        pass
    feeds.write("a", b"1")
    assert len(feeds.pages()) == 1


# Guards against a configuration that is never passed on since it is longer
# than what may be sent at once.
def test_a_page_beyond_the_burst_is_sent_in_its_turn():
    budget = LargePageBudget()
    assert budget.take(600_000, 10.0)
    assert not budget.take(600_000, 10.5)
    assert budget.take(600_000, 11.3)


# Guards against a thread that ends, and pages that are refused for good, after
# a peer has sent what can't be decompressed.
def test_a_malformed_page_is_skipped(feeds, join_threads):
    feeds.write("config", large_configuration(100))
    [page] = feeds.pages()
    record = evolve(page.records[0], value=b"x" * 5_000)
    feeds.other.apply_pages(
        [evolve(page, records=(record,))], "reader", True, feeds.clock.seconds
    )
    assert await_applied(feeds, join_threads) == []
    feeds.other.apply_pages([page], "reader", True, feeds.clock.seconds)
    assert len(await_applied(feeds, join_threads)) == 1


@pytest.mark.parametrize(
    "packed", [b"", b"x", zlib.compress(b"x" * 99)[:-4], bytes(MAX_VALUE_BYTES + 1)]
)
def test_malformed_values_are_rejected(packed):
    if len(packed) > MAX_VALUE_BYTES:
        packed = zlib.compress(packed)
    with pytest.raises(MalformedMessage):
        unpack_value(packed)


# Guards against indices that a peer has made up.
def test_an_index_that_is_no_integer_is_rejected():
    page = FeedPage(TOPIC, 0, 1, 0.0, (KeyedRecord("a", b"1", 0),), packed=(True,))
    with pytest.raises(MalformedMessage):
        page.unpack()


# Guards against copies of a version from several peers that take longer than
# the request for it may (1 s).
def test_a_version_that_a_peer_is_asked_for_is_compressed(feeds):
    reply = ConfigurationReply(large_configuration())
    sent = encode_message(reply.pack(feeds.reader._packer.pack))
    assert len(sent) < 0.1 * LINK_BYTES_PER_SECOND
    assert decode_message(sent).unpack() == reply
