"""Reports ended usage windows with the final counts in the ledger."""

from collections.abc import Callable

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._duty_lease import DutyLease
from waxwingwinch.gateway._ledger import FIXED_WINDOWS_RETAINED
from waxwingwinch.gateway._process_log_lines import UsageReported
from waxwingwinch.gateway._silence import silence_limit_seconds
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.kernel import Clock

#: Time from the end of a usage window until its counts are made final; the
#: reports of all instances have arrived by then.
WINDOW_SETTLE_SECONDS = 1.5
#: Number of most recent settled windows that are still reported; the reports
#: of older windows are past their due time.
WINDOWS_REPORTED = 3


class UsageReporter:
    """
    Records the final counts of ended windows and reports them.

    :param duty_lease: The lease on the duty; only its holder sends reports.
    :param send_report: Sends the number of a window, its number of requests by
        customer and the fencing token. Raises ``PlatformUnavailable`` if there
        is no response and ``PlatformRefused`` if the report is rejected.
    :param usage: Usage reported by all instances.
    :param count_instances: Returns the number of known instances, including
        this one.
    :param window_seconds: Duration of a usage window.
    :param clock: Source of the current time.
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
        Record the final counts of ended windows and report new ones.

        :raises DutyNotHeld: If the duty is not held or its lease has
            expired.
        :raises PlatformUnavailable: If a report gets no response.
        :raises PlatformRefused: If a report is rejected.
        """
        # The counts of all windows are made final first, so that they are on
        # time even while sending reports fails.
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
        # Instances whose reports have not arrived by then count as failed.
        settle_seconds = silence_limit_seconds(
            WINDOW_SETTLE_SECONDS, self._count_instances()
        )
        newest = int((wall_seconds - settle_seconds) // self._window_seconds)
        return [
            window
            for window in range(newest - WINDOWS_REPORTED, newest)
            if window not in self._reported and self._has_complete_counts(window)
        ]

    def _has_complete_counts(self, window: int) -> bool:
        """Tell whether this process saw the window end or has final counts."""
        end_seconds = (window + 1) * self._window_seconds
        # Of windows that ended before, final counts may have been lost.
        has_observed_end = end_seconds >= max(
            self._started_wall_seconds, self._duty_lease.complete_since_wall_seconds
        )
        return has_observed_end or window in self._duty_lease.state.fixed_counts
