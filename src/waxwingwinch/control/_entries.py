"""What the entries of the cell tell the holder of the fleet duty."""

import threading
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.decisions import DemandForecaster, WorkForecast
from waxwingwinch.membership import Heartbeat
from waxwingwinch.peers import PeerIdentity

#: Heartbeats come each second; one more for their way.
HEARTBEAT_WAIT_SECONDS = 2.0
#: Entries silent for longer are counted as gone.
FORGET_SECONDS = 120.0


@frozen
class _Heard:
    """The newest heartbeat of an entry and when it came."""

    heartbeat: Heartbeat
    heard_seconds: float


@frozen
class DrainConfirmation:
    """
    How far the entries are with a drain.

    :param confirmed: Entries that know it and have no work there.
    :param silent: Entries lately silent without having confirmed.
    :param open_count: Other entries, which hold the drain up.
    """

    confirmed: int
    silent: int
    open_count: int


class EntryBook:
    """
    Keeps the newest heartbeat of each entry, and the demand in all of them.

    :param now: Source of the present time for the handler.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heard: dict[InstanceId, _Heard] = {}
        self._forecaster = DemandForecaster()
        self._lock = threading.Lock()

    def handle(self, peer: PeerIdentity, heartbeat: Heartbeat) -> None:
        """
        Take in a heartbeat from a peer link.

        :param peer: Who sent it.
        :param heartbeat: As received.
        """
        self.note(heartbeat, self._now())

    def note(self, heartbeat: Heartbeat, now_seconds: float) -> None:
        """
        Take in a heartbeat.

        :param heartbeat: As received.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            self._heard[heartbeat.instance_id] = _Heard(heartbeat, now_seconds)
            for sample in heartbeat.demand:
                self._forecaster.add(sample, now_seconds)

    def forecast(
        self, horizon_seconds: float, now_seconds: float
    ) -> tuple[WorkForecast, ...]:
        """Return the expected work by model."""
        with self._lock:
            return self._forecaster.forecast(horizon_seconds, now_seconds)

    def is_empty(self) -> bool:
        """Tell whether no entry was heard yet."""
        return not self._heard

    def confirmation(
        self,
        upstream_id: UpstreamId,
        fleet_offset: int,
        silence_seconds: float,
        now_seconds: float,
    ) -> DrainConfirmation:
        """
        Tell how far the entries are with a drain.

        An entry silent for longer than the bound either reads the log, or
        hears from its peers what is drained, or is stale and gives no work.

        :param upstream_id: The drained upstream.
        :param fleet_offset: Offset that shows the drain.
        :param silence_seconds: How long a silent entry may give work.
        :param now_seconds: Monotonic time.
        """
        confirmed = silent = open_count = 0
        with self._lock:
            for heard in self._heard.values():
                age_seconds = now_seconds - heard.heard_seconds
                if _is_done(heard.heartbeat, upstream_id, fleet_offset):
                    confirmed += 1
                elif age_seconds > silence_seconds:
                    silent += age_seconds < FORGET_SECONDS
                else:
                    open_count += 1
        return DrainConfirmation(confirmed, silent, open_count)


def _is_done(heartbeat: Heartbeat, upstream_id: UpstreamId, fleet_offset: int) -> bool:
    if heartbeat.fleet_offset < fleet_offset:
        return False
    return not any(
        count.upstream_id == upstream_id and count.requests > 0
        for count in heartbeat.in_flight
    )
