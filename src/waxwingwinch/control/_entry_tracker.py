"""Heartbeats of the cell's entries, as received by the fleet duty's holder."""

import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.decisions import DemandForecaster, WorkForecast
from waxwingwinch.membership import Heartbeat
from waxwingwinch.peers import PeerIdentity

#: Interval of heartbeats (1 s) plus an allowance for their delivery (1 s).
HEARTBEAT_MARGIN_SECONDS = 2.0
#: Entries that are silent for longer count as gone.
ENTRY_EXPIRY_SECONDS = 120.0


@frozen
class _ReceivedHeartbeat:
    """The latest heartbeat of an entry with the time of its receipt."""

    heartbeat: Heartbeat
    received_seconds: float


@frozen
class DrainConfirmation:
    """
    Numbers of entries by their progress with a drain.

    :param confirmed: Entries that have read the drain and have no work at
        the upstream.
    :param silent: Entries that became silent without having confirmed and
        don't count as gone yet.
    :param pending: Other entries, which hold the drain up.
    """

    confirmed: int
    silent: int
    pending: int


class EntryTracker:
    """
    Keeps the latest heartbeat of each entry and forecasts from all demand.

    :param now: Source of the present time for the handler.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._latest_heartbeats: dict[InstanceId, _ReceivedHeartbeat] = {}
        self._forecaster = DemandForecaster()
        self._lock = threading.Lock()

    def handle(self, peer: PeerIdentity, heartbeat: Heartbeat) -> None:
        """
        Record a heartbeat received over a peer link.

        :param peer: The sender.
        :param heartbeat: The received heartbeat.
        """
        self.record_heartbeat(heartbeat, self._now())

    def record_heartbeat(self, heartbeat: Heartbeat, now_seconds: float) -> None:
        """
        Record a heartbeat.

        :param heartbeat: The received heartbeat.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._latest_heartbeats[heartbeat.instance_id] = _ReceivedHeartbeat(
                heartbeat, now_seconds
            )
            for sample in heartbeat.demand:
                self._forecaster.add(sample, now_seconds)

    def forecast(
        self, horizon_seconds: float, now_seconds: float
    ) -> tuple[WorkForecast, ...]:
        """Return the expected work of each model."""
        with self._lock:
            return self._forecaster.forecast(horizon_seconds, now_seconds)

    def is_empty(self) -> bool:
        """Return True until the first heartbeat is received."""
        return not self._latest_heartbeats

    def drain_confirmation(
        self,
        upstream_id: UpstreamId,
        fleet_offset: int,
        silence_seconds: float,
        now_seconds: float,
    ) -> DrainConfirmation:
        """
        Count the entries by their progress with a drain.

        An entry that is silent for longer than ``silence_seconds`` sends no
        work to the upstream: it reads the drain from the log, learns of it
        from its peers, or is stale and sends no work at all.

        :param upstream_id: The drained upstream.
        :param fleet_offset: Entries at this offset of the fleet stream have
            read the drain.
        :param silence_seconds: Longest time for which a silent entry may
            still send work to the upstream.
        :param now_seconds: Monotonic time.
        """
        confirmed = silent = pending = 0
        with self._lock:
            for received in self._latest_heartbeats.values():
                age_seconds = now_seconds - received.received_seconds
                if _has_confirmed(received.heartbeat, upstream_id, fleet_offset):
                    confirmed += 1
                elif age_seconds > silence_seconds:
                    silent += age_seconds < ENTRY_EXPIRY_SECONDS
                else:
                    pending += 1
        return DrainConfirmation(confirmed, silent, pending)


def _has_confirmed(
    heartbeat: Heartbeat, upstream_id: UpstreamId, fleet_offset: int
) -> bool:
    if heartbeat.fleet_offset < fleet_offset:
        return False
    return not any(
        count.upstream_id == upstream_id and count.requests > 0
        for count in heartbeat.in_flight
    )
