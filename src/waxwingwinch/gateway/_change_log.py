"""Telling others what has changed at some instances."""

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

#: Shortest time from one change set to the next, half of the interval at
#: which each reader asks.
CHANGES_SECONDS = 0.15
#: Change sets that are kept for readers who ask late; with the interval they
#: make up the time after which a reader asks another instance.
CHANGE_SETS_KEPT = 8
#: Time without a reader after which the next change set stands alone.
UNREAD_SECONDS = 5.0
#: Placements of each instance that one who knows nothing is told; older ones
#: matter little for a cache.
FIRST_PLACEMENTS = 16
#: Bits of the number of a process's first change set, so that a new start
#: doesn't repeat the numbers of the one before.
FIRST_NUMBER_BITS = 48
#: Decimals of ages, in seconds.
AGE_DECIMALS = 2


@define
class _Told:
    """
    What was told of one start of an instance.

    :param reports: What the reports held.
    :param whole: All of it put together.
    """

    reports: DeltaTracker
    whole: InstanceReport


class ChangeSetBuilder:
    """Turns what was heard into change sets that stand on one another."""

    def __init__(self) -> None:
        self._sent: dict[str, _Told] = {}
        self._is_new = True

    def tell(self, heard: Iterable[ReceivedReport], now_seconds: float) -> ChangeSet:
        """
        Return what has changed since the last call, and take it as told.

        :param heard: What was heard lately; an instance that is missing is
            told of from the beginning when it is back.
        :param now_seconds: Monotonic time.
        """
        is_full, self._is_new = self._is_new, False
        before, self._sent = self._sent, {}
        reports: list[RelayedReport] = []
        ages_seconds: dict[InstanceId, float] = {}
        for one in heard:
            age_seconds = round(now_seconds - one.made_seconds, AGE_DECIMALS)
            told = before.get(one.whole.incarnation)
            change = self._change(told, one.whole)
            if change is None:
                ages_seconds[one.whole.instance_id] = age_seconds
            else:
                reports.append(RelayedReport(age_seconds, change))
        return ChangeSet(is_full, tuple(reports), ages_seconds)

    def _change(
        self, told: _Told | None, whole: InstanceReport
    ) -> InstanceReport | None:
        """Return what is to be told of an instance; None if nothing is."""
        if told is None:
            told = _Told(DeltaTracker(sequence=_skipped_sequence(whole)), whole)
            self._sent[whole.incarnation] = told
            return told.reports.reduce(whole)
        self._sent[whole.incarnation] = told
        if told.whole is whole:
            return None
        before, told.whole = told.whole, whole
        change = told.reports.reduce(whole)
        return change if _says_something(before, change) else None


def _skipped_sequence(whole: InstanceReport) -> int:
    """Return up to which placement nothing is told at first."""
    if len(whole.placements) <= FIRST_PLACEMENTS:
        return 0
    return whole.placements[-FIRST_PLACEMENTS - 1].sequence


def _says_something(before: InstanceReport, change: InstanceReport) -> bool:
    return bool(
        change.running
        or change.waiting_tokens
        or change.quota_totals
        or change.usage
        or change.placements
        # Both hold for a time that begins anew with each report.
        or change.unreachable
        or change.switching
        or before.unreachable
        or _state(before) != _state(change)
    )


def _state(report: InstanceReport) -> tuple[bool, int, int | None, bool]:
    return (
        report.is_ready,
        report.configuration_version,
        report.held_epoch,
        report.has_read_store,
    )


@frozen
class _MadeChangeSet:
    """
    A change set as all readers get it.

    :param number: Its number.
    :param made_seconds: Monotonic time.
    :param payload: The change set, compressed.
    """

    number: int
    made_seconds: float
    payload: bytes

    def sent(self, now_seconds: float) -> SentChangeSet:
        """
        Return it as it is sent.

        :param now_seconds: Monotonic time.
        """
        return SentChangeSet(now_seconds - self.made_seconds, self.payload)


class ChangeLog:
    """
    The last change sets, each encoded once for all readers.

    They are made when somebody asks; one whom nobody asks makes none.

    :param heard: Returns what was heard lately at a monotonic time.
    """

    def __init__(self, heard: Callable[[float], list[ReceivedReport]]) -> None:
        self._heard = heard
        self._teller = ChangeSetBuilder()
        self._numbers = itertools.count(1 + secrets.randbits(FIRST_NUMBER_BITS))
        self._made: deque[_MadeChangeSet] = deque(maxlen=CHANGE_SETS_KEPT)
        self._newest: list[ReceivedReport] = []
        self._whole: _MadeChangeSet | None = None

    def since(
        self, number: int, now_seconds: float
    ) -> tuple[int, tuple[SentChangeSet, ...]]:
        """
        Return the number of the newest change set, and those that are new.

        :param number: The last one that the reader got.
        :param now_seconds: Monotonic time.
        """
        self._bring_up_to_date(now_seconds)
        newest = self._made[-1]
        if number == newest.number:
            return number, ()
        missing = [made for made in self._made if made.number > number]
        if not missing or missing[0].number != number + 1:
            missing = [self._make_whole(newest)]
        return newest.number, tuple(made.sent(now_seconds) for made in missing)

    def _bring_up_to_date(self, now_seconds: float) -> None:
        age_seconds = (
            now_seconds - self._made[-1].made_seconds if self._made else UNREAD_SECONDS
        )
        if age_seconds < CHANGES_SECONDS:
            return
        if age_seconds >= UNREAD_SECONDS:
            self._teller = ChangeSetBuilder()
            self._made.clear()
            # Makes sure that no reader takes the next one for a change.
            next(self._numbers)
        self._newest = self._heard(now_seconds)
        changes = self._teller.tell(self._newest, now_seconds)
        self._made.append(
            _MadeChangeSet(next(self._numbers), now_seconds, pack_changes(changes))
        )
        self._whole = None

    def _make_whole(self, newest: _MadeChangeSet) -> _MadeChangeSet:
        """Return a change set that stands alone, as of the newest one."""
        if self._whole is None:
            changes = ChangeSet(
                True,
                tuple(
                    RelayedReport(
                        max(newest.made_seconds - heard.made_seconds, 0.0),
                        evolve(
                            heard.whole,
                            placements=heard.whole.placements[-FIRST_PLACEMENTS:],
                        ),
                    )
                    for heard in self._newest
                ),
            )
            self._whole = _MadeChangeSet(
                newest.number, newest.made_seconds, pack_changes(changes)
            )
        return self._whole
