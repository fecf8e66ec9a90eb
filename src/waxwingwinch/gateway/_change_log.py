"""Change sets, which transfer the changes of instance reports to readers."""

import itertools
import secrets
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, evolve, frozen

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._change_packing import pack_changes
from waxwingwinch.gateway._report_deltas import DeltaTracker
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    InstanceReport,
    RelayedReport,
    SentChangeSet,
)
from waxwingwinch.gateway._report_table import ReceivedReport

#: Minimum time between two change sets: half of the interval at which each
#: reader requests them.
CHANGE_SET_INTERVAL_SECONDS = 0.15
#: Number of change sets retained for slow readers. Together with the interval
#: it covers the time after which a reader switches to another instance.
MAX_CHANGE_SETS = 8
#: Time without a request after which the next change set is a full one.
IDLE_RESET_SECONDS = 5.0
#: Placements of an instance that are sent to a reader without earlier reports
#: of it; older ones say little about the contents of a cache.
INITIAL_PLACEMENTS = 16
#: Bits of the random number of a process's first change set, so that a
#: restarted process does not reuse the numbers of its predecessor.
INITIAL_NUMBER_BITS = 48
#: Decimal places of the ages in seconds.
AGE_DECIMALS = 2


@define
class _SentReport:
    """
    What was sent about one incarnation of an instance.

    :param delta_tracker: Tracks the contents that were sent.
    :param full_report: The full report passed to the last `build` call.
    """

    delta_tracker: DeltaTracker
    full_report: InstanceReport


class ChangeSetBuilder:
    """Builds change sets, each relative to the one before."""

    def __init__(self) -> None:
        self._sent: dict[str, _SentReport] = {}
        self._is_first = True

    def build(
        self, received_reports: Iterable[ReceivedReport], now_seconds: float
    ) -> ChangeSet:
        """
        Return the changes since the last call, and record them as sent.

        The first change set is a full one.

        :param received_reports: The recent reports. An instance that is
            missing here is reported in full when it reappears.
        :param now_seconds: Monotonic time.
        """
        is_full, self._is_first = self._is_first, False
        previous, self._sent = self._sent, {}
        reports: list[RelayedReport] = []
        ages_seconds: dict[InstanceId, float] = {}
        for received in received_reports:
            age_seconds = round(now_seconds - received.made_seconds, AGE_DECIMALS)
            sent = previous.get(received.full_report.incarnation)
            delta = self._delta(sent, received.full_report)
            if delta is None:
                ages_seconds[received.full_report.instance_id] = age_seconds
            else:
                reports.append(RelayedReport(age_seconds, delta))
        return ChangeSet(is_full, tuple(reports), ages_seconds)

    def _delta(
        self, sent: _SentReport | None, full_report: InstanceReport
    ) -> InstanceReport | None:
        """Return an instance's delta to send; None if nothing changed."""
        if sent is None:
            sent = _SentReport(
                DeltaTracker(
                    sequence=_last_skipped_sequence(full_report),
                    # The age of rows is counted from the report that brought
                    # them, which may have been confirmed many times since.
                    capacity_sequence=max(
                        (row.sequence for row in full_report.capacity_rows), default=0
                    ),
                ),
                full_report,
            )
            self._sent[full_report.incarnation] = sent
            return sent.delta_tracker.make_delta(full_report)
        self._sent[full_report.incarnation] = sent
        if sent.full_report is full_report:
            return None
        previous, sent.full_report = sent.full_report, full_report
        delta = sent.delta_tracker.make_delta(full_report)
        return delta if _has_changes(previous, delta) else None


def _last_skipped_sequence(full_report: InstanceReport) -> int:
    """Return the sequence of the last placement that is not sent."""
    if len(full_report.placements) <= INITIAL_PLACEMENTS:
        return 0
    return full_report.placements[-INITIAL_PLACEMENTS - 1].sequence


