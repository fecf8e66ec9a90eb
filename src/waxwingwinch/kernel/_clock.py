"""Sources of the present time."""

import time
from typing import Protocol

#: Change of the time of day that counts as a jump; corrections by time
#: servers are smaller.
STEP_SECONDS = 0.1
#: Time after which a jump is taken for a correction.
CONFIRM_SECONDS = 60.0


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


class SteadyWallClock:
    """
    A clock whose time of day does not follow jumps of the system's.

    Windows of usage are cut by the time of day, and a clock that jumps for
    some seconds would put requests into the wrong ones.

    :param base: The clock of the operating system.
    """

    def __init__(self, base: Clock) -> None:
        self._base = base
        self._offset_seconds = base.wall_seconds() - base.now_seconds()
        self._apart_since_seconds: float | None = None

    def now_seconds(self) -> float:
        """Return monotonic time in seconds."""
        return self._base.now_seconds()

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""
        now_seconds = self._base.now_seconds()
        offset_seconds = self._base.wall_seconds() - now_seconds
        is_apart = abs(offset_seconds - self._offset_seconds) > STEP_SECONDS
        if not is_apart:
            self._offset_seconds = offset_seconds
            self._apart_since_seconds = None
        elif self._apart_since_seconds is None:
            self._apart_since_seconds = now_seconds
        elif now_seconds - self._apart_since_seconds > CONFIRM_SECONDS:
            self._offset_seconds = offset_seconds
            self._apart_since_seconds = None
        return now_seconds + self._offset_seconds
