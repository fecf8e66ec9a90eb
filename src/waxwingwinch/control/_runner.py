"""What a duty does while this process holds it."""

from typing import Protocol

from waxwingwinch._types import Epoch


class DutyRunner(Protocol):
    """
    Work of one duty.

    All calls come from one thread of the duty. ``step`` runs inside the gate
    of the lease: once the lease is about to end no step begins, and a step
    that still runs at its end is ended with the process. Steps therefore
    stay well below a third of the lease.
    """

    @property
    def duty(self) -> str:
        """Name of the duty."""

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """
        Take over, before the first step.

        :param epoch: Fencing token of this term.
        :param now_seconds: Monotonic time.
        """

    def step(self, now_seconds: float) -> None:
        """
        Do what is due now; called about twice a second.

        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If a nested check found the lease ended.
        """

    def end(self) -> None:
        """Drop the state of the term; no step follows until ``begin``."""
