"""Builds this entry's heartbeats and handles those of other entries."""

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.configuration import WithdrawalExchange, WithdrawalNotice
from waxwingwinch.configuration.service import ConfigurationService, adopt_from_peers
from waxwingwinch.contracts import DemandSource
from waxwingwinch.entry._in_flight import PeerWorkTable
from waxwingwinch.entry._peers import EntryRoster
from waxwingwinch.fleet import FleetObserver
from waxwingwinch.kernel import Clock
from waxwingwinch.membership import Heartbeat, HeartbeatReply, HeartbeatTable
from waxwingwinch.peers import PeerIdentity, PeerLink

#: Time-out of the request for withdrawals that are missing here.
WITHDRAWAL_EXCHANGE_TIMEOUT_SECONDS = 1.0


class HeartbeatBuilder:
    """
    Builds the heartbeats of this entry.

    :param identity: Identity of this process.
    :param entry_address: Address at which it serves callers.
    :param incarnation: Unique id of this run of the process.
    :param configuration: The configuration in force.
    :param fleet: The upstreams and the fleet directives.
    :param demand: Work in progress and demand by model.
    :param roster: Knows whether this entry is draining.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        entry_address: Address,
        incarnation: str,
        configuration: ConfigurationService,
        fleet: FleetObserver,
        demand: DemandSource,
        roster: EntryRoster,
    ) -> None:
        self._identity = identity
        self._entry_address = entry_address
        self._incarnation = incarnation
        self._configuration = configuration
        self._fleet = fleet
        self._demand = demand
        self._roster = roster

    def build(self, sequence: int, now_seconds: float) -> Heartbeat:
        """
        Build one heartbeat.

        :param sequence: Its sequence number.
        :param now_seconds: Monotonic time.
        """
        return Heartbeat(
            instance_id=self._identity.instance_id,
            zone=self._identity.zone,
            entry_address=self._entry_address,
            sequence=sequence,
            configuration_version=self._configuration.current().version,
            withdrawals_digest=self._configuration.withdrawals_digest(),
            fleet_offset=self._fleet.fleet_offset(),
            draining=self._roster.is_draining,
            in_flight=self._demand.in_flight(),
            demand=self._demand.take_demand(now_seconds),
            leaving=self._fleet.leaving(),
            incarnation=self._incarnation,
        )


class HeartbeatHandler:
    """
    Replies to the heartbeats of other entries and handles their replies.

    A reply counts towards freshness (see
    :func:`waxwingwinch.membership.decide_freshness`) only if this instance has
    all the withdrawals and the configuration of the replying peer, or could
    fetch them.

    :param clock: Source of the present time.
    :param table: Stores heartbeats and the times of synchronization.
    :param configuration: The configuration of this process.
    :param fleet: Records the upstreams reported as leaving.
    :param peer_work: Records the work in progress of the peers.
    """

    def __init__(
        self,
        clock: Clock,
        table: HeartbeatTable,
        configuration: ConfigurationService,
        fleet: FleetObserver,
        peer_work: PeerWorkTable,
    ) -> None:
        self._clock = clock
        self._table = table
        self._configuration = configuration
        self._fleet = fleet
        self._peer_work = peer_work

    def handle(self, peer: PeerIdentity, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Handle the heartbeat of a peer and build the reply.

        :param peer: The sender.
        :param heartbeat: The heartbeat.
        """
        now_seconds = self._clock.now_seconds()
        self._table.record_heartbeat(heartbeat, now_seconds)
        self._peer_work.record_report(
            heartbeat.instance_id, heartbeat.in_flight, now_seconds
        )
        self._fleet.record_leaving(heartbeat.leaving, now_seconds)
        return HeartbeatReply(
            self._configuration.current().version,
            self._configuration.withdrawals_digest(),
        )

    def handle_reply(
        self,
        peer: PeerIdentity,
        link: PeerLink,
        reply: HeartbeatReply,
        sent_seconds: float,
    ) -> None:
        """
        Handle the reply to a heartbeat of this entry.

        :param peer: The replying peer.
        :param link: The link to the peer.
        :param reply: The reply.
        :param sent_seconds: Monotonic time before the heartbeat was sent.
        """
        if self._fetch_missing(link, reply):
            self._table.record_synchronization(peer.instance_id, sent_seconds)

    def _fetch_missing(self, link: PeerLink, reply: HeartbeatReply) -> bool:
        """Fetch the peer's newer state; return False if that failed."""
        known_digest = self._configuration.withdrawals_digest()
        if reply.withdrawals_digest != known_digest and not self._exchange_withdrawals(
            link
        ):
            return False
        if reply.configuration_version <= self._configuration.current().version:
            return True
        return adopt_from_peers(self._configuration, [link])

    def _exchange_withdrawals(self, link: PeerLink) -> bool:
        key_ids = tuple(sorted(self._configuration.withdrawn_key_ids()))
        try:
            reply = link.request(
                WithdrawalExchange(key_ids), WITHDRAWAL_EXCHANGE_TIMEOUT_SECONDS
            )
        except (PeerUnavailable, MalformedMessage):
            return False
        if not isinstance(reply, WithdrawalNotice):
            return False
        self._configuration.merge_withdrawals(reply.key_ids)
        return True
