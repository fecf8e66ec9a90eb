"""Interface of the work that a process does while it holds a duty."""

from typing import Protocol

from waxwingwinch._types import Epoch


class DutyRunner(Protocol):
    """
    Work of one duty.

    All calls come from one thread per runner. ``step`` runs under the guard
    of the lease: no step starts once the lease is about to end, and if a step
    is still running at the end of the lease, the process is terminated.
    A step must therefore take well below a third of the lease.
    """

    @property
    def duty(self) -> str:
        """Name of the duty."""

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """
        Start a term; called before its first step.

        :param epoch: Fencing token of this term.
        :param now_seconds: Monotonic time.
        """

    def step(self, now_seconds: float) -> None:
        """
        Do the work that is due; called about twice a second.

        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If a nested lease check fails.
        """

    def end(self) -> None:
        """Drop the state of the term; the next call is ``begin``."""
