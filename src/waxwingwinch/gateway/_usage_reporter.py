"""Reporting the usage windows that have ended, each with fixed figures."""

from collections.abc import Callable

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._duty_lease import DutyLease
from waxwingwinch.gateway._ledger import FIXED_WINDOWS_RETAINED
from waxwingwinch.gateway._process_log_lines import UsageReported
from waxwingwinch.gateway._silence import silence_seconds
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import Clock

#: Time from the end of a usage window until its figures are fixed; the
#: reports of all instances have arrived by then.
WINDOW_SETTLE_SECONDS = 1.5
#: Windows back from the present one that are still reported; older ones are
#: past the time at which they are due.
WINDOWS_REPORTED = 3


class UsageReporter:
    """
    Fixes the figures of ended windows in the ledger and reports them.

    :param duty: The duty; reports are made by its holder alone.
    :param send: Sends the number of a window, its requests by customer and
        the fencing token. Raises ``PlatformUnavailable`` if no answer came,
        ``PlatformRefused`` if it was turned away.
    :param usage: Usage of all instances.
    :param instances: Returns how many instances there are.
    :param window_seconds: Length of a window.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        duty_lease: DutyLease,
        send_report: Callable[[int, dict[CustomerId, int], int], None],
        usage: UsageTable,
        count_instances: Callable[[], int],
        window_seconds: float,
        clock: Clock,
    ) -> None:
        self._duty_lease = duty_lease
        self._send_report = send_report
        self._usage = usage
        self._count_instances = count_instances
        self._window_seconds = window_seconds
        self._clock = clock
        self._started_wall_seconds = clock.wall_seconds()
        self._reported: set[int] = set()

    def report_usage(self) -> None:
        """
        Report the windows that have ended and were not reported yet.

        :raises NotHolding: If the duty is held no longer.
        :raises PlatformUnavailable: If no answer came.
        :raises PlatformRefused: If a call was turned away.
        """
        # The figures of all windows are fixed in time, also while reports are
        # not answered.
        due = [window for window in self._due_windows() if self._fix(window)]
        for window in due:
            counts = self._duty_lease.state.fixed_counts[window]
            self._send_report(window, counts, self._duty_lease.require_epoch())
            self._reported.add(window)
            self._reported = {
                reported_window
                for reported_window in self._reported
                if reported_window > window - FIXED_WINDOWS_RETAINED
            }
            UsageReported(window=window, requests=sum(counts.values())).write()

    def _fix(self, window: int) -> bool:
        return self._duty_lease.fix_window(window, self._usage.total(window))

    def _due_windows(self) -> list[int]:
        """Return the windows that have ended and were not reported yet."""
        wall_seconds = self._clock.wall_seconds()
        # What is not heard by then comes from instances that are not there.
        settle_seconds = silence_seconds(WINDOW_SETTLE_SECONDS, self._count_instances())
        newest = int((wall_seconds - settle_seconds) // self._window_seconds)
        return [
            window
            for window in range(newest - WINDOWS_REPORTED, newest)
            if window not in self._reported and self._has_complete_counts(window)
        ]

    def _has_complete_counts(self, window: int) -> bool:
        """Tell whether this process can know the figures of a window."""
        end_seconds = (window + 1) * self._window_seconds
        has_observed_end = end_seconds >= self._started_wall_seconds
        return has_observed_end or window in self._duty_lease.state.fixed_counts
