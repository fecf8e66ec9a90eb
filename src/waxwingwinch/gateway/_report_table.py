"""Reports of all instances, merged separately for each channel."""

from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._report_messages import ChangeSet, InstanceReport
from waxwingwinch.gateway._usage_counts import WINDOWS_RETAINED, WindowCounts
from waxwingwinch.gateway.capacity import MAX_RECENT_ROWS

Key = TypeVar("Key")
Value = TypeVar("Value")

#: Maximum age at which a report is passed on; its receivers regard an instance
#: with an older report as silent in any case.
MAX_RELAY_AGE_SECONDS = 2.0
#: Time without a report after which the reports of an instance are deleted.
REPORT_EXPIRY_SECONDS = 30.0
#: Number of placements of an instance that are retained to be passed on;
#: several times the placements of one report interval.
MAX_RELAYED_PLACEMENTS = 32
#: Minimum difference between the estimated times of two reports at which the
#: later one counts as newer whatever their sequences. The delay of messages on
#: a busy instance stays below.
AGE_MARGIN_SECONDS = 0.5


@define(eq=False)
class ReceivedReport:
    """
    The merged report of an instance.

    :param full_report: All reports of the instance, merged.
    :param made_seconds: Monotonic time at which the instance made its last
        report; also advances when the instance confirms that nothing has
        changed.
    """

    full_report: InstanceReport
    made_seconds: float


@define
class ReportUpdate:
    """
    Effect of a change set on the newest reports.

    :param changed: Reports with new content.
    :param unchanged: Reports that were confirmed without new content.
    """

    changed: list[ReceivedReport] = field(factory=list)
    unchanged: list[ReceivedReport] = field(factory=list)


class ReportTable:
    """
    Merges the reports of instances, which may arrive through several channels.

    A channel is a path of reports: a peer, a cell or a collector. A delta is
    relative to earlier reports of the same channel, so each channel has a
    separate table. Used by a single thread.

    :param own_id: This instance.
    """

    def __init__(self, own_id: InstanceId) -> None:
        self._own_id = own_id
        self._local_report: ReceivedReport | None = None
        self._channels: dict[str, dict[InstanceId, ReceivedReport]] = {}
        self._newest: dict[InstanceId, ReceivedReport] = {}

    def set_local(self, full_report: InstanceReport, now_seconds: float) -> None:
        """
        Replace the report of this process, and delete expired reports.

        :param full_report: The full report.
        :param now_seconds: Monotonic time.
        """
        self._local_report = ReceivedReport(full_report, now_seconds)
        self._drop_expired(now_seconds)

    def apply(
        self, channel: str, changes: ChangeSet, made_seconds: float
    ) -> ReportUpdate:
        """
        Apply a change set.

        :param channel: The channel on which it was received.
        :param changes: The change set.
        :param made_seconds: Monotonic time at which it was built.
        """
        table = self._channels.setdefault(channel, {})
        if changes.is_full:
            table.clear()
        update = ReportUpdate()
        for relayed in changes.reports:
            known = table.get(relayed.report.instance_id)
            full_report = merge_reports(
                known.full_report if known else None, relayed.report
            )
            received = ReceivedReport(full_report, made_seconds - relayed.age_seconds)
            self._record(table, received, update)
        for instance_id, age_seconds in changes.ages_seconds.items():
            known = table.get(instance_id)
            if known is not None:
                self._record_unchanged(table, known, made_seconds - age_seconds, update)
        return update

    def drop_channel(self, channel: str) -> None:
        """
        Delete the reports of a channel that is no longer used.

        :param channel: The channel.
        """
        self._channels.pop(channel, None)

    def get_report(self, instance_id: InstanceId) -> InstanceReport | None:
        """
        Return the newest merged report of an instance; None if there is none.

        :param instance_id: The instance.
        """
        known = self._newest.get(instance_id)
        return known.full_report if known is not None else None

    def has_recent_report(self, instance_id: InstanceId, now_seconds: float) -> bool:
        """
        Tell whether there is a recent report of an instance.

        :param instance_id: The instance.
        :param now_seconds: Monotonic time.
        """
        known = self._newest.get(instance_id)
        return known is not None and _is_recent(known, now_seconds)

    def local_reports(self) -> list[ReceivedReport]:
        """Return this process's report as a list; empty before the first."""
        return [] if self._local_report is None else [self._local_report]

    def recent(self, now_seconds: float) -> list[ReceivedReport]:
        """
        Return the recent reports of all instances, including this one.

        :param now_seconds: Monotonic time.
        """
        return self.local_reports() + [
            received
            for received in self._newest.values()
            if _is_recent(received, now_seconds)
        ]

    def recent_on_channel(
        self, channel: str, now_seconds: float
    ) -> list[ReceivedReport]:
        """
        Return the recent reports of one channel.

        :param channel: The channel.
        :param now_seconds: Monotonic time.
        """
        table = self._channels.get(channel, {})
        return [
            received for received in table.values() if _is_recent(received, now_seconds)
        ]

    def _record(
        self,
        table: dict[InstanceId, ReceivedReport],
        received: ReceivedReport,
        update: ReportUpdate,
    ) -> None:
        instance_id = received.full_report.instance_id
        if instance_id == self._own_id:
            return
        table[instance_id] = received
        known = self._newest.get(instance_id)
        if known is not None and not _is_newer(received, known):
            return
        self._newest[instance_id] = received
        if known is not None and known.full_report is received.full_report:
            update.unchanged.append(received)
        else:
            update.changed.append(received)

    def _record_unchanged(
        self,
        table: dict[InstanceId, ReceivedReport],
        known: ReceivedReport,
        made_seconds: float,
        update: ReportUpdate,
    ) -> None:
        # Hundreds of confirmations arrive several times a second, so the
        # common case does not create an object.
        if self._newest.get(known.full_report.instance_id) is not known:
            self._record(table, ReceivedReport(known.full_report, made_seconds), update)
        elif made_seconds > known.made_seconds:
            known.made_seconds = made_seconds
            update.unchanged.append(known)

    def _drop_expired(self, now_seconds: float) -> None:
        for table in (self._newest, *self._channels.values()):
            expired = [
                instance_id
                for instance_id, received in table.items()
                if now_seconds - received.made_seconds > REPORT_EXPIRY_SECONDS
            ]
            for instance_id in expired:
                del table[instance_id]
        for channel in [
            channel for channel, table in self._channels.items() if not table
        ]:
            del self._channels[channel]


