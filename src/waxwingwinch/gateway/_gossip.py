"""Exchange of reports between the instances of the gateway."""

import asyncio
from collections.abc import Callable, Sequence

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._cell_gossip import CellGossip, ExchangeHandlers
from waxwingwinch.gateway._cells import plan_links
from waxwingwinch.gateway._cluster_log_lines import ConfigurationUnanswered
from waxwingwinch.gateway._limit_messages import PermitReply, PermitRequest
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._permit_links import PermitLinks
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    ConfigurationReply,
    ConfigurationRequest,
    ExchangeReply,
    ExchangeRequest,
    InstanceReport,
    RelayedReport,
    WorkAnnouncement,
)
from waxwingwinch.gateway._report_sender import ReportBroadcaster, ReportSender
from waxwingwinch.gateway._report_table import ReceivedReport, ReportTable, ReportUpdate
from waxwingwinch.gateway._silence import has_cells
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway.feeds import StoreReadMode, ValuePacker
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub, PeerIdentity

#: Interval of the reports. An instance's view of the work of another is at
#: most this old, plus the transit time.
REPORT_INTERVAL_SECONDS = 0.2
#: Interval of the reports in a deployment with cells, where they are sent with
#: the exchanges.
CELL_REPORT_INTERVAL_SECONDS = 0.3
#: Age from which this process's report is renewed before it is passed on, as a
#: fraction of the report interval.
LOCAL_REPORT_AGE_FRACTION = 0.5
#: Delay between a change of the membership and the change of the links, so
#: that many instances that start together cause one change.
RECONCILE_DELAY_SECONDS = 0.1
#: Timeout of a request for a peer's configuration.
CONFIGURATION_TIMEOUT_SECONDS = 1.0
#: Maximum number of peers that are asked for it at the same time. All peers
#: report a new version within one interval, and its copies would share the
#: link of the instance; the second allows for a peer that does not answer.
MAX_CONFIGURATION_FETCHES = 2


@frozen
class GossipHandlers:
    """
    Handlers of messages from peers; called in the hub's thread.

    Except for `put_configuration`, which is called in a thread of a pool.

    :param make_report: Builds a full report of the process.
    :param apply_report: Applies a report, given the monotonic time at which it
        was made.
    :param confirm_unchanged: Records that the reports of instances were
        confirmed without new content.
    :param work_announced: Records work that a peer starts: the peer, the
        engine, and the prefill work as tokens without attention.
    :param configuration_version: Returns the version in force.
    :param current_configuration: Returns the newest known configuration.
    :param put_configuration: Applies a configuration that a peer knows.
    :param permit_requested: Decides whether an instance may send a request to
        an upstream with a limit.
    """

    make_report: Callable[[], InstanceReport]
    apply_report: Callable[[InstanceReport, float], None]
    confirm_unchanged: Callable[[Sequence[ReceivedReport]], None]
    work_announced: Callable[[str, UpstreamId, int], None]
    configuration_version: Callable[[], int]
    current_configuration: Callable[[], ConfigurationReply]
    put_configuration: Callable[[ConfigurationReply], None]
    permit_requested: Callable[[InstanceId, PermitRequest], PermitReply]


@frozen(eq=False)
class _Neighbour:
    """
    A peer to which reports are sent directly.

    :param link: The link to the peer.
    :param sender: Sends reports to the peer.
    """

    link: HubLink
    sender: ReportSender


