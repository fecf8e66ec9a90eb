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
from waxwingwinch.membership import Heartbeat, HeartbeatTable, PeerMesh
from waxwingwinch.peers import PeerIdentity, PeerLink

#: How long a peer may take to send the withdrawals that are missing here.
EXCHANGE_TIMEOUT_SECONDS = 1.0
#: Age of the last read of the log up to which it is waited for.
LOG_AGE_SECONDS = 1.5


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
            fleet_offset=self._fleet.directive_offset(),
            draining=self._roster.is_draining,
            in_flight=self._demand.in_flight(),
            demand=self._demand.take_demand(now_seconds),
            leaving=self._fleet.leaving(),
            incarnation=self._incarnation,
        )


class HeartbeatReceiver:
    """
    Handles the heartbeats of other entries.

    A heartbeat keeps this instance fresh only if everything that its sender
    knows of withdrawals and configuration is known here as well.

    :param clock: Source of the present time.
    :param table: Where heartbeats are kept.
    :param mesh: Links to the senders.
    :param configuration: The configuration of this process.
    :param fleet: Learns of leaving upstreams.
    :param peer_work: Learns of the others' work.
    """

    def __init__(
        self,
        clock: Clock,
        table: HeartbeatTable,
        mesh: PeerMesh,
        configuration: ConfigurationService,
        fleet: FleetObserver,
        peer_work: PeerWork,
    ) -> None:
        self._clock = clock
        self._table = table
        self._mesh = mesh
        self._configuration = configuration
        self._fleet = fleet
        self._peer_work = peer_work

    def handle(self, peer: PeerIdentity, heartbeat: Heartbeat) -> None:
        """
        Take in one heartbeat.

        :param peer: Who sent it.
        :param heartbeat: The heartbeat.
        """
        now_seconds = self._clock.now_seconds()
        self._peer_work.observe(heartbeat.instance_id, heartbeat.in_flight, now_seconds)
        self._fleet.note_leaving(heartbeat.leaving, now_seconds)
        if self._is_covered(peer, heartbeat):
            self._table.note(heartbeat, now_seconds)

    def _is_covered(self, peer: PeerIdentity, heartbeat: Heartbeat) -> bool:
        """Fetch what the sender knows more of; False if that failed."""
        knows_withdrawals = (
            heartbeat.withdrawals_digest == self._configuration.withdrawals_digest()
        )
        version = self._configuration.current().version
        knows_version = heartbeat.configuration_version <= version
        if knows_withdrawals and (knows_version or self._reads_log()):
            return True
        link = self._link_to(peer)
        if link is None:
            return False
        if not knows_withdrawals and not self._exchange(link):
            return False
        return knows_version or adopt_from_peers(self._configuration, [link])

    def _reads_log(self) -> bool:
        """Tell whether a newer version is about to come from the log."""
        caught_up_seconds = self._configuration.follower.caught_up_seconds
        if caught_up_seconds is None:
            return False
        age_seconds = self._clock.now_seconds() - caught_up_seconds
        return age_seconds < LOG_AGE_SECONDS

    def _link_to(self, peer: PeerIdentity) -> PeerLink | None:
        for link in self._mesh.links():
            identity = link.peer
            if identity is not None and identity.instance_id == peer.instance_id:
                return link
        return None

    def _exchange(self, link: PeerLink) -> bool:
        key_ids = tuple(sorted(self._configuration.withdrawn_key_ids()))
        try:
            reply = link.request(WithdrawalExchange(key_ids), EXCHANGE_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return False
        if not isinstance(reply, WithdrawalNotice):
            return False
        self._configuration.merge_withdrawals(reply.key_ids)
        return True
