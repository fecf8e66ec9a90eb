"""What all instances told, by the way on which it came."""

from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._report_messages import ChangeSet, InstanceReport
from waxwingwinch.gateway._usage_counts import WINDOWS_RETAINED, WindowCounts

Key = TypeVar("Key")
Value = TypeVar("Value")

#: Age up to which a report is passed on; one who hears it takes an older one
#: for silence in any case.
RELAYED_MAX_SECONDS = 2.0
#: Silence after which what an instance told is forgotten.
FORGOTTEN_SECONDS = 30.0
#: Placements of an instance that are kept to be passed on; several times
#: those of one interval of the reports.
RELAYED_PLACEMENTS = 32
#: Difference of two estimates of when a report was made from which one is
#: taken to be older; messages that wait on a busy instance stay below.
MADE_MARGIN_SECONDS = 0.5


@define(eq=False)
class Heard:
    """
    All that an instance told.

    :param whole: Its reports put together.
    :param made_seconds: Monotonic time at which it last told of itself; moves
        on when it says that nothing has changed.
    """

    whole: InstanceReport
    made_seconds: float


@define
class Taken:
    """
    What a change set has brought.

    :param changed: Instances that told something new.
    :param unchanged: Instances that are there still.
    """

    changed: list[Heard] = field(factory=list)
    unchanged: list[Heard] = field(factory=list)


class ReportBook:
    """
    Puts together what instances told, which may come in several ways.

    Changes stand on what the same way brought before, so each way has a table
    of its own. It is used by one thread alone.

    :param own_id: This instance.
    """

    def __init__(self, own_id: InstanceId) -> None:
        self._own_id = own_id
        self._own: Heard | None = None
        self._ways: dict[str, dict[InstanceId, Heard]] = {}
        self._newest: dict[InstanceId, Heard] = {}

    def put_own(self, whole: InstanceReport, now_seconds: float) -> None:
        """
        Take in this process's own report.

        :param whole: All that there is to tell.
        :param now_seconds: Monotonic time.
        """
        self._own = Heard(whole, now_seconds)
        self._forget_silent(now_seconds)

    def take(self, way: str, changes: ChangeSet, told_seconds: float) -> Taken:
        """
        Take in a change set.

        :param way: Names the way on which it came.
        :param changes: The change set.
        :param told_seconds: Monotonic time at which it was made.
        """
        table = self._ways.setdefault(way, {})
        if changes.is_whole:
            table.clear()
        taken = Taken()
        for relayed in changes.reports:
            known = table.get(relayed.report.instance_id)
            whole = merge_reports(known.whole if known else None, relayed.report)
            heard = Heard(whole, told_seconds - relayed.age_seconds)
            self._note(table, heard, taken)
        for instance_id, age_seconds in changes.ages_seconds.items():
            known = table.get(instance_id)
            if known is not None:
                self._note_unchanged(table, known, told_seconds - age_seconds, taken)
        return taken

    def forget_way(self, way: str) -> None:
        """
        Forget what a way brought; nothing more will come on it.

        :param way: Its name.
        """
        self._ways.pop(way, None)

    def told_by(self, instance_id: InstanceId) -> InstanceReport | None:
        """
        Return all that an instance told; None if it was never heard.

        :param instance_id: The instance.
        """
        known = self._newest.get(instance_id)
        return known.whole if known is not None else None

    def heard_lately(self, instance_id: InstanceId, now_seconds: float) -> bool:
        """
        Tell whether an instance is there.

        :param instance_id: The instance.
        :param now_seconds: Monotonic time.
        """
        known = self._newest.get(instance_id)
        return known is not None and _is_recent(known, now_seconds)

    def own(self) -> list[Heard]:
        """Return this process's own report; empty before the first."""
        return [] if self._own is None else [self._own]

    def recent(self, now_seconds: float) -> list[Heard]:
        """
        Return what those told that were heard lately, this one included.

        :param now_seconds: Monotonic time.
        """
        return self.own() + [
            heard for heard in self._newest.values() if _is_recent(heard, now_seconds)
        ]

    def recent_on(self, way: str, now_seconds: float) -> list[Heard]:
        """
        Return what those told that were heard lately on one way.

        :param way: Its name.
        :param now_seconds: Monotonic time.
        """
        table = self._ways.get(way, {})
        return [heard for heard in table.values() if _is_recent(heard, now_seconds)]

    def _note(self, table: dict[InstanceId, Heard], heard: Heard, taken: Taken) -> None:
        instance_id = heard.whole.instance_id
        if instance_id == self._own_id:
            return
        table[instance_id] = heard
        known = self._newest.get(instance_id)
        if known is not None and not _is_newer(heard, known):
            return
        self._newest[instance_id] = heard
        if known is not None and known.whole is heard.whole:
            taken.unchanged.append(heard)
        else:
            taken.changed.append(heard)

    def _note_unchanged(
        self,
        table: dict[InstanceId, Heard],
        known: Heard,
        made_seconds: float,
        taken: Taken,
    ) -> None:
        # Hundreds of these come several times a second.
        if self._newest.get(known.whole.instance_id) is not known:
            self._note(table, Heard(known.whole, made_seconds), taken)
        elif made_seconds > known.made_seconds:
            known.made_seconds = made_seconds
            taken.unchanged.append(known)

    def _forget_silent(self, now_seconds: float) -> None:
        for table in (self._newest, *self._ways.values()):
            silent = [
                instance_id
                for instance_id, heard in table.items()
                if now_seconds - heard.made_seconds > FORGOTTEN_SECONDS
            ]
            for instance_id in silent:
                del table[instance_id]
        for way in [way for way, table in self._ways.items() if not table]:
            del self._ways[way]


