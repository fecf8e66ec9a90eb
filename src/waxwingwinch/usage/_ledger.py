"""Counting at an entry, with copies at two others."""

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
from waxwingwinch.usage._rows import CounterName, UsageRow, counts_of

#: Interval of the pushes; a killed process loses at most as much usage.
PUSH_INTERVAL_SECONDS = 1.0
#: How long one push may take.
PUSH_TIMEOUT_SECONDS = 1.0
#: Number of processes that keep copies.
COPY_COUNT = 2
#: Most counters in one message.
MAX_ROWS = 2_000


class UsageLink(Protocol):
    """A link to another process, such as a :class:`PeerLink`."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a request and return the reply."""


@frozen
class UsagePeer:
    """
    An entry process that can be asked.

    :param instance_id: Its instance.
    :param zone: Its availability zone.
    :param link: The link to it.
    """

    instance_id: InstanceId
    zone: ZoneName
    link: UsageLink


class EntryUsageLedger:
    """
    Adds up usage by window and keeps copies of it elsewhere.

    :param source: This process.
    :param zone: Its availability zone.
    :param clock: Source of the present time.
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
        self._own = Counters()
        self._kept = Counters()
        self._pushed: dict[InstanceId, int] = {}
        self._is_copied = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="usage-push", daemon=True
        )

    def start(self) -> None:
        """Start pushing."""
        self._thread.start()

    def stop(self) -> None:
        """Hand all counters over and end the thread."""
        self._stopping.set()
        self._thread.join()
        for peer in self._copy_holders():
            self._hand_over(peer)

    def health(self) -> Health:
        """Return ``DEGRADED`` while there is no copy of the newest usage."""
        return Health.HEALTHY if self._is_copied else Health.DEGRADED

    def add(self, delta: UsageDelta, wall_seconds: float) -> None:
        """
        Count.

        :param delta: What to add.
        :param wall_seconds: Unix time, which chooses the window.
        """
        length_seconds = self._configuration().defaults.usage_window_seconds
        start_seconds = int(wall_seconds // length_seconds) * length_seconds
        name = CounterName(self._source, start_seconds, delta.customer_id)
        self._own.add(name, counts_of(delta))

    def handle_push(self, _peer: PeerIdentity, push: UsagePush) -> None:
        """
        Keep counters of another process.

        :param push: The counters.
        """
        self._kept.merge(push.rows)

    def handle_request(self, _peer: PeerIdentity, request: UsageRequest) -> UsageReply:
        """
        Return own and kept counters.

        :param request: Which windows.
        """
        bounds = (request.from_seconds, request.before_seconds)
        return UsageReply(self._own.rows(*bounds) + self._kept.rows(*bounds))

    def push_once(self) -> None:
        """Send what is new to those that keep copies."""
        holders = self._copy_holders()
        self._is_copied = bool(holders)
        for peer in holders:
            version, rows = self._own.changes(self._pushed.get(peer.instance_id, 0))
            if _send(peer, rows):
                self._pushed[peer.instance_id] = version
            else:
                self._is_copied = False
        names = {peer.instance_id for peer in holders}
        # A holder that was away may have been replaced and gets all again.
        for instance_id in set(self._pushed) - names:
            del self._pushed[instance_id]

    def _run(self) -> None:
        while not self._stopping.wait(PUSH_INTERVAL_SECONDS):
            self.push_once()
            wall_seconds = self._clock.wall_seconds()
            self._own.drop_before(wall_seconds)
            self._kept.drop_before(wall_seconds)

    def _hand_over(self, peer: UsagePeer) -> None:
        _, own = self._own.changes(self._pushed.get(peer.instance_id, 0))
        _, kept = self._kept.changes(0)
        _send(peer, own + kept)

    def _copy_holders(self) -> list[UsagePeer]:
        """Choose entries of other zones, and of this one if there is none."""
        peers = {peer.instance_id: peer for peer in self._peers()}
        others = [peer for peer in peers.values() if peer.zone != self._zone]
        # The choice is stable while the same entries live.
        key = CustomerId(self._source.instance_id)
        chosen = home_instances(key, others or peers.values(), COPY_COUNT)
        return [peers[instance_id] for instance_id in chosen]


def _send(peer: UsagePeer, rows: tuple[UsageRow, ...]) -> bool:
    """Push counters in parts; return whether all were acknowledged."""
    for first in range(0, len(rows), MAX_ROWS):
        push = UsagePush(rows[first : first + MAX_ROWS])
        try:
            peer.link.request(push, PUSH_TIMEOUT_SECONDS)
        except (PeerUnavailable, MalformedMessage):
            return False
    return True
