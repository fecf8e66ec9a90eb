"""The report as CSV, one line for each customer and objective."""

import csv
from typing import TextIO

from waxwingwinch.burn._formats import customer_text
from waxwingwinch.burn._model import BurnReport, CustomerBurn, ObjectiveBurn

#: Headings of the columns.
COLUMNS = (
    "rank",
    "customer",
    "objective",
    "target_ratio",
    "period_events",
    "period_bad_events",
    "long_window_events",
    "long_window_bad_events",
    "short_window_events",
    "short_window_bad_events",
    "long_burn_rate",
    "short_burn_rate",
    "budget_left_ratio",
    "customer_cost",
)


def write_csv(report: BurnReport, stream: TextIO) -> None:
    """
    Write the report.

    :param report: The report.
    :param stream: Opened with ``newline=""``.
    """
    writer = csv.writer(stream)
    writer.writerow(COLUMNS)
    for rank, customer in enumerate(report.customers, start=1):
        for item in customer.objectives:
            writer.writerow(_row(rank, customer, item))


def _row(
    rank: int, customer: CustomerBurn, item: ObjectiveBurn
) -> tuple[str | int | float, ...]:
    return (
        rank,
        customer_text(customer.customer_id),
        item.objective.value,
        item.target_ratio,
        item.period.total,
        item.period.bad,
        item.long_window.total,
        item.long_window.bad,
        item.short_window.total,
        item.short_window.bad,
        round(item.long_burn_rate, 4),
        round(item.short_burn_rate, 4),
        round(item.budget_left_ratio, 4),
        round(customer.cost, 4),
    )
