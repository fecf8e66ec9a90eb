"""Whether a drained upstream is free of work."""

from attrs import define, frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.configuration import Defaults
from waxwingwinch.control._entries import HEARTBEAT_WAIT_SECONDS, EntryBook
from waxwingwinch.fleet import FleetObserver


@frozen
class DrainRunning:
    """Work may still be there, or still be given."""


@frozen
class DrainDone:
    """The upstream has no work and gets none."""


@frozen
class DrainOverdue:
    """It took longer than ``drain_seconds``; work is never cut."""


DrainProgress = DrainRunning | DrainDone | DrainOverdue


@define
class _Watch:
    """A drain as this term knows it."""

    since_seconds: float
    fleet_offset: int
    #: Since when all entries were done; None while one isn't.
    quiet_seconds: float | None = None


class DrainWatch:
    """
    Follows the drains of one planner through one term.

    :param observer: The fleet.
    :param entries: What the entries tell.
    :param expected_instances: How many entries the cell has.
    :param drift_ratio: Bound on the difference in speed of two clocks.
    """

    def __init__(
        self,
        observer: FleetObserver,
        entries: EntryBook,
        expected_instances: int,
        drift_ratio: float,
    ) -> None:
        self._observer = observer
        self._entries = entries
        self._expected_instances = expected_instances
        self._drift_ratio = drift_ratio
        self._begun_seconds = 0.0
        self._watches: dict[UpstreamId, _Watch] = {}

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop the watch of an upstream that is back or gone."""
        self._watches.pop(upstream_id, None)

    def begin(self, now_seconds: float) -> None:
        """
        Start a term without watches.

        :param now_seconds: Monotonic time.
        """
        self._watches.clear()
        self._begun_seconds = now_seconds

    def progress(
        self, upstream_id: UpstreamId, defaults: Defaults, now_seconds: float
    ) -> DrainProgress:
        """
        Tell how far a drain is.

        :param upstream_id: The upstream; its drain was read back.
        :param defaults: Settings in force.
        :param now_seconds: Monotonic time.
        """
        watch = self._watches.get(upstream_id)
        if watch is None:
            offset = self._observer.directive_offset()
            watch = self._watches[upstream_id] = _Watch(now_seconds, offset)
        if self._is_done(upstream_id, watch, defaults, now_seconds):
            return DrainDone()
        if now_seconds - watch.since_seconds > defaults.drain_seconds:
            return DrainOverdue()
        return DrainRunning()

    def _is_done(
        self,
        upstream_id: UpstreamId,
        watch: _Watch,
        defaults: Defaults,
        now_seconds: float,
    ) -> bool:
        silence_seconds = defaults.freshness_seconds * (1 + self._drift_ratio)
        silence_seconds += HEARTBEAT_WAIT_SECONDS
        found = self._entries.confirmation(
            upstream_id, watch.fleet_offset, silence_seconds, now_seconds
        )
        # With all entries known and done nobody silent has to be waited for.
        is_complete = found.confirmed >= self._expected_instances and not found.silent
        since_seconds = self._begun_seconds if is_complete else watch.since_seconds
        if found.open_count or now_seconds - since_seconds < silence_seconds:
            watch.quiet_seconds = None
            return False
        if watch.quiet_seconds is None:
            watch.quiet_seconds = now_seconds
        view = self._observer.find(upstream_id)
        if view is None or view.load is None:
            return False
        # Only a report from after the last entry was done proves anything.
        if view.load_taken_seconds < watch.quiet_seconds:
            return False
        return view.load.running == 0 and view.load.waiting == 0
