"""Detection of the end of all work at a drained upstream."""

from attrs import define, frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.configuration import Defaults
from waxwingwinch.control._entry_tracker import HEARTBEAT_MARGIN_SECONDS, EntryTracker
from waxwingwinch.fleet import FleetObserver


@frozen
class DrainRunning:
    """The upstream may still have work or may still be given some."""


@frozen
class DrainDone:
    """The upstream has no work and is given none."""


@frozen
class DrainOverdue:
    """The drain exceeds ``drain_seconds``; work is never cancelled."""


DrainProgress = DrainRunning | DrainDone | DrainOverdue


@define
class _TrackedDrain:
    """State of a drain in the current term."""

    started_seconds: float
    fleet_offset: int
    #: Time since which no entry holds up the drain; None while one does.
    confirmed_since_seconds: float | None = None


class DrainTracker:
    """
    Tracks the drains of one planner during one term.

    :param observer: Observed state of the fleet.
    :param entries: Heartbeats of the entries.
    :param expected_instances: Number of entries of the cell.
    :param drift_ratio: Bound on the relative drift of two clocks.
    """

    def __init__(
        self,
        observer: FleetObserver,
        entries: EntryTracker,
        expected_instances: int,
        drift_ratio: float,
    ) -> None:
        self._observer = observer
        self._entries = entries
        self._expected_instances = expected_instances
        self._drift_ratio = drift_ratio
        self._term_begin_seconds = 0.0
        self._drains: dict[UpstreamId, _TrackedDrain] = {}

    def remove(self, upstream_id: UpstreamId) -> None:
        """Stop tracking an upstream that is back in service or gone."""
        self._drains.pop(upstream_id, None)

    def begin_term(self, now_seconds: float) -> None:
        """
        Start a term without tracked drains.

        :param now_seconds: Monotonic time.
        """
        self._drains.clear()
        self._term_begin_seconds = now_seconds

    def progress(
        self, upstream_id: UpstreamId, defaults: Defaults, now_seconds: float
    ) -> DrainProgress:
        """
        Return the progress of a drain and track it from the first call on.

        :param upstream_id: The upstream; its drain was read back from the log.
        :param defaults: Settings in force.
        :param now_seconds: Monotonic time.
        """
        drain = self._drains.get(upstream_id)
        if drain is None:
            offset = self._observer.fleet_offset()
            drain = self._drains[upstream_id] = _TrackedDrain(now_seconds, offset)
        if self._is_free_of_work(upstream_id, drain, defaults, now_seconds):
            return DrainDone()
        if now_seconds - drain.started_seconds > defaults.drain_seconds:
            return DrainOverdue()
        return DrainRunning()

    def _is_free_of_work(
        self,
        upstream_id: UpstreamId,
        drain: _TrackedDrain,
        defaults: Defaults,
        now_seconds: float,
    ) -> bool:
        # An entry measures freshness_seconds by its own clock, which may be
        # slower.
        silence_seconds = defaults.freshness_seconds * (1 + self._drift_ratio)
        silence_seconds += HEARTBEAT_MARGIN_SECONDS
        confirmation = self._entries.drain_confirmation(
            upstream_id, drain.fleet_offset, silence_seconds, now_seconds
        )
        # If all expected entries confirmed the drain, no silent entry has to
        # be waited for; ``silence_seconds`` then counts from the start of the
        # term, not from that of the drain.
        is_complete = (
            confirmation.confirmed >= self._expected_instances
            and not confirmation.silent
        )
        wait_start_seconds = (
            self._term_begin_seconds if is_complete else drain.started_seconds
        )
        if confirmation.pending or now_seconds - wait_start_seconds < silence_seconds:
            drain.confirmed_since_seconds = None
            return False
        if drain.confirmed_since_seconds is None:
            drain.confirmed_since_seconds = now_seconds
        view = self._observer.find(upstream_id)
        if view is None or view.load is None:
            return False
        # A load report from before the last confirmation proves nothing, as
        # an entry may have sent work after it.
        if view.load_taken_seconds < drain.confirmed_since_seconds:
            return False
        return view.load.running == 0 and view.load.waiting == 0