class Gossip:
    """
    Exchanges reports with all instances, through cells if there are many.

    Without cells, reports are sent directly to every peer. With cells, the
    collectors pass them on. Peers are not selected at random.

    Used in the hub's thread, except for starting, stopping, announcing work
    and the read mode.

    :param members: The instances.
    :param identity: Identity of this process.
    :param secret: Secret shared by all instances of the deployment.
    :param feed: Passes on what instances read from the store.
    :param handlers: Handlers of messages from peers.
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
        self._report_interval_seconds = REPORT_INTERVAL_SECONDS
        self._last_report_seconds: float | None = None
        self._is_reconciling = False
        self._broadcast = ReportBroadcaster()
        self._neighbours: dict[Member, _Neighbour] = {}
        self._fetching_from: set[InstanceId] = set()
        self._packer = ValuePacker()
        self._report_table = ReportTable(members.local_member.instance_id)
        self._hub = PeerHub(
            members.local_member.peer_address, identity, [secret], waits_for_port=True
        )
        exchange_handlers = ExchangeHandlers(
            self._apply_update, self._fetch_if_newer, self._refresh_local_report
        )
        self._cell_gossip = CellGossip(
            self._hub, self._report_table, feed, exchange_handlers, clock
        )
        self._permit_links = PermitLinks(self._hub, self._link_of, clock)
        #: Asks the keeper of a limit for a permit; callable in any thread but
        #: the hub's.
        self.ask_permit = self._permit_links.ask
        self._hub.handle(PermitRequest, self._on_permit_request)
        self._hub.handle(InstanceReport, self._on_report)
        self._hub.handle(WorkAnnouncement, self._on_work_announced)
        self._hub.handle(ConfigurationRequest, self._on_configuration_request)
        self._hub.handle(ExchangeRequest, self._on_exchange_request)

    def start(self) -> None:
        """
        Listen for peers, once the port is free, and dial them.

        :raises OSError: If the peer address cannot be listened at.
        """
        self._hub.start()
        self._members.on_change = lambda: self._hub.call(self._schedule_reconcile)
        self._hub.call(self._start_tasks)

    def stop(self) -> None:
        """Close all links."""
        self._members.on_change = lambda: None
        self._hub.stop()

    def add_secret(self, secret: str) -> None:
        """
        Use another shared secret besides those before.

        :param secret: The secret.
        """
        self._hub.call(self._hub.add_secret, secret)

    def read_mode(self) -> StoreReadMode:
        """Tell which instances read the store; callable in any thread."""
        return self._cell_gossip.read_mode

    def announce(self, upstream_id: UpstreamId, waiting_tokens: int) -> None:
        """
        Announce work to the neighbours ahead of the next report.

        May be called in any thread. Does nothing in a deployment with cells:
        most work there belongs to instances of other cells, whose reports
        arrive with a delay in any case.

        :param upstream_id: The engine.
        :param waiting_tokens: Prefill work, as tokens without attention.
        """
        if self._has_cells:
            return
        own_id = self._members.local_member.instance_id
        announcement = WorkAnnouncement(own_id, upstream_id, waiting_tokens)
        self._hub.call(self._announce, announcement)

    def _start_tasks(self) -> None:
        self._reconcile()
        self._hub.spawn(self._run())

    def _announce(self, announcement: WorkAnnouncement) -> None:
        self._broadcast.announce(announcement, self._senders())

    async def _run(self) -> None:
        while True:
            started_seconds = self._clock.now_seconds()
            if self._has_cells:
                self._refresh_local_report()
                self._cell_gossip.update_collector_role()
            else:
                self._report(started_seconds)
            took_seconds = self._clock.now_seconds() - started_seconds
            await asyncio.sleep(max(self._report_interval_seconds - took_seconds, 0.0))

    def _report(self, now_seconds: float) -> None:
        full_report = self._handlers.make_report()
        self._last_report_seconds = now_seconds
        self._report_table.set_local(full_report, now_seconds)
        self._broadcast.report(full_report, self._senders())

    def _refresh_local_report(self) -> None:
        """Renew this process's report in the table if it is too old."""
        now_seconds = self._clock.now_seconds()
        last_seconds = self._last_report_seconds
        max_age_seconds = LOCAL_REPORT_AGE_FRACTION * self._report_interval_seconds
        if last_seconds is None or now_seconds - last_seconds >= max_age_seconds:
            self._last_report_seconds = now_seconds
            self._report_table.set_local(self._handlers.make_report(), now_seconds)

    def _senders(self) -> list[ReportSender]:
        return [neighbour.sender for neighbour in self._neighbours.values()]

    def _schedule_reconcile(self) -> None:
        if not self._is_reconciling:
            self._is_reconciling = True
            self._hub.spawn(self._reconcile_after_delay())

    async def _reconcile_after_delay(self) -> None:
        await asyncio.sleep(RECONCILE_DELAY_SECONDS)
        self._reconcile()

    def _reconcile(self) -> None:
        self._is_reconciling = False
        others = self._members.others()
        self._has_cells = has_cells(len(others) + 1)
        self._report_interval_seconds = (
            CELL_REPORT_INTERVAL_SECONDS if self._has_cells else REPORT_INTERVAL_SECONDS
        )
        plan = plan_links(self._members.local_member, others)
        for member in self._neighbours.keys() - plan.neighbours:
            self._neighbours.pop(member).link.stop()
        for member in plan.neighbours - self._neighbours.keys():
            link = self._hub.dial(member.peer_address)
            self._neighbours[member] = _Neighbour(link, ReportSender(link))
        self._cell_gossip.apply_plan(plan)

    def _on_report(self, _: PeerIdentity, report: InstanceReport) -> None:
        now_seconds = self._clock.now_seconds()
        changes = ChangeSet(False, (RelayedReport(0.0, report),))
        self._report_table.apply(f"reports {report.instance_id}", changes, now_seconds)
        self._handlers.apply_report(report, now_seconds)
        self._fetch_if_newer(report.instance_id, None)

    def _on_work_announced(
        self, _: PeerIdentity, announcement: WorkAnnouncement
    ) -> None:
        self._handlers.work_announced(
            announcement.instance_id,
            announcement.upstream_id,
            announcement.waiting_tokens,
        )

    def _link_of(self, member: Member) -> HubLink | None:
        neighbour = self._neighbours.get(member)
        return neighbour.link if neighbour is not None else None

    def _on_permit_request(
        self, peer: PeerIdentity, request: PermitRequest
    ) -> PermitReply:
        return self._handlers.permit_requested(peer.instance_id, request)

    def _on_configuration_request(
        self, _: PeerIdentity, request: ConfigurationRequest
    ) -> ConfigurationReply:
        reply = self._handlers.current_configuration()
        if request.accepts_packed and reply.payload:
            return reply.pack(self._packer.pack)
        return reply

    def _on_exchange_request(
        self, peer: PeerIdentity, request: ExchangeRequest
    ) -> ExchangeReply:
        return self._cell_gossip.answer(peer.instance_id, request)

    def _apply_update(self, update: ReportUpdate) -> None:
        for received in update.changed:
            self._handlers.apply_report(received.full_report, received.made_seconds)
        self._handlers.confirm_unchanged(update.unchanged)

    def _fetch_if_newer(self, instance_id: InstanceId, link: HubLink | None) -> None:
        """Fetch the configuration of an instance that has a newer version."""
        report = self._report_table.get_report(instance_id)
        version = self._handlers.configuration_version()
        if report is None or report.configuration_version <= version:
            return
        if (
            instance_id not in self._fetching_from
            and len(self._fetching_from) < MAX_CONFIGURATION_FETCHES
        ):
            self._fetching_from.add(instance_id)
            self._hub.spawn(self._fetch_configuration(instance_id, link))

    async def _fetch_configuration(
        self, instance_id: InstanceId, link: HubLink | None
    ) -> None:
        try:
            reply = await self._request_configuration(instance_id, link)
            # The payload is empty if the peer has no configuration yet.
            if isinstance(reply, ConfigurationReply) and reply.payload:
                # Decoding takes longer than the hub may be held up.
                await asyncio.to_thread(
                    self._handlers.put_configuration, reply.unpack()
                )
        except (PeerUnavailable, MalformedMessage) as error:
            ConfigurationUnanswered(instance_id, str(error)).write()
        finally:
            self._fetching_from.discard(instance_id)

    async def _request_configuration(
        self, instance_id: InstanceId, link: HubLink | None
    ) -> object:
        if link is not None:
            return await link.request(
                ConfigurationRequest(accepts_packed=True),
                CONFIGURATION_TIMEOUT_SECONDS,
            )
        for member in self._members.others():
            if member.instance_id == instance_id:
                temporary_link = self._hub.dial(member.peer_address)
                try:
                    return await temporary_link.request(
                        ConfigurationRequest(accepts_packed=True),
                        CONFIGURATION_TIMEOUT_SECONDS,
                    )
                finally:
                    temporary_link.stop()
        raise PeerUnavailable(
            "no member record of the instance that reported a newer configuration"
        )