def _is_recent(heard: Heard, now_seconds: float) -> bool:
    return now_seconds - heard.made_seconds < RELAYED_MAX_SECONDS


def _is_newer(heard: Heard, known: Heard) -> bool:
    if heard.whole is known.whole:
        return heard.made_seconds > known.made_seconds
    if heard.whole.incarnation != known.whole.incarnation:
        return heard.made_seconds > known.made_seconds
    if heard.whole.sequence > known.whole.sequence:
        return True
    # What is told as unchanged keeps the sequence that it had.
    return heard.made_seconds > known.made_seconds + MADE_MARGIN_SECONDS


def merge_reports(
    known: InstanceReport | None, report: InstanceReport
) -> InstanceReport:
    """
    Return all that an instance told.

    :param known: What it told before; None if nothing.
    :param report: Its newest report.
    """
    if known is None or known.incarnation != report.incarnation:
        return report
    placements = (*known.placements, *report.placements)[-RELAYED_PLACEMENTS:]
    if report.is_whole:
        return evolve(report, placements=placements)
    waiting_tokens, running = _merge_loads(known, report)
    # Hundreds of these are made a second; evolve() takes three times as long.
    return InstanceReport(
        instance_id=report.instance_id,
        incarnation=report.incarnation,
        is_ready=report.is_ready,
        is_whole=True,
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
    )


def _merge_loads(
    known: InstanceReport, report: InstanceReport
) -> tuple[dict[UpstreamId, int], dict[UpstreamId, int]]:
    """Return prompt tokens to be read and requests under way, by upstream."""
    if not report.running:
        return known.waiting_tokens, known.running
    waiting_tokens = known.waiting_tokens | report.waiting_tokens
    running = known.running | report.running
    for key in report.running:
        if not running[key] and not waiting_tokens.get(key):
            del running[key]
            waiting_tokens.pop(key, None)
    return waiting_tokens, running


def _merge_usage(known: WindowCounts, told: WindowCounts) -> WindowCounts:
    if not told:
        return known
    usage = known | told
    newest = max(usage)
    return {
        window: counts
        for window, counts in usage.items()
        if window >= newest - WINDOWS_RETAINED
    }


def _merged(known: dict[Key, Value], told: dict[Key, Value]) -> dict[Key, Value]:
    # The same object shows a reader that nothing has changed.
    return known | told if told else known