def _has_changes(previous: InstanceReport, delta: InstanceReport) -> bool:
    return bool(
        delta.running
        or delta.waiting_tokens
        or delta.quota_totals
        or delta.usage
        or delta.placements
        # The age of these is counted from the latest report, so they are sent
        # again as long as they last.
        or delta.unreachable
        or delta.switching
        or delta.named_limits
        or delta.limited_sends
        or delta.cold
        or not delta.crash_evidence.is_empty
        or previous.unreachable
        or previous.leaving != delta.leaving
        or delta.capacity_rows
        or _status_fields(previous) != _status_fields(delta)
    )


def _status_fields(report: InstanceReport) -> tuple[bool, int, int | None, bool]:
    return (
        report.is_ready,
        report.configuration_version,
        report.held_epoch,
        report.has_recent_store_read,
    )


@frozen
class _EncodedChangeSet:
    """
    An encoded change set, shared by all readers.

    :param number: Its number.
    :param made_seconds: Monotonic time at which it was built.
    :param payload: The encoded and compressed change set.
    """

    number: int
    made_seconds: float
    payload: bytes

    def to_message(self, now_seconds: float) -> SentChangeSet:
        """
        Return the message that carries the change set.

        :param now_seconds: Monotonic time.
        """
        return SentChangeSet(now_seconds - self.made_seconds, self.payload)


class ChangeLog:
    """
    The latest change sets, each encoded once for all readers.

    Change sets are built on request only, so that an instance without readers
    builds none.

    :param recent_reports: Returns the recent reports at a monotonic time.
    """

    def __init__(self, recent_reports: Callable[[float], list[ReceivedReport]]) -> None:
        self._recent_reports = recent_reports
        self._builder = ChangeSetBuilder()
        self._numbers = itertools.count(1 + secrets.randbits(INITIAL_NUMBER_BITS))
        self._change_sets: deque[_EncodedChangeSet] = deque(maxlen=MAX_CHANGE_SETS)
        self._newest_reports: list[ReceivedReport] = []
        self._full: _EncodedChangeSet | None = None

    def since(
        self, number: int, now_seconds: float
    ) -> tuple[int, tuple[SentChangeSet, ...]]:
        """
        Return the newest change set's number and the sets the reader lacks.

        A reader that lacks more than the log retains gets one full change set.

        :param number: Number of the last change set that the reader received.
        :param now_seconds: Monotonic time.
        """
        self._refresh(now_seconds)
        newest = self._change_sets[-1]
        if number == newest.number:
            return number, ()
        unsent = [
            change_set for change_set in self._change_sets if change_set.number > number
        ]
        if not unsent or unsent[0].number != number + 1:
            unsent = [self._make_full(newest)]
        return newest.number, tuple(
            change_set.to_message(now_seconds) for change_set in unsent
        )

    def _refresh(self, now_seconds: float) -> None:
        age_seconds = (
            now_seconds - self._change_sets[-1].made_seconds
            if self._change_sets
            else IDLE_RESET_SECONDS
        )
        if age_seconds < CHANGE_SET_INTERVAL_SECONDS:
            return
        if age_seconds >= IDLE_RESET_SECONDS:
            self._builder = ChangeSetBuilder()
            self._change_sets.clear()
            # The gap in the numbers keeps readers from taking the next change
            # set, which is a full one, for the successor of their last one.
            next(self._numbers)
        self._newest_reports = self._recent_reports(now_seconds)
        changes = self._builder.build(self._newest_reports, now_seconds)
        self._change_sets.append(
            _EncodedChangeSet(next(self._numbers), now_seconds, pack_changes(changes))
        )
        self._full = None

    def _make_full(self, newest: _EncodedChangeSet) -> _EncodedChangeSet:
        """Return a full change set with the state of the newest one."""
        if self._full is None:
            changes = ChangeSet(
                True,
                tuple(
                    RelayedReport(
                        max(newest.made_seconds - received.made_seconds, 0.0),
                        evolve(
                            received.full_report,
                            placements=received.full_report.placements[
                                -INITIAL_PLACEMENTS:
                            ],
                            capacity_rows=(),
                        ),
                    )
                    for received in self._newest_reports
                ),
            )
            self._full = _EncodedChangeSet(
                newest.number, newest.made_seconds, pack_changes(changes)
            )
        return self._full
