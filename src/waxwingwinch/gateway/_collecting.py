"""Hearing of all instances through one that collects for its cell."""

from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._cells import Cell, LinkPlan
from waxwingwinch.gateway._change_log import ChangeLog, ChangeTeller
from waxwingwinch.gateway._change_packing import pack_changes, unpack_changes
from waxwingwinch.gateway._cluster_log_lines import CollectingBegan, CollectingEnded
from waxwingwinch.gateway._exchange_reader import ExchangeReader, Verdict
from waxwingwinch.gateway._follower import StoreReading
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._report_book import Heard, ReportBook, Taken
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    ExchangeReply,
    ExchangeRequest,
)
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub

#: Time without one that collects after which an instance does so itself; two
#: of the cell may be asked in vain meanwhile.
UNSERVED_SECONDS = 1.5
#: Cells whose collectors read the store for all; one may be cut off from it.
READING_CELLS = 2
#: Part of the instances that one who collects has to hear. After a fault that
#: ends most of them at once, those that are left keep to the one they have.
HEARD_SHARE = 0.25
#: The same for one that tells of its cell alone.
CELL_HEARD_SHARE = 0.5


@frozen
class HearingHandlers:
    """
    What is done with what is heard; called in the hub's thread.

    :param taken: Takes in what a change set has brought.
    :param asked: Takes in whose configurations were told, with the link to
        the instance that told; None if there is no such link.
    :param refresh_own: Brings the own report in the book up to date.
    """

    taken: Callable[[Taken], None]
    asked: Callable[[InstanceId, HubLink | None], None]
    refresh_own: Callable[[], None]


class CellExchange:
    """
    Hears of a cell through one of its instances.

    :param collecting: Where what is heard goes.
    :param cell: The cell.
    """

    def __init__(self, collecting: "Collecting", cell: Cell) -> None:
        self._collecting = collecting
        #: Names the way on which reports of the cell come.
        self.way = f"cell {cell}"
        #: Number of its instances.
        self.size = 0

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Of the last change set that came; 0 for a new link.
        """
        positions = self._collecting.feed.positions()
        return ExchangeRequest(number, wants_all=False, positions=positions)

    def take(self, reply: ExchangeReply, member: Member, link: HubLink) -> Verdict:
        """
        Take in a reply.

        :param reply: The reply.
        :param member: Who sent it.
        :param link: The link to it.
        """
        heard = self._collecting.take(self.way, reply, member, link)
        return (
            Verdict.GOOD if heard >= CELL_HEARD_SHARE * self.size else Verdict.FEW_HEARD
        )


class FleetExchange:
    """
    Reports to one that collects for the own cell, and hears of all others.

    :param collecting: Where what is heard goes.
    """

    #: Names the way on which reports of all instances come.
    way = "collector"

    def __init__(self, collecting: "Collecting") -> None:
        self._collecting = collecting
        self._teller = ChangeTeller()
        #: Number of all instances.
        self.size = 0

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Of the last change set that came; 0 for a new link.
        """
        if not number:
            self._teller = ChangeTeller()
        changes = self._collecting.tell_own(self._teller)
        return ExchangeRequest(
            number,
            wants_all=True,
            payload=pack_changes(changes),
            positions=self._collecting.feed.positions(),
        )

    def take(self, reply: ExchangeReply, member: Member, link: HubLink) -> Verdict:
        """
        Take in a reply.

        :param reply: The reply.
        :param member: Who sent it.
        :param link: The link to it.
        """
        heard = self._collecting.take(self.way, reply, member, link)
        if not reply.is_collector:
            return Verdict.COLLECTS_NOT
        return Verdict.GOOD if heard >= HEARD_SHARE * self.size else Verdict.FEW_HEARD


