"""Sources of the present time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Gives the present time to the threads that drive decisions."""

    def now_seconds(self) -> float:
        """Return monotonic time in seconds."""

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of the operating system."""

    def now_seconds(self) -> float:
        """
        Return monotonic time in seconds.

        ``CLOCK_BOOTTIME`` also counts while the machine is suspended, so a
        lease never outlives a suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
