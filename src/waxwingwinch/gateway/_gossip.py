"""Telling the other instances what this one does, and hearing of them."""

import asyncio
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._belief_lines import ConfigurationUnanswered
from waxwingwinch.gateway._cell_reader import CellReader
from waxwingwinch.gateway._cells import Cell, plan_links
from waxwingwinch.gateway._digest_packing import pack_digest
from waxwingwinch.gateway._digests import DigestBook
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._report_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
    DigestRequest,
    InstanceReport,
    PackedDigest,
    WorkBegan,
)
from waxwingwinch.gateway._report_sender import Broadcast, PeerSender
from waxwingwinch.gateway._silence import has_cells
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub, PeerIdentity

#: Interval of the reports. What an instance believes of another's work is
#: at most this old, plus the way.
REPORT_SECONDS = 0.2
#: The same in cells, where the reports of some tens of instances pass through
#: each; work in other cells is known half as well in any case.
CELL_REPORT_SECONDS = 0.4
#: Interval at which the links are compared with the members; a start shares
#: limits with the others only once it hears them.
RECONCILE_SECONDS = 0.1
#: Longest wait for a peer's configuration.
ASK_SECONDS = 1.0


@frozen
class GossipHandlers:
    """
    What the process does with what it hears; called in the hub's thread.

    :param make_report: Makes a whole report of the process.
    :param apply_report: Takes in a report and the monotonic time at which it
        was made; returns True if its sender has a newer configuration.
    :param work_began: Takes in work that a peer begins: the peer, the engine,
        and the prompt tokens that it has to read.
    :param current_configuration: Returns the newest configuration as the
        store holds it.
    :param put_configuration: Takes in a configuration in the same form.
    """

    make_report: Callable[[], InstanceReport]
    apply_report: Callable[[InstanceReport, float], bool]
    work_began: Callable[[str, UpstreamId, int], None]
    current_configuration: Callable[[], bytes]
    put_configuration: Callable[[bytes], None]


@frozen(eq=False)
class _Neighbour:
    """
    An instance of the own cell.

    :param link: The link to it.
    :param sender: Sends it reports.
    """

    link: HubLink
    sender: PeerSender


@frozen
class _LastPlacement:
    """
    The last placement that is known of an instance.

    :param incarnation: Start of the instance.
    :param sequence: Sequence of the placement.
    """

    incarnation: str
    sequence: int


