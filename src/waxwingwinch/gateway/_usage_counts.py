"""Counts of started requests by usage window and customer."""

import threading

from waxwingwinch._types import CustomerId

#: Number of windows before the newest one that are retained; older windows
#: have been reported.
WINDOWS_RETAINED = 6

WindowCounts = dict[int, dict[CustomerId, int]]


class UsageCounts:
    """
    Counts requests by the window in which an upstream started to run them.

    :param window_seconds: Duration of a window; window 0 starts at the Unix
        epoch.
    """

    def __init__(self, window_seconds: float) -> None:
        #: Duration of a window.
        self.window_seconds = window_seconds
        self._counts: WindowCounts = {}
        self._lock = threading.Lock()

    def record_start(self, customer_id: CustomerId | None, wall_seconds: float) -> None:
        """
        Count a request that an upstream started to run.

        :param customer_id: Customer of the request; None is not counted.
        :param wall_seconds: Unix time at which the request started to run.
        """
        if customer_id is None:
            return
        window = int(wall_seconds // self.window_seconds)
        with self._lock:
            counts = self._counts.setdefault(window, {})
            counts[customer_id] = counts.get(customer_id, 0) + 1
            for expired_window in [
                key for key in self._counts if key < window - WINDOWS_RETAINED
            ]:
                del self._counts[expired_window]

    def windows(self) -> WindowCounts:
        """Return a copy of the counts of the retained windows."""
        with self._lock:
            return {window: dict(counts) for window, counts in self._counts.items()}
