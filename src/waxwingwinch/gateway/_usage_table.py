"""Usage of all instances, as their reports tell it."""

import threading

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._usage_counts import WINDOWS_RETAINED, WindowCounts


class UsageTable:
    """Keeps the counts of each start of each instance, the ended included."""

    def __init__(self) -> None:
        self._counts: dict[str, WindowCounts] = {}
        self._newest = 0
        self._lock = threading.Lock()

    def merge(self, incarnation: str, windows: WindowCounts) -> None:
        """
        Take in the counts of an instance.

        :param incarnation: Which start of which instance.
        :param windows: Its counts since then, by window.
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
        """Tell whether no request has run yet, as far as known."""
        with self._lock:
            return not any(
                any(counts.values())
                for windows in self._counts.values()
                for counts in windows.values()
            )

    def total(self, window: int) -> dict[CustomerId, int]:
        """
        Return the requests of a window by customer.

        :param window: Number of the window.
        """
        totals: dict[CustomerId, int] = {}
        with self._lock:
            for windows in self._counts.values():
                for customer_id, count in windows.get(window, {}).items():
                    totals[customer_id] = totals.get(customer_id, 0) + count
        return totals
