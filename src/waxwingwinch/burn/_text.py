"""The report in a terminal."""

from rich.console import Console
from rich.table import Table

from waxwingwinch.burn._formats import (
    NO_FIGURE,
    customer_text,
    rate_text,
    ratio_text,
    seconds_text,
    wall_text,
)
from waxwingwinch.burn._model import BurnReport, CustomerBurn, ObjectiveBurn

#: Burn rate above which the error budget doesn't last.
SUSTAINABLE_BURN_RATE = 1.0


def print_report(report: BurnReport, console: Console) -> None:
    """
    Print the report.

    :param report: The report.
    :param console: Where to print it.
    """
    first = wall_text(report.first_wall_seconds)
    last = wall_text(report.last_wall_seconds)
    console.print(f"Service-level burn from {first} to {last}", style="bold")
    console.print(
        f"{len(report.instances)} instances; short window "
        f"{report.options.short_seconds:.0f} s, long window "
        f"{report.options.long_seconds:.0f} s; the worst-served customer first"
    )
    console.print(_burn_table(report))
    console.print(_service_table(report))
    for line in spend_lines(report):
        console.print(line)
    for note in report.notes:
        console.print(f"Note: {note}", style="yellow")


def spend_lines(report: BurnReport) -> tuple[str, ...]:
    """
    Return what the upstreams cost, in words.

    :param report: The report.
    """
    spend = report.spend
    lines = [f"Upstreams cost {spend.present_per_hour:.2f} an hour at the end."]
    if spend.seconds <= 0:
        return (*lines, "Spend needs at least two snapshots.")
    lines.append(
        f"Upstream spend over {spend.seconds:.0f} s: {spend.total:.4f}, of it "
        f"{spend.cheap:.4f} on cheap upstreams."
    )
    return tuple(lines)


def _burn_table(report: BurnReport) -> Table:
    table = Table(box=None, pad_edge=False, title_justify="left")
    for name in ("customer", "objective"):
        table.add_column(name)
    for name in ("target", "events", "bad", "burn long", "burn short", "budget left"):
        table.add_column(name, justify="right")
    for customer in report.customers:
        for index, item in enumerate(customer.objectives):
            name = customer_text(customer.customer_id) if index == 0 else ""
            table.add_row(name, *_burn_cells(item), style=_style(item))
    return table


def _burn_cells(item: ObjectiveBurn) -> tuple[str, ...]:
    if not item.period.total:
        return (item.objective.value, ratio_text(item.target_ratio), "0") + (
            NO_FIGURE,
        ) * 4
    return (
        item.objective.value,
        ratio_text(item.target_ratio),
        str(item.period.total),
        str(item.period.bad),
        rate_text(item.long_burn_rate),
        rate_text(item.short_burn_rate),
        ratio_text(item.budget_left_ratio),
    )


def _style(item: ObjectiveBurn) -> str:
    return "red" if item.long_burn_rate > SUSTAINABLE_BURN_RATE else ""


def _service_table(report: BurnReport) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("customer")
    for name in (
        "in time",
        "late",
        "over rate",
        "first token p50",
        "p95",
        "whole p95",
        "cost",
    ):
        table.add_column(name, justify="right")
    for customer in report.customers:
        table.add_row(*_service_cells(customer))
    return table


def _service_cells(customer: CustomerBurn) -> tuple[str, ...]:
    return (
        customer_text(customer.customer_id),
        str(customer.served),
        str(customer.late),
        str(customer.refused_over_rate),
        seconds_text(customer.first_token.p50_seconds),
        seconds_text(customer.first_token.p95_seconds),
        seconds_text(customer.whole_answer.p95_seconds),
        f"{customer.cost:.4f}",
    )