class Collecting:
    """
    The part of an instance in hearing of all others through cells.

    Of the instances of a cell the first that is there collects: the others
    report to it and ask it what is new anywhere, and it asks one instance of
    each other cell what is new there. It lives in the hub's thread.

    :param hub: Dials instances.
    :param book: What was heard.
    :param feed: What was read of the store.
    :param handlers: What is done with what is heard.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        book: ReportBook,
        feed: StoreFeed,
        handlers: HearingHandlers,
        clock: Clock,
    ) -> None:
        #: What was read of the store.
        self.feed = feed
        self._hub = hub
        self._book = book
        self._handlers = handlers
        self._clock = clock
        self._plan: LinkPlan | None = None
        self._askers: set[InstanceId] = set()
        self._fleet_exchange = FleetExchange(self)
        self._superior: ExchangeReader | None = None
        self._readers: dict[Cell, tuple[ExchangeReader, CellExchange]] = {}
        self._log_of_all = ChangeLog(book.recent)
        self._log_of_cell = ChangeLog(self._recent_of_cell)
        #: True if this instance collects for its cell.
        self.is_collector = False

    def follow(self, plan: LinkPlan) -> None:
        """
        Take in which instances there are.

        :param plan: How they hear of one another.
        """
        self._plan = plan
        self._fleet_exchange.size = len(plan.cell_ids) + sum(
            map(len, plan.cells.values())
        )
        if self._superior is not None and not plan.superiors:
            self._superior.stop()
            self._superior = None
            self._book.forget_way(FleetExchange.way)
        elif self._superior is not None:
            self._superior.follow(plan.superiors)
        elif plan.superiors and plan.own_cell is not None:
            self._superior = self._read(
                plan.own_cell, plan.superiors, self._fleet_exchange
            )
        self.check()

    @property
    def reading(self) -> StoreReading:
        """Who reads the store; may be asked in any thread."""
        plan = self._plan
        if plan is None or plan.own_cell is None:
            return StoreReading.ALONE
        first_cells = sorted([plan.own_cell, *plan.cells], key=str)[:READING_CELLS]
        if self.is_collector and plan.own_cell in first_cells:
            return StoreReading.FOR_OTHERS
        return StoreReading.BY_OTHERS

    def check(self) -> None:
        """Begin or end to collect, as it is needed."""
        now_seconds = self._clock.now_seconds()
        superior, plan = self._superior, self._plan
        is_served = (
            superior is not None
            and now_seconds - superior.served_seconds < UNSERVED_SECONDS
        )
        collects = plan is not None and plan.own_cell is not None and not is_served
        if collects != self.is_collector:
            self.is_collector = collects
            line = CollectingBegan if collects else CollectingEnded
            line(str(plan.own_cell) if plan is not None else "").write()
        self._read_cells(plan.cells if plan is not None and collects else {})

    def answer(self, peer_id: InstanceId, request: ExchangeRequest) -> ExchangeReply:
        """
        Answer one that asks what is new.

        :param peer_id: Who asks.
        :param request: What it asks, and tells.
        :raises MalformedMessage: If what it tells can't be read.
        """
        self._handlers.refresh_own()
        now_seconds = self._clock.now_seconds()
        if request.payload:
            self._askers.add(peer_id)
            changes = unpack_changes(request.payload)
            self._handlers.taken(
                self._book.take(_way_of(peer_id), changes, now_seconds)
            )
            self._handlers.asked(peer_id, None)
        log = self._log_of_all if request.wants_all else self._log_of_cell
        number, change_sets = log.since(request.number, now_seconds)
        pages = self.feed.pages(request.positions)
        return ExchangeReply(number, self.is_collector, change_sets, pages)

    def take(
        self, way: str, reply: ExchangeReply, member: Member, link: HubLink
    ) -> int:
        """
        Take in a reply, and return how many instances it tells of.

        :param way: On which it came.
        :param reply: The reply.
        :param member: Who sent it.
        :param link: The link to it.
        :raises MalformedMessage: If it can't be read.
        """
        self.feed.take(reply.pages)
        now_seconds = self._clock.now_seconds()
        for sent in reply.change_sets:
            changes = unpack_changes(sent.payload)
            told_seconds = now_seconds - sent.age_seconds
            self._handlers.taken(self._book.take(way, changes, told_seconds))
        self._handlers.asked(member.instance_id, link)
        return len(self._book.recent_on(way, now_seconds))

    def tell_own(self, teller: ChangeTeller) -> ChangeSet:
        """
        Return what is new here and at those that report here.

        :param teller: Knows what was told before.
        """
        self._handlers.refresh_own()
        now_seconds = self._clock.now_seconds()
        heard = self._book.own()
        for asker_id in list(self._askers):
            reported = self._book.recent_on(_way_of(asker_id), now_seconds)
            if not reported:
                self._askers.discard(asker_id)
            heard += reported
        return teller.tell(heard, now_seconds)

    def _read_cells(self, cells: dict[Cell, tuple[Member, ...]]) -> None:
        for cell in self._readers.keys() - cells.keys():
            reader, exchange = self._readers.pop(cell)
            reader.stop()
            self._book.forget_way(exchange.way)
        for cell, members in cells.items():
            if cell not in self._readers:
                exchange = CellExchange(self, cell)
                self._readers[cell] = self._read(cell, members, exchange), exchange
            reader, exchange = self._readers[cell]
            exchange.size = len(members)
            reader.follow(members)

    def _read(
        self,
        cell: Cell,
        candidates: tuple[Member, ...],
        exchange: CellExchange | FleetExchange,
    ) -> ExchangeReader:
        reader = ExchangeReader(
            self._hub, cell, candidates, exchange, self._is_there, self._clock
        )
        reader.start()
        return reader

    def _is_there(self, member: Member) -> bool:
        return self._book.heard_lately(member.instance_id, self._clock.now_seconds())

    def _recent_of_cell(self, now_seconds: float) -> list[Heard]:
        cell_ids = self._plan.cell_ids if self._plan is not None else frozenset()
        return [
            heard
            for heard in self._book.recent(now_seconds)
            if heard.whole.instance_id in cell_ids
        ]


def _way_of(instance_id: InstanceId) -> str:
    return f"instance {instance_id}"
