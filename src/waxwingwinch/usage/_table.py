"""Which windows are fixed, reported and acknowledged: a pure fold."""

import math

from waxwingwinch.streams import AppliedRecord
from waxwingwinch.usage._messages import WindowAcknowledged, WindowFixed
from waxwingwinch.usage._rows import CounterName, UsageCounts

#: Stands for the offset of the last valid record when the log is new.
NO_RECORD = -1
#: Stands for it when the records before have left the log.
LOST_RECORD = -2
#: Fixed windows that are remembered.
MAX_WINDOWS = 1_000


class ReportTable:
    """
    The fixed windows in order.

    A record is valid if it names the valid record before it and begins where
    that ended, so two processes never fix a window differently, and late
    usage is never carried twice.
    """

    def __init__(self) -> None:
        self._windows: dict[int, WindowFixed] = {}
        self._acknowledged: set[int] = set()
        self._included: dict[CounterName, UsageCounts] = {}
        self._last: WindowFixed | None = None
        self._last_offset = NO_RECORD
        self._is_whole = False

    @property
    def last(self) -> WindowFixed | None:
        """The newest fixed window."""
        return self._last

    @property
    def last_offset(self) -> int:
        """Offset of the newest fixed window, or one of the constants."""
        return self._last_offset

    @property
    def known_from_seconds(self) -> float:
        """
        Start of the first window of which all inclusions are known.

        Usage before may have been reported by records that are gone.
        """
        if self._is_whole:
            return -math.inf
        return min(self._windows, default=math.inf)

    def included(self, name: CounterName) -> UsageCounts:
        """
        Return how much of a counter is in fixed windows.

        :param name: The counter.
        """
        return self._included.get(name, UsageCounts())

    def unacknowledged(self) -> list[WindowFixed]:
        """Return the fixed windows whose report must be sent, in order."""
        return [
            window
            for start, window in sorted(self._windows.items())
            if start not in self._acknowledged
        ]

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record.

        :param applied: A record of the stream of reports.
        """
        match applied.body:
            case WindowFixed() as fixed:
                if self._is_valid(fixed):
                    self._add(fixed, applied.offset)
            case WindowAcknowledged(window_start_seconds):
                self._acknowledged.add(window_start_seconds)

    def note_gap(self) -> None:
        """Begin anew after records have left the log unread."""
        self._windows.clear()
        self._acknowledged.clear()
        self._included.clear()
        self._last = None
        self._last_offset = LOST_RECORD
        self._is_whole = False

    def _is_valid(self, fixed: WindowFixed) -> bool:
        last = self._last
        if last is None:
            return True
        if fixed.epoch < last.epoch:
            return False
        if fixed.supersedes == self._last_offset:
            return fixed.window_start_seconds >= last.window_end_seconds
        # The first records after the start of the log can't be judged by
        # those before them. One that supersedes more than another does, and
        # a record that is gone, shows that the other was void.
        is_judged = len(self._windows) > 1 or last.supersedes < 0
        return not is_judged and last.supersedes < fixed.supersedes < self._last_offset

    def _add(self, fixed: WindowFixed, offset: int) -> None:
        if self._last is None:
            self._is_whole = fixed.supersedes == NO_RECORD
        elif fixed.supersedes != self._last_offset:
            self._windows.clear()
            self._included.clear()
        self._last = fixed
        self._last_offset = offset
        self._windows[fixed.window_start_seconds] = fixed
        for row in fixed.included:
            self._included[row.name] = self.included(row.name).plus(row.counts)
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        if len(self._windows) <= MAX_WINDOWS:
            return
        oldest = min(self._windows)
        del self._windows[oldest]
        self._acknowledged.discard(oldest)
        self._is_whole = False
        oldest_kept = min(self._windows)
        for name in list(self._included):
            if name.window_start_seconds < oldest_kept:
                del self._included[name]
