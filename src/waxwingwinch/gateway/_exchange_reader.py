"""Periodic exchange with one of several instances of a cell, with failover."""

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

#: Interval of the exchanges. A report takes two of them, plus two intervals of
#: change sets, to reach a collector of another cell, and one more to reach all
#: other instances. With one message lost it still arrives before the silence
#: limit of instances whose reports are relayed.
EXCHANGE_INTERVAL_SECONDS = 0.3
#: Timeout of an exchange, including the time to connect.
EXCHANGE_TIMEOUT_SECONDS = 0.6
#: Time from a request on after which its reply is not used. The ages in it
#: count from its arrival, and a process that was frozen reads it late.
MAX_REPLY_SECONDS = 1.0
#: Time for which an instance with low coverage is retained. Without it,
#: instances that are down would cause constant failover in search of their
#: reports.
LOW_COVERAGE_GRACE_SECONDS = 2.0
#: Minimum time at a candidate before failing back to a preferred one that is
#: alive again.
FAILBACK_SECONDS = 5.0
#: Pause after all candidates failed.
RETRY_PAUSE_SECONDS = 1.0


class ReplyQuality(enum.Enum):
    """Whether the sender of a reply is a suitable source of reports."""

    GOOD = "good"
    #: The instance has recent reports of too few instances.
    LOW_COVERAGE = "hears few of the others"
    #: The instance is not a collector.
    NOT_COLLECTOR = "does not collect"


class Exchange(Protocol):
    """Builds the requests of an exchange and handles its replies."""

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Number of the last change set received; 0 for a new
            link.
        """

    def handle_reply(
        self,
        reply: ExchangeReply,
        member: Member,
        link: HubLink,
        asked_seconds: float,
    ) -> ReplyQuality:
        """
        Apply a reply, and return its quality.

        :param reply: The reply.
        :param member: The instance that sent the reply.
        :param link: The link to that instance.
        :param asked_seconds: Monotonic time at which the request was sent.
        :raises MalformedMessage: If the reply cannot be decoded.
        """


class ExchangeReader:
    """
    Exchanges change sets with the first suitable one of several instances.

    Used in the hub's thread only.

    :param hub: Dials the instances.
    :param cell: The cell of the instances.
    :param candidates: The instances in order of preference.
    :param exchange: Builds requests and handles replies.
    :param is_alive: Tells whether there is a recent report of an instance.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        cell: Cell,
        candidates: tuple[Member, ...],
        exchange: Exchange,
        is_alive: Callable[[Member], bool],
        clock: Clock,
    ) -> None:
        self._hub = hub
        self._cell = cell
        self._candidates = candidates
        self._exchange = exchange
        self._is_alive = is_alive
        self._clock = clock
        #: Monotonic time of the last reply of good quality, or of the
        #: creation.
        self.last_good_seconds = clock.now_seconds()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the exchanges."""
        self._task = self._hub.spawn(self._run())

    def stop(self) -> None:
        """Stop the exchanges."""
        if self._task is not None:
            self._task.cancel()

    def set_candidates(self, candidates: tuple[Member, ...]) -> None:
        """
        Replace the candidates.

        :param candidates: The instances in order of preference.
        """
        self._candidates = candidates

    async def _run(self) -> None:
        index = 0
        while True:
            index = min(index, len(self._candidates) - 1)
            member = self._candidates[index]
            link = self._hub.dial(member.peer_address)
            try:
                should_restart = await self._exchange_with(member, link)
            finally:
                link.stop()
            index = 0 if should_restart else index + 1
            if index >= len(self._candidates):
                index = 0
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _exchange_with(self, member: Member, link: HubLink) -> bool:
        """Exchange with one candidate until it fails or another is preferred.

        Return whether to continue with the first candidate.
        """
        number = 0
        started_seconds = self._clock.now_seconds()
        is_reached = False
        while member in self._candidates:
            sent_seconds = self._clock.now_seconds()
            try:
                reply = await link.request(
                    self._exchange.request(number), EXCHANGE_TIMEOUT_SECONDS
                )
                if not isinstance(reply, ExchangeReply):
                    raise MalformedMessage(
                        "expected an exchange reply, got another message"
                    )
                if self._clock.now_seconds() - sent_seconds > MAX_REPLY_SECONDS:
                    continue
                quality = self._exchange.handle_reply(reply, member, link, sent_seconds)
            except (PeerUnavailable, MalformedMessage) as error:
                if is_reached:
                    self._log_lost(member, str(error))
                return False
            number = reply.number
            now_seconds = self._clock.now_seconds()
            elapsed_seconds = now_seconds - started_seconds
            if quality is ReplyQuality.GOOD:
                self.last_good_seconds = now_seconds
            elif (
                quality is ReplyQuality.NOT_COLLECTOR
                or elapsed_seconds >= LOW_COVERAGE_GRACE_SECONDS
            ):
                self._log_lost(member, quality.value)
                return False
            if not is_reached:
                is_reached = True
                self._log_reached(member)
            if elapsed_seconds >= FAILBACK_SECONDS and self._can_fail_back(member):
                return True
            pause_seconds = sent_seconds + EXCHANGE_INTERVAL_SECONDS - now_seconds
            await asyncio.sleep(max(pause_seconds, 0.0))
        return True

    def _can_fail_back(self, member: Member) -> bool:
        """Tell whether a preferred candidate is alive again."""
        index = self._candidates.index(member)
        return any(self._is_alive(candidate) for candidate in self._candidates[:index])

    def _log_reached(self, member: Member) -> None:
        CellReached(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
        ).write()

    def _log_lost(self, member: Member, reason: str) -> None:
        CellLost(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
            reason=reason,
        ).write()
