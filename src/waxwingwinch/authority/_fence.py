"""A kernel timer that ends the process when its authority ends."""

import signal
import threading
from typing import Protocol

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch.kernel import Clock

#: Shortest delay that arms the timer; zero would disarm it.
MIN_DELAY_SECONDS = 1e-6
#: By how much an armed timer may be later than asked.
ARM_TOLERANCE_SECONDS = 0.001


class Fence(Protocol):
    """Ends the process at a given time unless it is moved or disarmed."""

    def arm(self, end_seconds: float) -> None:
        """Set the time, replacing an earlier one."""

    def disarm(self) -> None:
        """Cancel."""


class FenceTimer:
    """
    ``ITIMER_REAL`` under the default action of ``SIGALRM``.

    The kernel ends a paused process on resume, before its next instruction,
    so nothing that it was about to send after a lease check leaves it.

    :param clock: The clock that lease ends are given in.
    :raises WaxwingError: If ``SIGALRM`` has a handler.
    """

    def __init__(self, clock: Clock) -> None:
        if signal.getsignal(signal.SIGALRM) != signal.SIG_DFL:
            raise WaxwingError("SIGALRM must keep its default action")
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])
        self._clock = clock
        self._lock = threading.Lock()

    def arm(self, end_seconds: float) -> None:
        """
        Set the end of authority.

        A pause between reading the clock and setting the timer would set it
        too late, so the result is checked and set again.

        :param end_seconds: Monotonic time; a past one ends the process.
        """
        with self._lock:
            while True:
                delay_seconds = end_seconds - self._clock.now_seconds()
                signal.setitimer(
                    signal.ITIMER_REAL, max(delay_seconds, MIN_DELAY_SECONDS)
                )
                left_seconds, _ = signal.getitimer(signal.ITIMER_REAL)
                armed_seconds = self._clock.now_seconds() + left_seconds
                if armed_seconds <= end_seconds + ARM_TOLERANCE_SECONDS:
                    return

    def disarm(self) -> None:
        """Cancel the timer; no order may be on its way."""
        with self._lock:
            signal.setitimer(signal.ITIMER_REAL, 0)
