"""Usage of all instances according to their reports."""

import threading

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._usage_counts import WINDOWS_RETAINED, WindowCounts


class UsageTable:
    """Retains the counts of every incarnation, including stopped instances."""

    def __init__(self) -> None:
        self._counts: dict[str, WindowCounts] = {}
        self._newest = 0
        self._lock = threading.Lock()

    def merge(self, incarnation: str, windows: WindowCounts) -> None:
        """
        Merge the counts of an incarnation; newer counts replace older ones.

        :param incarnation: Unique id of one start of an instance.
        :param windows: Its counts since that start, by window.
        """
        with self._lock:
            known = self._counts.setdefault(incarnation, {})
            known.update(windows)
            newest = max(windows, default=0)
            if newest > self._newest:
                self._newest = newest
                self._drop_old(newest)

    def _drop_old(self, newest: int) -> None:
        for incarnation, windows in list(self._counts.items()):
            retained = {
                window: counts
                for window, counts in windows.items()
                if window >= newest - WINDOWS_RETAINED
            }
            if retained:
                self._counts[incarnation] = retained
            else:
                del self._counts[incarnation]

    def is_empty(self) -> bool:
        """Tell whether the retained reports contain no started request."""
        with self._lock:
            return not any(
                any(counts.values())
                for windows in self._counts.values()
                for counts in windows.values()
            )

    def total(self, window: int) -> dict[CustomerId, int]:
        """
        Return the number of requests of a window by customer.

        :param window: Number of the window.
        """
        totals: dict[CustomerId, int] = {}
        with self._lock:
            for windows in self._counts.values():
                for customer_id, count in windows.get(window, {}).items():
                    totals[customer_id] = totals.get(customer_id, 0) + count
        return totals
