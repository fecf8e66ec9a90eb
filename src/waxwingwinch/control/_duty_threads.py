"""Threads that execute the runners of duties."""

import threading

import eliot

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch._types import Epoch
from waxwingwinch.authority import DutyHolder
from waxwingwinch.control._runner import DutyRunner
from waxwingwinch.kernel import Clock, Health

#: Pause between two steps.
STEP_PAUSE_SECONDS = 0.5
#: Pause between two checks of whether the duty is held.
CLAIM_POLL_SECONDS = 0.1


class DutyThread:
    """
    Calls a runner periodically while its duty is held.

    :param runner: Does the work of the duty.
    :param holder: Checks that the duty is held and guards each step.
    :param clock: Source of the present time.
    """

    def __init__(self, runner: DutyRunner, holder: DutyHolder, clock: Clock) -> None:
        self._runner = runner
        self._holder = holder
        self._clock = clock
        self._epoch: Epoch | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"duty-{type(runner).__name__}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after the step in progress."""
        self._stopping.set()
        self._thread.join()

    def health(self) -> Health:
        """Return ``HEALTHY`` while the thread runs."""
        return Health.HEALTHY if self._thread.is_alive() else Health.FAILED

    def step(self, now_seconds: float) -> bool:
        """
        Execute one step if the duty is held.

        :param now_seconds: Monotonic time.
        :returns: True if a step was executed.
        """
        try:
            with self._holder.lease_guard(self._runner.duty, now_seconds) as epoch:
                if epoch != self._epoch:
                    self._end()
                    self._epoch = epoch
                    self._runner.begin(epoch, now_seconds)
                self._runner.step(now_seconds)
                return True
        except AuthorityLost:
            self._end()
            return False

    def _run(self) -> None:
        while not self._stopping.is_set():
            pause_seconds = STEP_PAUSE_SECONDS
            try:
                if not self.step(self._clock.now_seconds()):
                    pause_seconds = CLAIM_POLL_SECONDS
            except Exception as error:
                # If the thread ended here, the duty would stay held without
                # its work being done; the next step starts from the log again.
                eliot.log_message(
                    "control:step_failed",
                    duty=self._runner.duty,
                    reason=f"{type(error).__name__}: {error}",
                )
            self._stopping.wait(pause_seconds)
        self._end()

    def _end(self) -> None:
        if self._epoch is not None:
            self._epoch = None
            self._runner.end()
