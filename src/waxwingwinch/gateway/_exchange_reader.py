"""Asking one of several instances of a cell, again and again."""

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.gateway._cells import Cell
from waxwingwinch.gateway._cluster_log_lines import CellLost, CellReached
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._report_messages import ExchangeReply, ExchangeRequest
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub

#: Interval of the exchanges. A report takes two of them, and two intervals of
#: change sets, to one who collects elsewhere, and one more to all others;
#: with one lost on the way it is still younger than silence has to be.
EXCHANGE_SECONDS = 0.3
#: Longest wait for a reply, the time to connect included.
EXCHANGE_WAIT_SECONDS = 0.6
#: Time for which an instance that hears little is kept, so that others that
#: are down are not asked for through a new one all the time.
FEW_HEARD_SECONDS = 2.0
#: Time after which one that stands in for another is left for it again.
STAND_IN_SECONDS = 5.0
#: Pause after all were asked in vain.
ALL_FAILED_PAUSE_SECONDS = 1.0


class Verdict(enum.Enum):
    """What a reply is worth."""

    GOOD = "good"
    #: The instance hears few of those that there are.
    FEW_HEARD = "hears few of the others"
    #: The instance hears of the others through one that collects.
    COLLECTS_NOT = "does not collect"


class Exchange(Protocol):
    """What is asked, and what becomes of the replies."""

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Of the last change set that came; 0 for a new link.
        """

    def take(self, reply: ExchangeReply, member: Member, link: HubLink) -> Verdict:
        """
        Take in a reply.

        :param reply: The reply.
        :param member: Who sent it.
        :param link: The link to it.
        :raises MalformedMessage: If it can't be read.
        """


class ExchangeReader:
    """
    Exchanges change sets with the first of some instances that serves.

    It lives in the hub's thread.

    :param hub: Dials the instances.
    :param cell: Their cell.
    :param candidates: The instances in the order in which they are asked.
    :param exchange: Makes requests and takes replies.
    :param is_there: Tells whether an instance was heard lately.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        cell: Cell,
        candidates: tuple[Member, ...],
        exchange: Exchange,
        is_there: Callable[[Member], bool],
        clock: Clock,
    ) -> None:
        self._hub = hub
        self._cell = cell
        self._candidates = candidates
        self._exchange = exchange
        self._is_there = is_there
        self._clock = clock
        #: Monotonic time of the last good reply, or of the start.
        self.served_seconds = clock.now_seconds()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start asking."""
        self._task = self._hub.spawn(self._run())

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    def follow(self, candidates: tuple[Member, ...]) -> None:
        """
        Take in whom to ask from now on.

        :param candidates: The instances in the order in which they are asked.
        """
        self._candidates = candidates

    async def _run(self) -> None:
        place = 0
        while True:
            place = min(place, len(self._candidates) - 1)
            member = self._candidates[place]
            link = self._hub.dial(member.peer_address)
            try:
                has_served = await self._ask_one(member, link)
            finally:
                link.stop()
            place = 0 if has_served else place + 1
            if place >= len(self._candidates):
                place = 0
                await asyncio.sleep(ALL_FAILED_PAUSE_SECONDS)

    async def _ask_one(self, member: Member, link: HubLink) -> bool:
        """Ask one for as long as it serves; tell if the first is next."""
        number = 0
        started_seconds = self._clock.now_seconds()
        is_up = False
        while member in self._candidates:
            asked_seconds = self._clock.now_seconds()
            try:
                reply = await link.request(
                    self._exchange.request(number), EXCHANGE_WAIT_SECONDS
                )
                if not isinstance(reply, ExchangeReply):
                    raise MalformedMessage("expected a reply to an exchange")
                verdict = self._exchange.take(reply, member, link)
            except (PeerUnavailable, MalformedMessage) as error:
                if is_up:
                    self._write_lost(member, str(error))
                return False
            number = reply.number
            now_seconds = self._clock.now_seconds()
            lasted_seconds = now_seconds - started_seconds
            if verdict is Verdict.GOOD:
                self.served_seconds = now_seconds
            elif verdict is Verdict.COLLECTS_NOT or lasted_seconds >= FEW_HEARD_SECONDS:
                self._write_lost(member, verdict.value)
                return False
            if not is_up:
                is_up = True
                self._write_reached(member)
            if lasted_seconds >= STAND_IN_SECONDS and self._stands_in(member):
                return True
            pause_seconds = asked_seconds + EXCHANGE_SECONDS - now_seconds
            await asyncio.sleep(max(pause_seconds, 0.0))
        return True

    def _stands_in(self, member: Member) -> bool:
        """Tell whether one that goes before an instance is there again."""
        place = self._candidates.index(member)
        return any(self._is_there(one) for one in self._candidates[:place])

    def _write_reached(self, member: Member) -> None:
        CellReached(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
        ).write()

    def _write_lost(self, member: Member, reason: str) -> None:
        CellLost(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
            reason=reason,
        ).write()
