"""What an instance passes on of its neighbours' reports."""

import itertools
import secrets
from typing import TypeVar

from attrs import define, evolve, field

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.gateway._placement_log import PLACEMENTS_KEPT
from waxwingwinch.gateway._report_messages import (
    Digest,
    DigestRequest,
    InstanceReport,
    RelayedReport,
)
from waxwingwinch.gateway._told import ToldReports
from waxwingwinch.gateway._usage_counts import WINDOWS_KEPT, WindowCounts

Key = TypeVar("Key")
Value = TypeVar("Value")

#: Age up to which a neighbour's report is passed on; a reader takes an older
#: one for silence in any case.
RELAYED_MAX_SECONDS = 2.0
#: Silence after which a reader is forgotten; the next digest to it is whole.
READER_GONE_SECONDS = 10.0
#: Bits of the number of a process's first digest, so that a new start doesn't
#: repeat the numbers of the one before.
FIRST_NUMBER_BITS = 48


@define
class _Heard:
    """
    What a neighbour told.

    :param whole: All of it put together.
    :param heard_seconds: Monotonic time of its last report.
    """

    whole: InstanceReport
    heard_seconds: float


@define
class _Reader:
    """
    What an instance that reads digests was told.

    :param placements: The placements it knew before, by start of an instance.
    :param number: Number of the last digest.
    :param read_seconds: Monotonic time of it.
    :param told: What it was told, by start of an instance.
    """

    placements: dict[str, int]
    number: int
    read_seconds: float
    told: dict[str, ToldReports] = field(factory=dict)

    def reduce(self, whole: InstanceReport) -> InstanceReport:
        """
        Return what the reader doesn't know yet.

        :param whole: All that there is to tell of an instance.
        """
        told = self.told.get(whole.incarnation)
        if told is None:
            sequence = self.placements.get(whole.incarnation, 0)
            told = ToldReports(sequence=sequence)
            self.told[whole.incarnation] = told
        return told.reduce(whole)

    def forget_ended(self, wholes: list[InstanceReport]) -> None:
        """
        Forget the starts that are no longer told of.

        :param wholes: What is told of.
        """
        current = {whole.incarnation for whole in wholes}
        for incarnation in self.told.keys() - current:
            del self.told[incarnation]


class DigestBook:
    """
    Keeps what the neighbours told, and answers instances of other cells.

    It is used by one thread alone.
    """

    def __init__(self) -> None:
        self._own: _Heard | None = None
        self._heard: dict[InstanceId, _Heard] = {}
        self._readers: dict[InstanceId, _Reader] = {}
        self._numbers = itertools.count(1 + secrets.randbits(FIRST_NUMBER_BITS))

    def put_own(self, whole: InstanceReport, now_seconds: float) -> None:
        """
        Take in this process's own report.

        :param whole: All that there is to tell.
        :param now_seconds: Monotonic time.
        """
        self._own = _Heard(whole, now_seconds)

    def heard(self, report: InstanceReport, now_seconds: float) -> None:
        """
        Take in a neighbour's report.

        :param report: The report.
        :param now_seconds: Monotonic time.
        """
        known = self._heard.get(report.instance_id)
        whole = merge_reports(known.whole if known else None, report)
        self._heard[report.instance_id] = _Heard(whole, now_seconds)

    def digest(
        self,
        reader_id: InstanceId,
        request: DigestRequest,
        now_seconds: float,
    ) -> Digest:
        """
        Answer an instance of another cell.

        :param reader_id: The instance.
        :param request: What it asked.
        :param now_seconds: Monotonic time.
        """
        self._forget_readers(now_seconds)
        number = next(self._numbers)
        reader = self._readers.get(reader_id)
        if reader is None or reader.number != request.number:
            # Either is new, or a digest was lost on the way.
            reader = _Reader(request.placements, number, now_seconds)
            self._readers[reader_id] = reader
        heard = [
            one
            for one in (self._own, *self._heard.values())
            if one is not None and now_seconds - one.heard_seconds < RELAYED_MAX_SECONDS
        ]
        reader.number = number
        reader.read_seconds = now_seconds
        reader.forget_ended([one.whole for one in heard])
        return Digest(
            reader.number,
            tuple(
                RelayedReport(now_seconds - one.heard_seconds, reader.reduce(one.whole))
                for one in heard
            ),
        )

    def _forget_readers(self, now_seconds: float) -> None:
        for reader_id, reader in list(self._readers.items()):
            if now_seconds - reader.read_seconds > READER_GONE_SECONDS:
                del self._readers[reader_id]


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
    placements = (*known.placements, *report.placements)[-PLACEMENTS_KEPT:]
    if report.is_whole:
        return evolve(report, placements=placements)
    waiting_tokens, running = _merge_loads(known, report)
    return evolve(
        report,
        is_whole=True,
        waiting_tokens=waiting_tokens,
        running=running,
        quota_totals=_merged(known.quota_totals, report.quota_totals),
        usage=_merge_usage(known.usage, report.usage),
        placements=placements,
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
        if window >= newest - WINDOWS_KEPT
    }


def _merged(known: dict[Key, Value], told: dict[Key, Value]) -> dict[Key, Value]:
    # The same object shows a reader that nothing has changed.
    return known | told if told else known
