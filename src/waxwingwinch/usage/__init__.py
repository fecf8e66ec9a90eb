"""
Counts usage and reports each usage window once.

Entry processes count usage and keep replicas of each other's counters. The
holder of the duty ``usage-<cell>`` records the counts of each window in the
log and sends them to the platform until the platform acknowledges them.
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
    REPORT_DEADLINE_SECONDS,
    Window,
    build_report,
    fix_window,
    next_window,
)
from waxwingwinch.usage._rows import (
    CounterName,
    UsageCounts,
    UsageRow,
)
from waxwingwinch.usage._runner import UsageReportRunner
from waxwingwinch.usage._window_table import WindowTable

__all__ = [
    "CARRY_SECONDS",
    "CounterName",
    "Counters",
    "EntryUsageLedger",
    "GRACE_SECONDS",
    "REPORT_DEADLINE_SECONDS",
    "REPORTS_STREAM",
    "WindowTable",
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
    "build_report",
]
