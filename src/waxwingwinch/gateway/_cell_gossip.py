"""Exchange of reports through collectors in a deployment with cells."""

from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._cells import Cell, LinkPlan
from waxwingwinch.gateway._change_log import ChangeLog, ChangeSetBuilder
from waxwingwinch.gateway._change_packing import pack_changes, unpack_changes
from waxwingwinch.gateway._cluster_log_lines import CollectingBegan, CollectingEnded
from waxwingwinch.gateway._exchange_reader import ExchangeReader, ReplyQuality
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    ExchangeReply,
    ExchangeRequest,
)
from waxwingwinch.gateway._report_table import ReceivedReport, ReportTable, ReportUpdate
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway.feeds import StoreReadMode
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub

#: Time without a working collector after which an instance becomes collector
#: itself. It allows for two instances of the cell that do not answer.
COLLECTOR_TIMEOUT_SECONDS = 1.5
#: Number of cells whose collectors read the store for all instances, so that
#: one of them may lose its connection to the store. The collectors of the
#: other cells take their place if what they pass on is late.
STORE_READING_CELLS = 2
#: Fraction of all instances of which a collector must have recent reports. It
#: is low so that the instances that survive a fault which stops most of them
#: at once keep their collector.
MIN_COVERAGE = 0.25
#: Fraction of a cell's instances of which its reply must contain recent
#: reports.
MIN_CELL_COVERAGE = 0.5


@frozen
class ExchangeHandlers:
    """
    Handlers of received reports; called in the hub's thread.

    :param apply_update: Applies the reports that a change set changed.
    :param on_exchange: Called after each exchange, with the id of the peer,
        which may have a newer configuration, and the link to the peer (None if
        the peer sent the request).
    :param refresh_local_report: Updates this process's report in the table.
    """

    apply_update: Callable[[ReportUpdate], None]
    on_exchange: Callable[[InstanceId, HubLink | None], None]
    refresh_local_report: Callable[[], None]


class CellExchange:
    """
    Exchange with one instance of another cell about that cell.

    :param cell_gossip: Applies the replies.
    :param cell: The other cell.
    """

    def __init__(self, cell_gossip: "CellGossip", cell: Cell) -> None:
        self._cell_gossip = cell_gossip
        #: Channel of the cell's reports.
        self.channel = f"cell {cell}"
        #: Number of the cell's instances.
        self.instance_count = 0

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Number of the last change set received; 0 for a new
            link.
        """
        offsets = self._cell_gossip.feed.offsets()
        return ExchangeRequest(
            number, wants_all=False, offsets=offsets, accepts_packed=True
        )

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
        """
        reported_count = self._cell_gossip.apply_reply(
            self.channel, reply, member, link, asked_seconds
        )
        return (
            ReplyQuality.GOOD
            if reported_count >= MIN_CELL_COVERAGE * self.instance_count
            else ReplyQuality.LOW_COVERAGE
        )


