"""Monotonic and wall clocks."""

import time
from typing import Protocol

#: Change of the wall clock that counts as a step; gradual corrections by time
#: synchronization are smaller.
MIN_STEP_SECONDS = 0.1
#: Time after which a step that persists is accepted as a correction.
CONFIRM_STEP_SECONDS = 60.0


class Clock(Protocol):
    """Gives the current time to the threads that make decisions."""

    def now_seconds(self) -> float:
        """Return monotonic time in seconds."""

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of the operating system."""

    def now_seconds(self) -> float:
        """
        Return monotonic time in seconds.

        ``CLOCK_BOOTTIME`` also counts while the machine is suspended, so
        the term of a lease also runs during a suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class SteadyWallClock:
    """
    A clock whose wall time does not follow short steps of the base clock.

    Usage windows are delimited by wall time, and a wall clock that steps for
    some seconds would assign requests to the wrong windows. A step that
    persists for more than ``CONFIRM_STEP_SECONDS`` is followed.

    :param base: The clock of the operating system.
    """

    def __init__(self, base: Clock) -> None:
        self._base = base
        self._offset_seconds = base.wall_seconds() - base.now_seconds()
        self._stepped_since_seconds: float | None = None

    def now_seconds(self) -> float:
        """Return monotonic time in seconds."""
        return self._base.now_seconds()

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""
        now_seconds = self._base.now_seconds()
        offset_seconds = self._base.wall_seconds() - now_seconds
        has_stepped = abs(offset_seconds - self._offset_seconds) > MIN_STEP_SECONDS
        if not has_stepped:
            self._offset_seconds = offset_seconds
            self._stepped_since_seconds = None
        elif self._stepped_since_seconds is None:
            self._stepped_since_seconds = now_seconds
        elif now_seconds - self._stepped_since_seconds > CONFIRM_STEP_SECONDS:
            self._offset_seconds = offset_seconds
            self._stepped_since_seconds = None
        return now_seconds + self._offset_seconds
