"""What a peer was told, so that reports hold only what has changed."""

from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._report_messages import InstanceReport, PromptPlacement
from waxwingwinch.gateway._usage_counts import WindowCounts

Key = TypeVar("Key")
Value = TypeVar("Value")


@define
class DeltaTracker:
    """
    What reports have told so far.

    :param sequence: The last placement of a prompt.
    :param is_empty: True until the first report; that one is whole.
    :param waiting_tokens: Prompt tokens to be read, by upstream.
    :param running: Requests under way, by upstream.
    :param ahead: Upstreams whose work was told ahead of a report.
    :param quota_totals: Units admitted by customer.
    :param usage: Requests that began, by window.
    """

    sequence: int = 0
    is_empty: bool = True
    waiting_tokens: dict[UpstreamId, int] = field(factory=dict)
    running: dict[UpstreamId, int] = field(factory=dict)
    ahead: set[UpstreamId] = field(factory=set)
    quota_totals: dict[CustomerId, float] = field(factory=dict)
    usage: WindowCounts = field(factory=dict)

    def reduce(self, whole: InstanceReport) -> InstanceReport:
        """
        Return a report of what has changed, and take it as told.

        :param whole: All that there is to tell of an instance.
        """
        is_full, self.is_empty = self.is_empty, False
        changed = self.tell_loads(whole.waiting_tokens, whole.running)
        return evolve(
            whole,
            is_full=is_full,
            waiting_tokens={key: whole.waiting_tokens.get(key, 0) for key in changed},
            running={key: whole.running.get(key, 0) for key in changed},
            quota_totals=self.tell_quota_totals(whole.quota_totals),
            usage=self.tell_usage(whole.usage),
            placements=self.tell_placements(whole.placements),
        )

    def announced(self, upstream_id: UpstreamId) -> None:
        """
        Have the next report correct what was told ahead of it.

        :param upstream_id: The upstream whose work was announced.
        """
        self.ahead.add(upstream_id)

    def tell_loads(
        self, waiting_tokens: dict[UpstreamId, int], running: dict[UpstreamId, int]
    ) -> set[UpstreamId]:
        """
        Return the upstreams whose work is to be told, the ended included.

        :param waiting_tokens: Prompt tokens to be read, by upstream.
        :param running: Requests under way, by upstream.
        """
        changed, self.ahead = self.ahead, set()
        changed.update(_changed(running, self.running))
        changed.update(_changed(waiting_tokens, self.waiting_tokens))
        changed.update(self.running.keys() - running.keys())
        self.waiting_tokens, self.running = waiting_tokens, running
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
        self.quota_totals = totals
        return changed

    def tell_usage(self, windows: WindowCounts) -> WindowCounts:
        """
        Return the windows to tell.

        :param windows: All that are kept.
        """
        changed = _changed(windows, self.usage)
        self.usage = windows
        return changed


def _changed(new: dict[Key, Value], told: dict[Key, Value]) -> dict[Key, Value]:
    if new is told:
        return {}
    return {key: value for key, value in new.items() if told.get(key) != value}
