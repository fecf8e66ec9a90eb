"""Telling the other instances what this one does, and hearing of them."""

import asyncio
from collections.abc import Callable, Sequence

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._cells import plan_links
from waxwingwinch.gateway._cluster_log_lines import ConfigurationUnanswered
from waxwingwinch.gateway._collecting import Collecting, HearingHandlers
from waxwingwinch.gateway._follower import StoreReading
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._report_book import Heard, ReportBook, Taken
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    ConfigurationReply,
    ConfigurationRequest,
    ExchangeReply,
    ExchangeRequest,
    InstanceReport,
    RelayedReport,
    WorkBegan,
)
from waxwingwinch.gateway._report_sender import Broadcast, PeerSender
from waxwingwinch.gateway._silence import has_cells
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub, PeerIdentity

#: Interval of the reports. What an instance believes of another's work is
#: at most this old, plus the way.
REPORT_SECONDS = 0.2
#: The same with cells, where it is told at the exchanges.
CELL_REPORT_SECONDS = 0.3
#: Part of the interval for which an own report is passed on before a new one
#: is made for somebody who asks.
OWN_REPORT_SHARE = 0.5
#: Pause from a change of the instances until the links follow, so that many
#: that start together are followed at once.
RECONCILE_SECONDS = 0.1
#: Longest wait for a peer's configuration.
ASK_SECONDS = 1.0


@frozen
class GossipHandlers:
    """
    What the process does with what it hears; called in the hub's thread.

    :param make_report: Makes a whole report of the process.
    :param apply_report: Takes in a report and the monotonic time at which it
        was made.
    :param still_there: Takes in that instances have nothing new to tell.
    :param work_began: Takes in work that a peer begins: the peer, the engine,
        and the prompt tokens that it has to read.
    :param configuration_version: Returns the version in force.
    :param current_configuration: Returns the newest configuration as the
        store holds it.
    :param put_configuration: Takes in a configuration in the same form.
    """

    make_report: Callable[[], InstanceReport]
    apply_report: Callable[[InstanceReport, float], None]
    still_there: Callable[[Sequence[Heard]], None]
    work_began: Callable[[str, UpstreamId, int], None]
    configuration_version: Callable[[], int]
    current_configuration: Callable[[], bytes]
    put_configuration: Callable[[bytes], None]


@frozen(eq=False)
class _Neighbour:
    """
    An instance that reports are sent to.

    :param link: The link to it.
    :param sender: Sends it reports.
    """

    link: HubLink
    sender: PeerSender


