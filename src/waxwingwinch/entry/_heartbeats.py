"""Making this entry's heartbeat and acting on those of others."""

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.configuration import WithdrawalExchange, WithdrawalNotice
from waxwingwinch.configuration.service import ConfigurationService, adopt_from_peers
from waxwingwinch.contracts import DemandSource
from waxwingwinch.entry._in_flight import PeerWork
from waxwingwinch.entry._peers import EntryRoster
from waxwingwinch.fleet import FleetObserver
from waxwingwinch.kernel import Clock
from waxwingwinch.membership import Heartbeat, HeartbeatReply, HeartbeatTable
from waxwingwinch.peers import PeerIdentity, PeerLink

#: How long a peer may take to send the withdrawals that are missing here.
EXCHANGE_TIMEOUT_SECONDS = 1.0


class HeartbeatMaker:
    """
    Builds the heartbeats of this entry.

    :param identity: Who this process is.
    :param entry_address: Where it serves callers.
    :param incarnation: Unique name of the process start.
    :param configuration: The configuration in force.
    :param fleet: The upstreams.
    :param demand: Work and demand.
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

    def make(self, sequence: int, now_seconds: float) -> Heartbeat:
        """
        Build one heartbeat.

        :param sequence: Its number.
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


class HeartbeatExchange:
    """
    Answers the heartbeats of other entries and takes their replies.

    A reply keeps this instance fresh only if everything that its sender
    knows of withdrawals and configuration is known here as well.

    :param clock: Source of the present time.
    :param table: Where heartbeats and confirmations are kept.
    :param configuration: The configuration of this process.
    :param fleet: Learns of leaving upstreams.
    :param peer_work: Learns of the others' work.
    """

    def __init__(
        self,
        clock: Clock,
        table: HeartbeatTable,
        configuration: ConfigurationService,
        fleet: FleetObserver,
        peer_work: PeerWork,
    ) -> None:
        self._clock = clock
        self._table = table
        self._configuration = configuration
        self._fleet = fleet
        self._peer_work = peer_work

    def handle(self, peer: PeerIdentity, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Take in one heartbeat.

        :param peer: Who sent it.
        :param heartbeat: The heartbeat.
        """
        now_seconds = self._clock.now_seconds()
        self._table.note(heartbeat, now_seconds)
        self._peer_work.observe(heartbeat.instance_id, heartbeat.in_flight, now_seconds)
        self._fleet.record_leaving(heartbeat.leaving, now_seconds)
        return HeartbeatReply(
            self._configuration.current().version,
            self._configuration.withdrawals_digest(),
        )

    def take_reply(
        self,
        peer: PeerIdentity,
        link: PeerLink,
        reply: HeartbeatReply,
        sent_seconds: float,
    ) -> None:
        """
        Take the reply to an own heartbeat.

        :param peer: Who replied.
        :param link: The link to it.
        :param reply: The reply.
        :param sent_seconds: Monotonic time before the heartbeat was sent.
        """
        if self._learn(link, reply):
            self._table.confirm(peer.instance_id, sent_seconds)

    def _learn(self, link: PeerLink, reply: HeartbeatReply) -> bool:
        """Fetch what the peer knows more of; False if that failed."""
        known_digest = self._configuration.withdrawals_digest()
        if reply.withdrawals_digest != known_digest and not self._exchange(link):
            return False
        if reply.configuration_version <= self._configuration.current().version:
            return True
        return adopt_from_peers(self._configuration, [link])

    def _exchange(self, link: PeerLink) -> bool:
        key_ids = tuple(sorted(self._configuration.withdrawn_key_ids()))
        try:
            answer = link.request(WithdrawalExchange(key_ids), EXCHANGE_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return False
        if not isinstance(answer, WithdrawalNotice):
            return False
        self._configuration.merge_withdrawals(answer.key_ids)
        return True
