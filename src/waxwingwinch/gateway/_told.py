"""What a peer was told, so that reports hold only what has changed."""

from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._loads import NO_LOAD, UpstreamLoad
from waxwingwinch.gateway._report_messages import InstanceReport, PromptPlacement
from waxwingwinch.gateway._usage_counts import WindowCounts

Key = TypeVar("Key")
Value = TypeVar("Value")


@define
class ToldReports:
    """
    What the reports over one connection have told so far.

    :param sequence: The last placement of a prompt.
    :param is_empty: True until the first report; that one is whole.
    :param loads: Work by upstream.
    :param quota_totals: Units admitted by customer.
    :param usage: Requests that began, by window.
    """

    sequence: int = 0
    is_empty: bool = True
    loads: dict[UpstreamId, UpstreamLoad] = field(factory=dict)
    quota_totals: dict[CustomerId, float] = field(factory=dict)
    usage: WindowCounts = field(factory=dict)

    def forget(self) -> None:
        """Have the next report be whole, since one may have been lost."""
        self.is_empty = True
        self.loads = {}
        self.quota_totals = {}
        self.usage = {}

    def reduce(self, whole: InstanceReport) -> InstanceReport:
        """
        Return a report of what has changed, and take it as told.

        :param whole: All that there is to tell of an instance.
        """
        is_whole, self.is_empty = self.is_empty, False
        loads = self.tell_loads(whole.loads())
        return evolve(
            whole,
            is_whole=is_whole,
            quota_totals=self.tell_quota_totals(whole.quota_totals),
            usage=self.tell_usage(whole.usage),
            placements=self.tell_placements(whole.placements),
        ).with_loads(loads)

    def announced(self, upstream_id: UpstreamId) -> None:
        """
        Have the next report correct what was told ahead of it.

        :param upstream_id: The upstream whose work was announced.
        """
        self.loads[upstream_id] = UpstreamLoad(-1, -1)

    def tell_loads(
        self, loads: dict[UpstreamId, UpstreamLoad]
    ) -> dict[UpstreamId, UpstreamLoad]:
        """
        Return the loads to tell, those that have ended as none.

        :param loads: All that there are.
        """
        ended = dict.fromkeys(self.loads.keys() - loads.keys(), NO_LOAD)
        changed = _changed(loads, self.loads) | ended
        self.loads = dict(loads)
        return changed

    def tell_placements(
        self, placements: tuple[PromptPlacement, ...]
    ) -> tuple[PromptPlacement, ...]:
        """
        Return the placements to tell.

        :param placements: All that are kept, the oldest first.
        """
        new = tuple(one for one in placements if one.sequence > self.sequence)
        if new:
            self.sequence = new[-1].sequence
        return new

    def tell_quota_totals(
        self, totals: dict[CustomerId, float]
    ) -> dict[CustomerId, float]:
        """
        Return the totals to tell.

        :param totals: All that there are.
        """
        changed = _changed(totals, self.quota_totals)
        self.quota_totals = dict(totals)
        return changed

    def tell_usage(self, windows: WindowCounts) -> WindowCounts:
        """
        Return the windows to tell.

        :param windows: All that are kept.
        """
        changed = _changed(windows, self.usage)
        self.usage = dict(windows)
        return changed


def _changed(new: dict[Key, Value], told: dict[Key, Value]) -> dict[Key, Value]:
    return {key: value for key, value in new.items() if told.get(key) != value}
