"""Delta encoding of reports against what was sent before."""

from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._report_messages import InstanceReport, PromptPlacement
from waxwingwinch.gateway._usage_counts import WindowCounts
from waxwingwinch.gateway.capacity import CapacityRow

Key = TypeVar("Key")
Value = TypeVar("Value")


@define
class DeltaTracker:
    """
    Tracks what reports have sent, and builds delta reports.

    :param sequence: Sequence of the last placement that was sent.
    :param is_first: True until the first report, which is a full one.
    :param waiting_tokens: Prefill work not done yet, as tokens without
        attention, by upstream.
    :param running: Requests in progress, by upstream.
    :param announced_ids: Upstreams whose work was announced since the last
        report.
    :param quota_totals: Units admitted, by customer.
    :param usage: Started requests, by window and customer.
    :param capacity_sequence: Sequence of the last capacity row that was sent.
    """

    sequence: int = 0
    is_first: bool = True
    waiting_tokens: dict[UpstreamId, int] = field(factory=dict)
    running: dict[UpstreamId, int] = field(factory=dict)
    announced_ids: set[UpstreamId] = field(factory=set)
    quota_totals: dict[CustomerId, float] = field(factory=dict)
    usage: WindowCounts = field(factory=dict)
    capacity_sequence: int = 0

    def make_delta(self, full_report: InstanceReport) -> InstanceReport:
        """
        Return a report of the changes, and record them as sent.

        :param full_report: Full report of an instance.
        """
        is_full, self.is_first = self.is_first, False
        changed = self.take_changed_loads(
            full_report.waiting_tokens, full_report.running
        )
        return evolve(
            full_report,
            is_full=is_full,
            waiting_tokens={
                key: full_report.waiting_tokens.get(key, 0) for key in changed
            },
            running={key: full_report.running.get(key, 0) for key in changed},
            quota_totals=self.take_changed_quota_totals(full_report.quota_totals),
            usage=self.take_changed_usage(full_report.usage),
            placements=self.take_new_placements(full_report.placements),
            capacity_rows=self.take_new_capacity_rows(full_report.capacity_rows),
        )

    def mark_announced(self, upstream_id: UpstreamId) -> None:
        """
        Include an upstream in the next report, which corrects an announcement.

        :param upstream_id: The upstream whose work was announced.
        """
        self.announced_ids.add(upstream_id)

    def take_changed_loads(
        self, waiting_tokens: dict[UpstreamId, int], running: dict[UpstreamId, int]
    ) -> set[UpstreamId]:
        """
        Return the upstreams whose work changed or ended; record all as sent.

        :param waiting_tokens: Prefill work not done yet, as tokens without
            attention, by upstream.
        :param running: Requests in progress, by upstream.
        """
        changed, self.announced_ids = self.announced_ids, set()
        changed.update(_changed(running, self.running))
        changed.update(_changed(waiting_tokens, self.waiting_tokens))
        changed.update(self.running.keys() - running.keys())
        self.waiting_tokens, self.running = waiting_tokens, running
        return changed

    def take_new_placements(
        self, placements: tuple[PromptPlacement, ...]
    ) -> tuple[PromptPlacement, ...]:
        """
        Return the placements that were not sent yet; record them as sent.

        :param placements: All retained placements, the oldest first.
        """
        new = tuple(
            placement for placement in placements if placement.sequence > self.sequence
        )
        if new:
            self.sequence = new[-1].sequence
        return new

    def take_new_capacity_rows(
        self, rows: tuple[CapacityRow, ...]
    ) -> tuple[CapacityRow, ...]:
        """
        Return the capacity rows that were not sent yet; record them as sent.

        :param rows: All retained rows, the oldest first.
        """
        new = tuple(row for row in rows if row.sequence > self.capacity_sequence)
        if new:
            self.capacity_sequence = new[-1].sequence
        return new

    def take_changed_quota_totals(
        self, totals: dict[CustomerId, float]
    ) -> dict[CustomerId, float]:
        """
        Return the totals that changed; record all as sent.

        :param totals: All totals.
        """
        changed = _changed(totals, self.quota_totals)
        self.quota_totals = totals
        return changed

    def take_changed_usage(self, windows: WindowCounts) -> WindowCounts:
        """
        Return the windows that changed; record all as sent.

        :param windows: All retained windows.
        """
        changed = _changed(windows, self.usage)
        self.usage = windows
        return changed


def _changed(new: dict[Key, Value], sent: dict[Key, Value]) -> dict[Key, Value]:
    if new is sent:
        return {}
    return {key: value for key, value in new.items() if sent.get(key) != value}
