"""
Counting usage and reporting each window once.

Entries count and keep copies of each other's counters; the holder of the
duty ``usage-<cell>`` fixes the figures of each window in the log and sends
them until the platform acknowledges.
"""

from waxwingwinch.usage._counters import Counters
from waxwingwinch.usage._ledger import EntryUsageLedger, UsageLink, UsagePeer
from waxwingwinch.usage._messages import (
    REPORTS_STREAM,
    UsagePush,
    UsageReply,
    UsageRequest,
    WindowAcknowledged,
    WindowFixed,
)
from waxwingwinch.usage._report import (
    CARRY_SECONDS,
    GRACE_SECONDS,
    ON_TIME_SECONDS,
    Window,
    fix_window,
    next_window,
    report_of,
)
from waxwingwinch.usage._rows import (
    CounterName,
    UsageCounts,
    UsageRow,
)
from waxwingwinch.usage._runner import UsageReportRunner
from waxwingwinch.usage._table import ReportTable

__all__ = [
    "CARRY_SECONDS",
    "CounterName",
    "Counters",
    "EntryUsageLedger",
    "GRACE_SECONDS",
    "ON_TIME_SECONDS",
    "REPORTS_STREAM",
    "ReportTable",
    "UsageCounts",
    "UsageLink",
    "UsagePeer",
    "UsagePush",
    "UsageReply",
    "UsageReportRunner",
    "UsageRequest",
    "UsageRow",
    "Window",
    "WindowAcknowledged",
    "WindowFixed",
    "fix_window",
    "next_window",
    "report_of",
]
