"""The entries of the cell, for withdrawals, discovery and operators."""

from concurrent.futures import ThreadPoolExecutor

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.configuration import WithdrawalConfirmation, WithdrawalNotice
from waxwingwinch.configuration.service import ConfigurationService
from waxwingwinch.entry._discovery import KnownEntry
from waxwingwinch.membership import HeartbeatTable, InstanceDirectory, PeerMesh
from waxwingwinch.operators_api import InstanceView
from waxwingwinch.peers import PeerLink

#: Maximum number of withdrawal notices that await confirmation at a time.
MAX_CONCURRENT_NOTICES = 16


class WithdrawalBroadcaster:
    """
    Sends withdrawals of keys to the other entries.

    :param mesh: The links to the other entries.
    :param expected_instances: Number of instances that the cell should have.
    """

    def __init__(self, mesh: PeerMesh, expected_instances: int) -> None:
        self._mesh = mesh
        self._expected_instances = expected_instances
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_NOTICES, "withdrawal-notice")

    def expected_instances(self) -> int:
        """Return the number of instances of the cell, this one included."""
        return self._expected_instances

    def broadcast(
        self, notice: WithdrawalNotice, timeout_seconds: float
    ) -> frozenset[InstanceId]:
        """
        Send a notice to all other entries concurrently.

        :param notice: The notice.
        :param timeout_seconds: How long to wait for confirmations.
        :returns: The instances that confirmed in time.
        """

        def confirm(link: PeerLink) -> InstanceId | None:
            return _confirm(link, notice, timeout_seconds)

        confirmations = self._pool.map(confirm, self._mesh.links())
        return frozenset(answer for answer in confirmations if answer is not None)


def _confirm(
    link: PeerLink, notice: WithdrawalNotice, timeout_seconds: float
) -> InstanceId | None:
    peer = link.peer
    if peer is None:
        return None
    try:
        reply = link.request(notice, timeout_seconds)
    except (PeerUnavailable, MalformedMessage):
        return None
    # Meanwhile, the link may have reconnected to another process.
    if link.peer != peer or not isinstance(reply, WithdrawalConfirmation):
        return None
    return peer.instance_id


class EntryRoster:
    """
    The entries of the cell, this one included.

    :param instance_id: This instance.
    :param zone: Its availability zone.
    :param entry_address: Address at which it serves callers.
    :param expected_instances: Number of instances that the cell should have.
    :param heartbeats: The last heartbeats of the other entries.
    :param directory: The platform's instance list.
    :param configuration: The configuration of this process.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        zone: ZoneName,
        entry_address: Address,
        expected_instances: int,
        heartbeats: HeartbeatTable,
        directory: InstanceDirectory,
        configuration: ConfigurationService,
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._entry_address = entry_address
        self._expected_instances = expected_instances
        self._heartbeats = heartbeats
        self._directory = directory
        self._configuration = configuration
        #: Set once this instance has begun to drain.
        self.is_draining = False

    def expected_instances(self) -> int:
        """Return the number of instances of the cell, this one included."""
        return self._expected_instances

    def known_entries(self, now_seconds: float) -> tuple[KnownEntry, ...]:
        """
        Return the known entries of the cell; draining ones are marked.

        These are the entries with a recent heartbeat or, while there is none,
        the live ones of the platform's list. This entry is always included.

        :param now_seconds: Monotonic time.
        """
        found = {
            heartbeat.instance_id: KnownEntry(
                heartbeat.instance_id,
                heartbeat.zone,
                heartbeat.entry_address,
                heartbeat.draining,
            )
            for heartbeat in self._heartbeats.alive(now_seconds)
        }
        if not found:
            for row in self._directory.live_instances():
                found[row.instance_id] = KnownEntry(
                    row.instance_id, row.zone, row.entry_address
                )
        found[self._instance_id] = KnownEntry(
            self._instance_id, self._zone, self._entry_address, self.is_draining
        )
        return tuple(found.values())

    def instances(self, now_seconds: float) -> tuple[InstanceView, ...]:
        """
        Return the known instances for operators.

        :param now_seconds: Monotonic time.
        """
        local_view = InstanceView(
            self._instance_id,
            self._zone,
            self._entry_address,
            self._configuration.current().version,
            self._configuration.withdrawals_digest(),
            self.is_draining,
            0.0,
        )
        others = [
            self._view_of(row.instance_id, row.zone, row.entry_address, now_seconds)
            for row in self._directory.instances()
            if row.instance_id != self._instance_id
        ]
        return (local_view, *others)

    def _view_of(
        self,
        instance_id: InstanceId,
        zone: ZoneName,
        entry_address: Address,
        now_seconds: float,
    ) -> InstanceView:
        received = self._heartbeats.find(instance_id)
        if received is None:
            return InstanceView(instance_id, zone, entry_address, 0, b"", False, None)
        heartbeat = received.heartbeat
        return InstanceView(
            instance_id,
            zone,
            entry_address,
            heartbeat.configuration_version,
            heartbeat.withdrawals_digest,
            heartbeat.draining,
            now_seconds - received.received_seconds,
        )
