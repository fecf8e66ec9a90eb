"""Usage counters of an entry process, replicated to two other entries."""

import threading
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import CustomerId, InstanceId, ProcessId, ZoneName
from waxwingwinch.configuration import Configuration
from waxwingwinch.contracts import UsageDelta
from waxwingwinch.kernel import Clock, Health
from waxwingwinch.peers import PeerIdentity
from waxwingwinch.placement import home_instances
from waxwingwinch.usage._counters import Counters
from waxwingwinch.usage._messages import UsagePush, UsageReply, UsageRequest
from waxwingwinch.usage._rows import CounterName, UsageRow, counts_from_delta

#: Interval between pushes to replicas; a killed process loses at most the
#: usage of one interval.
PUSH_INTERVAL_SECONDS = 1.0
#: Timeout of one push request.
PUSH_TIMEOUT_SECONDS = 1.0
#: Number of processes that hold replicas of the counters.
REPLICA_COUNT = 2
#: Maximum number of counters in one message.
MAX_ROWS_PER_MESSAGE = 2_000


class UsageLink(Protocol):
    """A connection to another process, such as a :class:`PeerLink`."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


@frozen
class UsagePeer:
    """
    An entry process to which requests can be sent.

    :param instance_id: Instance of the process.
    :param zone: Availability zone of the process.
    :param link: The link to the process.
    """

    instance_id: InstanceId
    zone: ZoneName
    link: UsageLink


class EntryUsageLedger:
    """
    Counts usage by window and replicates the counters to other entries.

    :param source: Identity of this process.
    :param zone: Availability zone of this process.
    :param clock: Source of the current time.
    :param configuration: Returns the configuration in force.
    :param peers: Returns the other entries to which links are up.
    """

    def __init__(
        self,
        source: ProcessId,
        zone: ZoneName,
        clock: Clock,
        configuration: Callable[[], Configuration],
        peers: Callable[[], Sequence[UsagePeer]],
    ) -> None:
        self._source = source
        self._zone = zone
        self._clock = clock
        self._configuration = configuration
        self._peers = peers
        self._local = Counters()
        self._replicas = Counters()
        self._pushed_versions: dict[InstanceId, int] = {}
        self._is_replicated = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="usage-push", daemon=True
        )

    def start(self) -> None:
        """Start the thread that pushes counters to the replicas."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and send all counters to the replicas."""
        self._stopping.set()
        self._thread.join()
        for peer in self._replica_peers():
            self._transfer_counters(peer)

    def health(self) -> Health:
        """
        Return ``DEGRADED`` while the newest usage is not fully replicated.

        That is, if a replica peer lacks it or there is no replica peer.
        """
        return Health.HEALTHY if self._is_replicated else Health.DEGRADED

    def add(self, delta: UsageDelta, wall_seconds: float) -> None:
        """
        Add usage to the counter of a customer and window.

        :param delta: The usage to add.
        :param wall_seconds: Unix time that determines the window.
        """
        length_seconds = self._configuration().defaults.usage_window_seconds
        start_seconds = int(wall_seconds // length_seconds) * length_seconds
        name = CounterName(self._source, start_seconds, delta.customer_id)
        self._local.add(name, counts_from_delta(delta))

    def handle_push(self, _peer: PeerIdentity, push: UsagePush) -> None:
        """
        Merge counters received from another process into the replicas.

        :param push: The counters.
        """
        self._replicas.merge(push.rows)

    def handle_request(self, _peer: PeerIdentity, request: UsageRequest) -> UsageReply:
        """
        Return the local counters and the replicas held for other processes.

        :param request: The range of windows.
        """
        bounds = (request.from_seconds, request.before_seconds)
        return UsageReply(self._local.rows(*bounds) + self._replicas.rows(*bounds))

    def push_once(self) -> None:
        """Send counters changed since the last push to each replica peer."""
        replica_peers = self._replica_peers()
        self._is_replicated = bool(replica_peers)
        for peer in replica_peers:
            version, rows = self._local.changes(
                self._pushed_versions.get(peer.instance_id, 0)
            )
            if _send(peer, rows):
                self._pushed_versions[peer.instance_id] = version
            else:
                self._is_replicated = False
        names = {peer.instance_id for peer in replica_peers}
        # A peer that is no longer a replica peer may have been replaced; if it
        # becomes one again, it is sent all counters.
        for instance_id in set(self._pushed_versions) - names:
            del self._pushed_versions[instance_id]

    def _run(self) -> None:
        while not self._stopping.wait(PUSH_INTERVAL_SECONDS):
            self.push_once()
            wall_seconds = self._clock.wall_seconds()
            self._local.remove_expired(wall_seconds)
            self._replicas.remove_expired(wall_seconds)

    def _transfer_counters(self, peer: UsagePeer) -> None:
        _, local_rows = self._local.changes(
            self._pushed_versions.get(peer.instance_id, 0)
        )
        _, replica_rows = self._replicas.changes(0)
        _send(peer, local_rows + replica_rows)

    def _replica_peers(self) -> list[UsagePeer]:
        """Choose entries of other zones, or of this zone if none exist."""
        peers = {peer.instance_id: peer for peer in self._peers()}
        others = [peer for peer in peers.values() if peer.zone != self._zone]
        # The choice is stable as long as the set of entries doesn't change.
        key = CustomerId(self._source.instance_id)
        chosen = home_instances(key, others or peers.values(), REPLICA_COUNT)
        return [peers[instance_id] for instance_id in chosen]


def _send(peer: UsagePeer, rows: tuple[UsageRow, ...]) -> bool:
    """Push counters in batches; return whether all were acknowledged."""
    for first in range(0, len(rows), MAX_ROWS_PER_MESSAGE):
        push = UsagePush(rows[first : first + MAX_ROWS_PER_MESSAGE])
        try:
            peer.link.request(push, PUSH_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return False
    return True
