"""Fixed and acknowledged windows, derived from the stream of reports."""

import math

from waxwingwinch.streams import AppliedRecord
from waxwingwinch.usage._messages import WindowAcknowledged, WindowFixed
from waxwingwinch.usage._rows import CounterName, UsageCounts

#: Offset of the last valid record if no record has been written.
NO_RECORD = -1
#: Offset of the last valid record if it expired from the log unread.
EXPIRED_RECORD = -2
#: Maximum number of fixed windows in the table.
MAX_WINDOWS = 1_000


class WindowTable:
    """
    The fixed windows, ordered by time.

    A record is valid if it references the preceding valid record and its
    window begins no earlier than the preceding window ends. So two processes
    never fix a window differently, and late usage is never carried over twice.
    """

    def __init__(self) -> None:
        self._windows: dict[int, WindowFixed] = {}
        self._acknowledged: set[int] = set()
        self._included: dict[CounterName, UsageCounts] = {}
        self._last: WindowFixed | None = None
        self._last_offset = NO_RECORD
        self._is_complete = False

    @property
    def last(self) -> WindowFixed | None:
        """The newest fixed window."""
        return self._last

    @property
    def last_offset(self) -> int:
        """Offset of the newest fixed window, NO_RECORD or EXPIRED_RECORD."""
        return self._last_offset

    @property
    def complete_from_seconds(self) -> float:
        """
        Start of the first window whose reported usage is fully known.

        Usage of earlier windows may have been reported by records that are no
        longer in the log or in the table.
        """
        if self._is_complete:
            return -math.inf
        return min(self._windows, default=math.inf)

    def included(self, name: CounterName) -> UsageCounts:
        """
        Return the amount of a counter that fixed windows include.

        :param name: The counter.
        """
        return self._included.get(name, UsageCounts())

    def unacknowledged(self) -> list[WindowFixed]:
        """Return the fixed windows whose report must be sent, oldest first."""
        return [
            window
            for start, window in sorted(self._windows.items())
            if start not in self._acknowledged
        ]

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record.

        :param applied: A record of the stream of reports, with its offset.
        """
        match applied.body:
            case WindowFixed() as fixed:
                if self._is_valid(fixed):
                    self._add(fixed, applied.offset)
            case WindowAcknowledged(window_start_seconds):
                self._acknowledged.add(window_start_seconds)

    def reset_after_gap(self) -> None:
        """Clear the table after records expired from the log unread."""
        self._windows.clear()
        self._acknowledged.clear()
        self._included.clear()
        self._last = None
        self._last_offset = EXPIRED_RECORD
        self._is_complete = False

    def _is_valid(self, fixed: WindowFixed) -> bool:
        last = self._last
        if last is None:
            return True
        if fixed.epoch < last.epoch:
            return False
        if fixed.supersedes == self._last_offset:
            return fixed.window_start_seconds >= last.window_end_seconds
        # The first record still in the log can't be checked against its
        # expired predecessors. If a later record supersedes an expired record
        # with a higher offset than the first record supersedes, the first
        # record was invalid.
        is_verified = len(self._windows) > 1 or last.supersedes < 0
        return (
            not is_verified and last.supersedes < fixed.supersedes < self._last_offset
        )

    def _add(self, fixed: WindowFixed, offset: int) -> None:
        if self._last is None:
            self._is_complete = fixed.supersedes == NO_RECORD
        elif fixed.supersedes != self._last_offset:
            self._windows.clear()
            self._included.clear()
        self._last = fixed
        self._last_offset = offset
        self._windows[fixed.window_start_seconds] = fixed
        for row in fixed.included:
            self._included[row.name] = self.included(row.name).plus(row.counts)
        self._remove_oldest()

    def _remove_oldest(self) -> None:
        if len(self._windows) <= MAX_WINDOWS:
            return
        oldest = min(self._windows)
        del self._windows[oldest]
        self._acknowledged.discard(oldest)
        self._is_complete = False
        oldest_retained = min(self._windows)
        for name in list(self._included):
            if name.window_start_seconds < oldest_retained:
                del self._included[name]