def _is_recent(received: ReceivedReport, now_seconds: float) -> bool:
    return now_seconds - received.made_seconds < MAX_RELAY_AGE_SECONDS


def _is_newer(received: ReceivedReport, known: ReceivedReport) -> bool:
    if received.full_report is known.full_report:
        return received.made_seconds > known.made_seconds
    if received.full_report.incarnation != known.full_report.incarnation:
        return received.made_seconds > known.made_seconds
    if received.full_report.sequence > known.full_report.sequence:
        return True
    # Confirmed reports keep their sequence while their time advances.
    return received.made_seconds > known.made_seconds + AGE_MARGIN_SECONDS


def merge_reports(
    known: InstanceReport | None, report: InstanceReport
) -> InstanceReport:
    """
    Merge the newest report of an instance into its earlier reports.

    :param known: The earlier reports, merged; None if there are none.
    :param report: The newest report.
    """
    if known is None or known.incarnation != report.incarnation:
        return report
    placements = (*known.placements, *report.placements)[-MAX_RELAYED_PLACEMENTS:]
    if report.is_full:
        return evolve(report, placements=placements)
    # Two reports may arrive between two change sets.
    capacity_rows = (*known.capacity_rows, *report.capacity_rows)[-MAX_RECENT_ROWS:]
    waiting_tokens, running = _merge_loads(known, report)
    # Hundreds of reports are merged per second; evolve() takes three times
    # as long.
    return InstanceReport(
        instance_id=report.instance_id,
        incarnation=report.incarnation,
        is_ready=report.is_ready,
        is_full=True,
        configuration_version=report.configuration_version,
        held_epoch=report.held_epoch,
        store_age_seconds=report.store_age_seconds,
        waiting_tokens=waiting_tokens,
        running=running,
        quota_totals=_merged(known.quota_totals, report.quota_totals),
        usage=_merge_usage(known.usage, report.usage),
        unreachable=report.unreachable,
        switching=report.switching,
        placements=placements,
        sequence=report.sequence,
        named_limits=report.named_limits,
        limited_sends=report.limited_sends,
        crash_evidence=report.crash_evidence,
        leaving=report.leaving,
        relinquished_epoch=report.relinquished_epoch,
        cold=report.cold,
        capacity_rows=capacity_rows,
    )


def _merge_loads(
    known: InstanceReport, report: InstanceReport
) -> tuple[dict[UpstreamId, int], dict[UpstreamId, int]]:
    """Return the prefill work and the requests in progress by upstream."""
    # Both tables of a delta have the same keys.
    if not report.running:
        return known.waiting_tokens, known.running
    waiting_tokens = known.waiting_tokens | report.waiting_tokens
    running = known.running | report.running
    for key in report.running:
        if not running[key] and not waiting_tokens.get(key):
            del running[key]
            waiting_tokens.pop(key, None)
    return waiting_tokens, running


def _merge_usage(known: WindowCounts, changed: WindowCounts) -> WindowCounts:
    if not changed:
        return known
    usage = known | changed
    newest = max(usage)
    return {
        window: counts
        for window, counts in usage.items()
        if window >= newest - WINDOWS_RETAINED
    }


def _merged(known: dict[Key, Value], changed: dict[Key, Value]) -> dict[Key, Value]:
    # Returning the same object lets a delta tracker skip the comparison.
    return known | changed if changed else known