class Gossip:
    """
    Exchanges reports with all instances, through cells if there are many.

    All but the start and the announcements happens in the hub's thread.

    :param members: The instances.
    :param identity: Who this process is.
    :param secret: Shared by all instances of the deployment.
    :param feed: What was read of the store.
    :param handlers: What is done with what is heard.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        members: MemberDirectory,
        identity: PeerIdentity,
        secret: str,
        feed: StoreFeed,
        handlers: GossipHandlers,
        clock: Clock,
    ) -> None:
        self._members = members
        self._handlers = handlers
        self._clock = clock
        self._has_cells = False
        self._report_seconds = REPORT_SECONDS
        self._reported_seconds: float | None = None
        self._is_reconciling = False
        self._broadcast = Broadcast()
        self._neighbours: dict[Member, _Neighbour] = {}
        self._fetching_from: set[InstanceId] = set()
        self._book = ReportBook(members.own.instance_id)
        self._hub = PeerHub(members.own.peer_address, identity, [secret])
        hearing = HearingHandlers(self._taken, self._check_version, self._refresh_own)
        self._collecting = Collecting(self._hub, self._book, feed, hearing, clock)
        self._hub.handle(InstanceReport, self._report_heard)
        self._hub.handle(WorkBegan, self._work_heard)
        self._hub.handle(ConfigurationRequest, self._configuration_asked)
        self._hub.handle(ExchangeRequest, self._exchange_asked)

    def start(self) -> None:
        """
        Serve peers and dial them.

        :raises OSError: If the address for peers can't be listened at.
        """
        self._hub.start()
        self._members.on_change = lambda: self._hub.call(self._members_changed)
        self._hub.call(self._begin)

    def stop(self) -> None:
        """Close all links."""
        self._members.on_change = lambda: None
        self._hub.stop()

    def reading(self) -> StoreReading:
        """Tell who reads the store; may be called in any thread."""
        return self._collecting.reading

    def announce(self, upstream_id: UpstreamId, waiting_tokens: int) -> None:
        """
        Tell the neighbours at once of work that begins here.

        May be called in any thread. With cells it is left to the reports: most
        of the work is that of instances in other cells in any case.

        :param upstream_id: The engine.
        :param waiting_tokens: Prompt tokens that it has to read.
        """
        if self._has_cells:
            return
        own_id = self._members.own.instance_id
        began = WorkBegan(own_id, upstream_id, waiting_tokens)
        self._hub.call(self._announce, began)

    def _begin(self) -> None:
        self._reconcile()
        self._hub.spawn(self._run())

    def _announce(self, began: WorkBegan) -> None:
        self._broadcast.announce(began, self._senders())

    async def _run(self) -> None:
        while True:
            started_seconds = self._clock.now_seconds()
            if self._has_cells:
                self._refresh_own()
                self._collecting.check()
            else:
                self._report(started_seconds)
            took_seconds = self._clock.now_seconds() - started_seconds
            await asyncio.sleep(max(self._report_seconds - took_seconds, 0.0))

    def _report(self, now_seconds: float) -> None:
        whole = self._handlers.make_report()
        self._reported_seconds = now_seconds
        self._book.put_own(whole, now_seconds)
        self._broadcast.report(whole, self._senders())

    def _refresh_own(self) -> None:
        """Have the book hold an own report that is young enough to be told."""
        now_seconds = self._clock.now_seconds()
        last_seconds = self._reported_seconds
        shortest_seconds = OWN_REPORT_SHARE * self._report_seconds
        if last_seconds is None or now_seconds - last_seconds >= shortest_seconds:
            self._reported_seconds = now_seconds
            self._book.put_own(self._handlers.make_report(), now_seconds)

    def _senders(self) -> list[PeerSender]:
        return [neighbour.sender for neighbour in self._neighbours.values()]

    def _members_changed(self) -> None:
        if not self._is_reconciling:
            self._is_reconciling = True
            self._hub.spawn(self._reconcile_soon())

    async def _reconcile_soon(self) -> None:
        await asyncio.sleep(RECONCILE_SECONDS)
        self._reconcile()

    def _reconcile(self) -> None:
        self._is_reconciling = False
        others = self._members.others()
        self._has_cells = has_cells(len(others) + 1)
        self._report_seconds = (
            CELL_REPORT_SECONDS if self._has_cells else REPORT_SECONDS
        )
        plan = plan_links(self._members.own, others)
        for member in self._neighbours.keys() - plan.neighbours:
            self._neighbours.pop(member).link.stop()
        for member in plan.neighbours - self._neighbours.keys():
            link = self._hub.dial(member.peer_address)
            self._neighbours[member] = _Neighbour(link, PeerSender(link))
        self._collecting.follow(plan)

    def _report_heard(self, _: PeerIdentity, report: InstanceReport) -> None:
        now_seconds = self._clock.now_seconds()
        changes = ChangeSet(False, (RelayedReport(0.0, report),))
        self._book.take(f"reports {report.instance_id}", changes, now_seconds)
        self._handlers.apply_report(report, now_seconds)
        self._check_version(report.instance_id, None)

    def _work_heard(self, _: PeerIdentity, began: WorkBegan) -> None:
        self._handlers.work_began(
            began.instance_id, began.upstream_id, began.waiting_tokens
        )

    def _configuration_asked(
        self, _: PeerIdentity, __: ConfigurationRequest
    ) -> ConfigurationReply:
        return ConfigurationReply(self._handlers.current_configuration())

    def _exchange_asked(
        self, peer: PeerIdentity, request: ExchangeRequest
    ) -> ExchangeReply:
        return self._collecting.answer(peer.instance_id, request)

    def _taken(self, taken: Taken) -> None:
        for heard in taken.changed:
            self._handlers.apply_report(heard.whole, heard.made_seconds)
        self._handlers.still_there(taken.unchanged)

    def _check_version(self, instance_id: InstanceId, link: HubLink | None) -> None:
        """Fetch the configuration of an instance that has a newer one."""
        report = self._book.told_by(instance_id)
        version = self._handlers.configuration_version()
        if report is None or report.configuration_version <= version:
            return
        if instance_id not in self._fetching_from:
            self._fetching_from.add(instance_id)
            self._hub.spawn(self._fetch_configuration(instance_id, link))

    async def _fetch_configuration(
        self, instance_id: InstanceId, link: HubLink | None
    ) -> None:
        try:
            reply = await self._ask_configuration(instance_id, link)
        except (PeerUnavailable, MalformedMessage) as error:
            ConfigurationUnanswered(instance_id, str(error)).write()
            return
        finally:
            self._fetching_from.discard(instance_id)
        if isinstance(reply, ConfigurationReply) and reply.payload:
            self._handlers.put_configuration(reply.payload)

    async def _ask_configuration(
        self, instance_id: InstanceId, link: HubLink | None
    ) -> object:
        if link is not None:
            return await link.request(ConfigurationRequest(), ASK_SECONDS)
        for member in self._members.others():
            if member.instance_id == instance_id:
                dialed = self._hub.dial(member.peer_address)
                try:
                    return await dialed.request(ConfigurationRequest(), ASK_SECONDS)
                finally:
                    dialed.stop()
        raise PeerUnavailable("the instance has no record")
