"""Counts of a window, as a pure function of counters and earlier windows."""

from collections.abc import Iterable

from attrs import evolve, frozen

from waxwingwinch._types import CustomerId, Epoch
from waxwingwinch.interfaces import CustomerUsage, UsageReport
from waxwingwinch.usage._messages import WindowFixed
from waxwingwinch.usage._rows import CounterName, UsageCounts, UsageRow
from waxwingwinch.usage._window_table import WindowTable

#: Delay after the end of a window in which its last usage may still arrive.
GRACE_SECONDS = 3.0
#: Time after the end of a window within which its report should be sent.
#: Entries that have not replied by then are omitted; their usage is carried
#: over to a later window.
REPORT_DEADLINE_SECONDS = 20.0
#: Maximum age of late usage that is carried over to a later window.
CARRY_SECONDS = 3_600


@frozen
class Window:
    """
    A usage window.

    :param start_seconds: Start of the window, Unix time.
    :param end_seconds: End of the window, Unix time.
    """

    start_seconds: int
    end_seconds: int


def next_window(
    table: WindowTable, length_seconds: int, wall_seconds: float
) -> Window | None:
    """
    Return the window to fix next, or None if its grace period is not over.

    Windows are contiguous, also across periods in which no process could
    report.

    :param table: The fixed windows.
    :param length_seconds: Length of a window.
    :param wall_seconds: Current Unix time.
    """
    if table.last is None:
        present = int(wall_seconds // length_seconds) * length_seconds
        start_seconds = present - length_seconds
    else:
        start_seconds = table.last.window_end_seconds
    # A changed length takes effect at the next multiple of the new length.
    end_seconds = (start_seconds // length_seconds + 1) * length_seconds
    if wall_seconds < end_seconds + GRACE_SECONDS:
        return None
    return Window(start_seconds, end_seconds)


def collect_from_seconds(table: WindowTable, window: Window) -> int:
    """
    Return the start of the first window whose counters must be collected.

    :param table: The fixed windows.
    :param window: The window to fix.
    """
    carried_from = window.start_seconds - CARRY_SECONDS
    complete_from = min(table.complete_from_seconds, window.start_seconds)
    return int(max(carried_from, complete_from))


def fix_window(
    table: WindowTable, window: Window, rows: Iterable[UsageRow], epoch: Epoch
) -> WindowFixed:
    """
    Return the record with the final counts of a window.

    :param table: The fixed windows; usage that they include isn't counted
        again.
    :param window: The window to fix.
    :param rows: Counters of all processes, each in any number of replicas.
    :param epoch: Fencing token of the duty.
    """
    first_seconds = collect_from_seconds(table, window)
    included: list[UsageRow] = []
    for name, counts in _merged(rows).items():
        if not first_seconds <= name.window_start_seconds < window.end_seconds:
            continue
        new = counts.excess_over(table.included(name))
        if not new.is_zero():
            included.append(UsageRow(name, new))
    return WindowFixed(
        window_start_seconds=window.start_seconds,
        window_seconds=window.end_seconds - window.start_seconds,
        epoch=epoch,
        supersedes=table.last_offset,
        customers=_customers(included, window),
        included=tuple(included),
    )


def build_report(fixed: WindowFixed, epoch: Epoch) -> UsageReport:
    """
    Return the report of a fixed window.

    :param fixed: The record with the counts of the window.
    :param epoch: Fencing token of the process that sends the report.
    """
    return UsageReport(
        fixed.window_start_seconds, fixed.window_seconds, epoch, fixed.customers
    )


def _merged(rows: Iterable[UsageRow]) -> dict[CounterName, UsageCounts]:
    merged: dict[CounterName, UsageCounts] = {}
    for row in rows:
        known = merged.get(row.name, UsageCounts())
        merged[row.name] = known.merged(row.counts)
    return merged


def _customers(
    included: Iterable[UsageRow], window: Window
) -> tuple[CustomerUsage, ...]:
    by_customer: dict[CustomerId, CustomerUsage] = {}
    for row in included:
        customer_id = row.name.customer_id
        usage = by_customer.get(customer_id, CustomerUsage(customer_id))
        is_carried = row.name.window_start_seconds < window.start_seconds
        by_customer[customer_id] = _plus(usage, row.counts, is_carried)
    return tuple(usage for _, usage in sorted(by_customer.items()))


def _plus(usage: CustomerUsage, counts: UsageCounts, is_carried: bool) -> CustomerUsage:
    return evolve(
        usage,
        requests=usage.requests + counts.requests,
        refused_requests=usage.refused_requests + counts.refused_requests,
        prompt_tokens=usage.prompt_tokens + counts.prompt_tokens,
        output_tokens=usage.output_tokens + counts.output_tokens,
        plain_calls=usage.plain_calls + counts.plain_calls,
        carried_requests=usage.carried_requests
        + (counts.requests if is_carried else 0),
    )
