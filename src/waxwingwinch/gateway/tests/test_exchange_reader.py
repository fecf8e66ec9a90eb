"""Tests of the exchange with the instances of a cell, without a network."""

import asyncio
from typing import Any

from attrs import define, field

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import ZoneName
from waxwingwinch.gateway._cells import Cell
from waxwingwinch.gateway._exchange_reader import (
    FAILBACK_SECONDS,
    ExchangeReader,
    ReplyQuality,
)
from waxwingwinch.gateway._report_messages import ExchangeReply, ExchangeRequest
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.test_cells import make_members

MEMBERS = FIRST, SECOND, THIRD = make_members(3)
EXCHANGES = 40


class ExchangesDone(Exception):
    """Raised when a test has made its number of exchanges."""


@define
class ReaderHarness:
    """Instances of a cell, some of which are down or unsuitable."""

    down: set[Any] = field(factory=set)
    qualities: dict[Any, ReplyQuality] = field(factory=dict)
    asked: list[Any] = field(factory=list)
    numbers: list[int] = field(factory=list)
    clock: FakeClock = field(factory=FakeClock)
    on_exchange: Any = None
    handled: list[float] = field(factory=list)
    reader: Any = None

    def dial(self, address):
        [member] = [
            candidate for candidate in MEMBERS if candidate.peer_address == address
        ]
        return FakeLink(self, member)

    def request(self, number):
        self.numbers.append(number)
        return ExchangeRequest(number, False)

    def handle_reply(self, reply, member, link, asked_seconds):
        self.handled.append(self.clock.seconds)
        return self.qualities.get(member, ReplyQuality.GOOD)

    def is_alive(self, member):
        return member not in self.down

    def run(self, monkeypatch, candidates=MEMBERS):
        """Make `EXCHANGES` exchanges; return the instances asked."""

        async def sleep(seconds):
            self.clock.seconds += seconds

        monkeypatch.setattr(asyncio, "sleep", sleep)
        hub: Any = self
        self.reader = ExchangeReader(
            hub, Cell(ZoneName("z0"), 0), candidates, self, self.is_alive, self.clock
        )
        try:
            asyncio.run(self.reader._run())
        except ExchangesDone:
            return self.asked


@define
class FakeLink:
    """A link to one of the instances."""

    harness: ReaderHarness
    member: Any

    async def request(self, body, timeout_seconds):
        harness = self.harness
        harness.asked.append(self.member)
        if len(harness.asked) > EXCHANGES:
            raise ExchangesDone
        if harness.on_exchange is not None:
            harness.on_exchange()
        harness.clock.seconds += 0.01
        if self.member in harness.down:
            harness.clock.seconds += timeout_seconds
            raise PeerUnavailable("no reply")
        return ExchangeReply(len(harness.asked), True, ())

    def stop(self):
        """Do nothing, as no connection is open."""


def test_the_first_suitable_instance_is_retained(monkeypatch):
    harness = ReaderHarness(down={FIRST})
    assert set(harness.run(monkeypatch)[1:]) == {SECOND}
    assert harness.numbers[:4] == [0, 0, 2, 3]


def test_an_instance_that_is_no_collector_is_replaced_at_once(monkeypatch):
    """The former collector is back while another instance is the collector."""
    harness = ReaderHarness(qualities={FIRST: ReplyQuality.NOT_COLLECTOR})
    asked = harness.run(monkeypatch)
    assert asked[:2] == [FIRST, SECOND]
    assert set(asked[1:]) == {SECOND, FIRST}


def test_an_instance_with_low_coverage_is_replaced_after_a_grace_period(monkeypatch):
    """The collector is partitioned from most of the other instances."""
    harness = ReaderHarness(qualities={FIRST: ReplyQuality.LOW_COVERAGE})
    asked = harness.run(monkeypatch)
    assert asked[:3] == [FIRST] * 3
    assert SECOND in asked


def test_reader_fails_back_once_the_first_instance_is_alive(monkeypatch):
    harness = ReaderHarness(down={FIRST})

    def heal():
        if harness.clock.seconds > 100.0 + 1.5 * FAILBACK_SECONDS:
            harness.down.clear()

    harness.on_exchange = heal
    asked = harness.run(monkeypatch)
    assert SECOND in asked
    assert asked[-1] == FIRST
    before_end = asked[-10:]
    assert set(before_end) == {FIRST}


def test_time_of_the_last_good_reply_is_recorded(monkeypatch):
    """No instance of the cell can be reached."""
    harness = ReaderHarness(down={*MEMBERS})
    harness.run(monkeypatch)
    assert harness.reader.last_good_seconds == 100.0
    assert set(harness.asked) == {*MEMBERS}


def test_candidates_may_change_during_the_exchanges(monkeypatch):
    harness = ReaderHarness()

    def change():
        if len(harness.asked) == 5:
            harness.reader.set_candidates((SECOND, THIRD))

    harness.on_exchange = change
    asked = harness.run(monkeypatch)
    assert asked[4] == FIRST
    assert set(asked[5:]) == {SECOND}


# Guards against reports of an instance that ended while this process was
# frozen, which seem new since their ages count from the arrival.
def test_a_reply_that_is_read_late_is_not_used(monkeypatch):
    harness = ReaderHarness()
    resumed_seconds = 0.0

    def freeze():
        nonlocal resumed_seconds
        if len(harness.asked) == 5:
            harness.clock.seconds += 10.0
            resumed_seconds = harness.clock.seconds

    harness.on_exchange = freeze
    asked = harness.run(monkeypatch)
    assert set(asked) == {FIRST}
    assert harness.numbers[4:6] == [4, 4]
    assert len(harness.handled) == EXCHANGES - 1
    assert all(abs(at - resumed_seconds - 0.01) > 1e-6 for at in harness.handled)
