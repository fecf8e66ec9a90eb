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
    reader: Any = None

    def dial(self, address):
        [member] = [one for one in MEMBERS if one.peer_address == address]
        return FakeLink(self, member)

    def request(self, number):
        self.numbers.append(number)
        return ExchangeRequest(number, False)

    def handle_reply(self, reply, member, link):
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

    world: ReaderHarness
    member: Any

    async def request(self, body, timeout_seconds):
        world = self.world
        world.asked.append(self.member)
        if len(world.asked) > EXCHANGES:
            raise ExchangesDone
        if world.on_exchange is not None:
            world.on_exchange()
        world.clock.seconds += 0.01
        if self.member in world.down:
            world.clock.seconds += timeout_seconds
            raise PeerUnavailable("no reply")
        return ExchangeReply(len(world.asked), True, ())

    def stop(self):
        """Do nothing, as no connection is open."""


def test_the_first_suitable_instance_is_retained(monkeypatch):
    world = ReaderHarness(down={FIRST})
    assert set(world.run(monkeypatch)[1:]) == {SECOND}
    assert world.numbers[:4] == [0, 0, 2, 3]


def test_an_instance_that_is_no_collector_is_replaced_at_once(monkeypatch):
    """The former collector is back while another instance is the collector."""
    world = ReaderHarness(qualities={FIRST: ReplyQuality.NOT_COLLECTOR})
    asked = world.run(monkeypatch)
    assert asked[:2] == [FIRST, SECOND]
    assert set(asked[1:]) == {SECOND, FIRST}


def test_an_instance_with_low_coverage_is_replaced_after_a_grace_period(monkeypatch):
    """The collector is partitioned from most of the other instances."""
    world = ReaderHarness(qualities={FIRST: ReplyQuality.LOW_COVERAGE})
    asked = world.run(monkeypatch)
    assert asked[:3] == [FIRST] * 3
    assert SECOND in asked


def test_reader_fails_back_once_the_first_instance_is_alive(monkeypatch):
    world = ReaderHarness(down={FIRST})

    def heal():
        if world.clock.seconds > 100.0 + 1.5 * FAILBACK_SECONDS:
            world.down.clear()

    world.on_exchange = heal
    asked = world.run(monkeypatch)
    assert SECOND in asked
    assert asked[-1] == FIRST
    before_end = asked[-10:]
    assert set(before_end) == {FIRST}


def test_time_of_the_last_good_reply_is_recorded(monkeypatch):
    """No instance of the cell can be reached."""
    world = ReaderHarness(down={*MEMBERS})
    world.run(monkeypatch)
    assert world.reader.last_good_seconds == 100.0
    assert set(world.asked) == {*MEMBERS}


def test_candidates_may_change_during_the_exchanges(monkeypatch):
    world = ReaderHarness()

    def change():
        if len(world.asked) == 5:
            world.reader.set_candidates((SECOND, THIRD))

    world.on_exchange = change
    asked = world.run(monkeypatch)
    assert asked[4] == FIRST
    assert set(asked[5:]) == {SECOND}