class CollectorExchange:
    """
    Exchange with the collector of this instance's cell about all instances.

    :param cell_gossip: Applies the replies.
    """

    #: Channel of the reports that the collector passes on.
    channel = "collector"

    def __init__(self, cell_gossip: "CellGossip") -> None:
        self._cell_gossip = cell_gossip
        self._builder = ChangeSetBuilder()
        #: Number of all instances.
        self.instance_count = 0

    def request(self, number: int) -> ExchangeRequest:
        """
        Return the next request.

        :param number: Number of the last change set received; 0 for a new
            link.
        """
        if not number:
            self._builder = ChangeSetBuilder()
        changes = self._cell_gossip.build_cell_changes(self._builder)
        return ExchangeRequest(
            number,
            wants_all=True,
            payload=pack_changes(changes),
            offsets=self._cell_gossip.feed.offsets(),
            accepts_packed=True,
        )

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
        """
        reported_count = self._cell_gossip.apply_reply(
            self.channel, reply, member, link, asked_seconds
        )
        if not reply.is_collector:
            return ReplyQuality.NOT_COLLECTOR
        return (
            ReplyQuality.GOOD
            if reported_count >= MIN_COVERAGE * self.instance_count
            else ReplyQuality.LOW_COVERAGE
        )


class CellGossip:
    """
    Exchanges reports with all instances through the collectors of cells.

    The first reachable instance of a cell, by precedence, is its collector.
    The other instances of the cell send it their reports and request the
    changes of all instances. The collector requests the changes of each other
    cell from one instance of that cell. Used in the hub's thread only, except
    for `read_mode`.

    :param hub: Dials instances.
    :param report_table: The received reports.
    :param feed: Passes on what instances read from the store.
    :param handlers: Handlers of received reports.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        report_table: ReportTable,
        feed: StoreFeed,
        handlers: ExchangeHandlers,
        clock: Clock,
    ) -> None:
        #: Passes on what instances read from the store.
        self.feed = feed
        self._hub = hub
        self._report_table = report_table
        self._handlers = handlers
        self._clock = clock
        self._plan: LinkPlan | None = None
        self._reporter_ids: set[InstanceId] = set()
        self._collector_exchange = CollectorExchange(self)
        self._collector_reader: ExchangeReader | None = None
        self._cell_readers: dict[Cell, tuple[ExchangeReader, CellExchange]] = {}
        self._deployment_log = ChangeLog(report_table.recent)
        self._cell_log = ChangeLog(self._recent_in_cell)
        #: True if this instance is the collector of its cell.
        self.is_collector = False

    def apply_plan(self, plan: LinkPlan) -> None:
        """
        Apply a new plan of links after a change of the membership.

        :param plan: The plan.
        """
        self._plan = plan
        self._collector_exchange.instance_count = len(plan.cell_member_ids) + sum(
            map(len, plan.other_cells.values())
        )
        if self._collector_reader is not None and not plan.preferred_collectors:
            self._collector_reader.stop()
            self._collector_reader = None
            self._report_table.drop_channel(CollectorExchange.channel)
        elif self._collector_reader is not None:
            self._collector_reader.set_candidates(plan.preferred_collectors)
        elif plan.preferred_collectors and plan.own_cell is not None:
            self._collector_reader = self._start_reader(
                plan.own_cell, plan.preferred_collectors, self._collector_exchange
            )
        self.update_collector_role()

    @property
    def read_mode(self) -> StoreReadMode:
        """Which instances read the store; may be read in any thread."""
        plan = self._plan
        if plan is None or plan.own_cell is None:
            return StoreReadMode.INDEPENDENT
        if not self.is_collector:
            return StoreReadMode.DELEGATED
        # In different availability zones where there are several.
        cells = sorted(
            [plan.own_cell, *plan.other_cells],
            key=lambda cell: (cell.number, cell.zone),
        )
        if plan.own_cell in cells[:STORE_READING_CELLS]:
            return StoreReadMode.SHARED
        return StoreReadMode.STANDBY

    def update_collector_role(self) -> None:
        """Become collector if the cell has none, else give up that role."""
        now_seconds = self._clock.now_seconds()
        collector_reader, plan = self._collector_reader, self._plan
        has_collector = (
            collector_reader is not None
            and now_seconds - collector_reader.last_good_seconds
            < COLLECTOR_TIMEOUT_SECONDS
        )
        should_collect = (
            plan is not None and plan.own_cell is not None and not has_collector
        )
        if should_collect != self.is_collector:
            self.is_collector = should_collect
            line = CollectingBegan if should_collect else CollectingEnded
            line(str(plan.own_cell) if plan is not None else "").write()
        self._update_cell_readers(
            plan.other_cells if plan is not None and should_collect else {}
        )

    def answer(self, peer_id: InstanceId, request: ExchangeRequest) -> ExchangeReply:
        """
        Answer an exchange request of a peer.

        :param peer_id: The peer.
        :param request: The request; a payload holds reports of the peer.
        :raises MalformedMessage: If the payload cannot be decoded.
        """
        self._handlers.refresh_local_report()
        now_seconds = self._clock.now_seconds()
        if request.payload:
            self._reporter_ids.add(peer_id)
            changes = unpack_changes(request.payload)
            self._handlers.apply_update(
                self._report_table.apply(_channel_of(peer_id), changes, now_seconds)
            )
            self._handlers.on_exchange(peer_id, None)
        log = self._deployment_log if request.wants_all else self._cell_log
        number, change_sets = log.since(request.number, now_seconds)
        pages = self.feed.pages(request.offsets, request.accepts_packed)
        return ExchangeReply(number, self.is_collector, change_sets, pages)

    def apply_reply(
        self,
        channel: str,
        reply: ExchangeReply,
        member: Member,
        link: HubLink,
        asked_seconds: float,
    ) -> int:
        """
        Apply a reply, and return the number of recent reports on its channel.

        :param channel: The channel on which the reply was received.
        :param reply: The reply.
        :param member: The instance that sent the reply.
        :param link: The link to that instance.
        :param asked_seconds: Monotonic time at which the request was sent.
        :raises MalformedMessage: If a change set cannot be decoded.
        """
        is_collector = channel == CollectorExchange.channel and reply.is_collector
        self.feed.apply_pages(
            reply.pages, member.instance_id, is_collector, asked_seconds
        )
        now_seconds = self._clock.now_seconds()
        for sent in reply.change_sets:
            changes = unpack_changes(sent.payload)
            made_seconds = now_seconds - sent.age_seconds
            self._handlers.apply_update(
                self._report_table.apply(channel, changes, made_seconds)
            )
        self._handlers.on_exchange(member.instance_id, link)
        return len(self._report_table.recent_on_channel(channel, now_seconds))

    def build_cell_changes(self, builder: ChangeSetBuilder) -> ChangeSet:
        """
        Return the changes of this instance and the instances reporting to it.

        :param builder: Records what was sent before.
        """
        self._handlers.refresh_local_report()
        now_seconds = self._clock.now_seconds()
        received = self._report_table.local_reports()
        for reporter_id in list(self._reporter_ids):
            reported = self._report_table.recent_on_channel(
                _channel_of(reporter_id), now_seconds
            )
            if not reported:
                self._reporter_ids.discard(reporter_id)
            received += reported
        return builder.build(received, now_seconds)

    def _update_cell_readers(self, cells: dict[Cell, tuple[Member, ...]]) -> None:
        for cell in self._cell_readers.keys() - cells.keys():
            reader, exchange = self._cell_readers.pop(cell)
            reader.stop()
            self._report_table.drop_channel(exchange.channel)
        for cell, members in cells.items():
            if cell not in self._cell_readers:
                exchange = CellExchange(self, cell)
                self._cell_readers[cell] = (
                    self._start_reader(cell, members, exchange),
                    exchange,
                )
            reader, exchange = self._cell_readers[cell]
            exchange.instance_count = len(members)
            reader.set_candidates(members)

    def _start_reader(
        self,
        cell: Cell,
        candidates: tuple[Member, ...],
        exchange: CellExchange | CollectorExchange,
    ) -> ExchangeReader:
        reader = ExchangeReader(
            self._hub, cell, candidates, exchange, self._is_alive, self._clock
        )
        reader.start()
        return reader

    def _is_alive(self, member: Member) -> bool:
        return self._report_table.has_recent_report(
            member.instance_id, self._clock.now_seconds()
        )

    def _recent_in_cell(self, now_seconds: float) -> list[ReceivedReport]:
        cell_member_ids = (
            self._plan.cell_member_ids if self._plan is not None else frozenset()
        )
        return [
            received
            for received in self._report_table.recent(now_seconds)
            if received.full_report.instance_id in cell_member_ids
        ]


# Reports in exchange requests and reports sent directly are deltas to
# different earlier reports of the peer, so each has a channel; see Gossip for
# the other.
def _channel_of(instance_id: InstanceId) -> str:
    return f"instance {instance_id}"
