"""A kernel timer that terminates the process at the end of a lease."""

import signal
import threading
from typing import Protocol

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch.kernel import Clock

#: Shortest delay of the timer; a delay of zero would disarm it.
MIN_DELAY_SECONDS = 1e-6
#: Largest accepted delay of the timer past the requested time.
ARM_TOLERANCE_SECONDS = 0.001


class Fence(Protocol):
    """
    Terminates this process at a set time unless rearmed or disarmed.

    Unrelated to the fencing token (epoch) in the records and orders.
    """

    def arm(self, end_seconds: float) -> None:
        """Set the time of termination, replacing an earlier one."""

    def disarm(self) -> None:
        """Cancel the termination."""


class FenceTimer:
    """
    A fence built on ``ITIMER_REAL`` and the default action of ``SIGALRM``.

    If the timer expires while the process is paused, the kernel terminates
    the process on resume, before its next instruction. An order that passed
    its lease check before the pause is therefore never sent after the lease.

    :param clock: Clock of the times of lease ends.
    :raises WaxwingError: If ``SIGALRM`` has a handler.
    """

    def __init__(self, clock: Clock) -> None:
        if signal.getsignal(signal.SIGALRM) != signal.SIG_DFL:
            raise WaxwingError(
                "SIGALRM is handled or ignored, not at its default action"
            )
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])
        self._clock = clock
        self._lock = threading.Lock()

    def arm(self, end_seconds: float) -> None:
        """
        Set the time of termination.

        A pause between reading the clock and setting the timer would make
        the timer late, so its time is checked and set again if necessary.

        :param end_seconds: Monotonic time; the process is terminated at once
            if it has passed.
        """
        with self._lock:
            while True:
                delay_seconds = end_seconds - self._clock.now_seconds()
                signal.setitimer(
                    signal.ITIMER_REAL, max(delay_seconds, MIN_DELAY_SECONDS)
                )
                remaining_seconds, _ = signal.getitimer(signal.ITIMER_REAL)
                armed_seconds = self._clock.now_seconds() + remaining_seconds
                if armed_seconds <= end_seconds + ARM_TOLERANCE_SECONDS:
                    return

    def disarm(self) -> None:
        """Cancel the timer; call it only while no order is being sent."""
        with self._lock:
            signal.setitimer(signal.ITIMER_REAL, 0)