class Gossip:
    """
    Exchanges reports with the neighbours and reads those of other cells.

    All but the start and the announcements happens in the hub's thread.

    :param members: The instances.
    :param identity: Who this process is.
    :param secret: Shared by all instances of the deployment.
    :param handlers: What is done with what is heard.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        members: MemberDirectory,
        identity: PeerIdentity,
        secret: str,
        handlers: GossipHandlers,
        clock: Clock,
    ) -> None:
        self._members = members
        self._handlers = handlers
        self._clock = clock
        self._planned_changes = 0
        self._report_seconds = REPORT_SECONDS
        self._broadcast = Broadcast()
        self._neighbours: dict[Member, _Neighbour] = {}
        self._cells: dict[Cell, CellReader] = {}
        self._book = DigestBook()
        self._placements: dict[InstanceId, _LastPlacement] = {}
        self._fetching_from: set[InstanceId] = set()
        self._hub = PeerHub(members.own.peer_address, identity, [secret])
        self._hub.handle(InstanceReport, self._report_heard)
        self._hub.handle(WorkBegan, self._work_heard)
        self._hub.handle(ConfigurationRequest, self._configuration_asked)
        self._hub.handle(DigestRequest, self._digest_asked)

    def start(self) -> None:
        """
        Serve peers and dial them.

        :raises OSError: If the address for peers can't be listened at.
        """
        self._hub.start()
        self._hub.call(self._begin)

    def stop(self) -> None:
        """Close all links."""
        self._hub.stop()

    def announce(self, upstream_id: UpstreamId, waiting_tokens: int) -> None:
        """
        Tell the neighbours at once of work that begins here.

        May be called in any thread.

        :param upstream_id: The engine.
        :param waiting_tokens: Prompt tokens that it has to read.
        """
        own_id = self._members.own.instance_id
        began = WorkBegan(own_id, upstream_id, waiting_tokens)
        self._hub.call(self._announce, began)

    def _begin(self) -> None:
        self._hub.spawn(self._run())

    def _announce(self, began: WorkBegan) -> None:
        self._broadcast.announce(began, self._senders())

    async def _run(self) -> None:
        due_seconds = self._clock.now_seconds()
        while True:
            self._reconcile()
            now_seconds = self._clock.now_seconds()
            if now_seconds >= due_seconds:
                due_seconds = now_seconds + self._report_seconds
                self._report(now_seconds)
            await asyncio.sleep(RECONCILE_SECONDS)

    def _report(self, now_seconds: float) -> None:
        whole = self._handlers.make_report()
        self._book.put_own(whole, now_seconds)
        self._broadcast.report(whole, self._senders())

    def _senders(self) -> list[PeerSender]:
        return [neighbour.sender for neighbour in self._neighbours.values()]

    def _reconcile(self) -> None:
        changes = self._members.changes
        if changes == self._planned_changes:
            return
        self._planned_changes = changes
        others = self._members.others()
        self._report_seconds = (
            CELL_REPORT_SECONDS if has_cells(len(others) + 1) else REPORT_SECONDS
        )
        plan = plan_links(self._members.own, others)
        for member in self._neighbours.keys() - plan.neighbours:
            self._neighbours.pop(member).link.stop()
        for member in plan.neighbours - self._neighbours.keys():
            link = self._hub.dial(member.peer_address)
            self._neighbours[member] = _Neighbour(link, PeerSender(link))
        for cell in self._cells.keys() - plan.cells.keys():
            self._cells.pop(cell).stop()
        for cell, members in plan.cells.items():
            self._read_cell(cell, members)

    def _read_cell(self, cell: Cell, members: tuple[Member, ...]) -> None:
        known = self._cells.get(cell)
        if known is not None:
            known.follow(members)
            return
        reader = CellReader(
            self._hub,
            cell,
            members,
            self._known_placements,
            self._digest_heard,
            self._clock,
        )
        reader.start()
        self._cells[cell] = reader

    def _report_heard(self, _: PeerIdentity, report: InstanceReport) -> None:
        now_seconds = self._clock.now_seconds()
        self._book.heard(report, now_seconds)
        if self._take(report, now_seconds):
            for member, neighbour in self._neighbours.items():
                if member.instance_id == report.instance_id:
                    self._fetch_configuration(member, neighbour.link)

    def _work_heard(self, _: PeerIdentity, began: WorkBegan) -> None:
        self._handlers.work_began(
            began.instance_id, began.upstream_id, began.waiting_tokens
        )

    def _configuration_asked(
        self, _: PeerIdentity, __: ConfigurationRequest
    ) -> ConfigurationReply:
        return ConfigurationReply(self._handlers.current_configuration())

    def _digest_asked(self, peer: PeerIdentity, request: DigestRequest) -> PackedDigest:
        now_seconds = self._clock.now_seconds()
        return pack_digest(self._book.digest(peer.instance_id, request, now_seconds))

    def _digest_heard(self, digest: Digest, member: Member, link: HubLink) -> None:
        now_seconds = self._clock.now_seconds()
        for relayed in digest.reports:
            report = relayed.report
            if report.instance_id == self._members.own.instance_id:
                continue
            is_newer = self._take(report, now_seconds - relayed.age_seconds)
            if is_newer and report.instance_id == member.instance_id:
                self._fetch_configuration(member, link)

    def _take(self, report: InstanceReport, made_seconds: float) -> bool:
        """Take in a report; tell if its sender has a newer configuration."""
        if report.placements:
            self._placements[report.instance_id] = _LastPlacement(
                report.incarnation, report.placements[-1].sequence
            )
        return self._handlers.apply_report(report, made_seconds)

    def _known_placements(self) -> dict[str, int]:
        return {last.incarnation: last.sequence for last in self._placements.values()}

    def _fetch_configuration(self, member: Member, link: HubLink) -> None:
        if member.instance_id not in self._fetching_from:
            self._fetching_from.add(member.instance_id)
            self._hub.spawn(self._ask_configuration(member, link))

    async def _ask_configuration(self, member: Member, link: HubLink) -> None:
        try:
            reply = await link.request(ConfigurationRequest(), ASK_SECONDS)
        except (PeerUnavailable, MalformedMessage) as error:
            ConfigurationUnanswered(member.instance_id, str(error)).write()
            return
        finally:
            self._fetching_from.discard(member.instance_id)
        if isinstance(reply, ConfigurationReply) and reply.payload:
            self._handlers.put_configuration(reply.payload)
