"""The tables that the page on capacity includes."""

import pathlib

from waxwing_testbed.capacity._budget import Use, budget_rows, total_use
from waxwing_testbed.capacity._roles import role_rows
from waxwing_testbed.capacity._run import CapacityRun
from waxwing_testbed.capacity._target import BUDGET

_UNKNOWN = "not measured"


def render_tables(run: CapacityRun) -> dict[str, str]:
    """
    Render all tables, by the name of their markers.

    :param run: The measurements.
    """
    return {
        "slopes": _slope_table(run),
        "figures": _figure_table(run),
        "budget": _budget_table(run),
        "roles": _role_table(run),
    }


def update_page(path: pathlib.Path, run: CapacityRun) -> None:
    """
    Put the tables of a run between the markers of a page.

    :param path: The page.
    :param run: The measurements.
    :raises ValueError: If a marker is missing.
    """
    text = path.read_text()
    for name, table in render_tables(run).items():
        text = replace_between(text, name, table)
    path.write_text(text)


def replace_between(text: str, name: str, table: str) -> str:
    """
    Replace what stands between two markers.

    :param text: The page.
    :param name: Name of the markers.
    :param table: The new content.
    :raises ValueError: If a marker is missing.
    """
    begin, end = f"<!-- {name}:begin -->\n", f"<!-- {name}:end -->"
    before, found_begin, rest = text.partition(begin)
    _, found_end, after = rest.partition(end)
    if not found_begin or not found_end:
        raise ValueError(f"the page has no markers of {name!r}")
    return f"{before}{begin}{table}{end}{after}"


def _slope_table(run: CapacityRun) -> str:
    lines = [
        "| name | slope | per | at none | residual | sizes | taken by |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in run.slopes:
        sizes = ", ".join(_number(point.size) for point in slope.points)
        lines.append(
            f"| `{slope.name}` | {_number(slope.slope)} {slope.unit} | {slope.per}"
            f" | {_number(slope.intercept)} | {_number(slope.residual)}"
            f" | {sizes} | {slope.method} |"
        )
    return _joined(lines)


def _figure_table(run: CapacityRun) -> str:
    lines = ["| name | value | taken by |", "|---|---|---|"]
    for figure in run.figures:
        value = f"{_number(figure.value)} {figure.unit}"
        lines.append(f"| `{figure.name}` | {value} | {figure.method} |")
    return _joined(lines)


def _budget_table(run: CapacityRun) -> str:
    rows = budget_rows(run)
    lines = [
        "| part of control | today: % of a core | today: MB | today: KB/s"
        " | by cell: % of a core | by cell: MB | by cell: KB/s |",
        "|---|---|---|---|---|---|---|",
    ]
    lines.extend(
        f"| {row.name} | {_cells(row.today)} | {_cells(row.by_cell)} |" for row in rows
    )
    sums = (_cells(total_use(rows, is_today)) for is_today in (True, False))
    lines.append(f"| **sum of what is measured** | {' | '.join(sums)} |")
    budget = Use(
        BUDGET.core_percent, BUDGET.memory_megabytes, BUDGET.kilobytes_per_second
    )
    lines.append(f"| **budget** | {_cells(budget)} | {_cells(budget)} |")
    return _joined(lines)


def _role_table(run: CapacityRun) -> str:
    lines = ["| role | quantity | today | by cell or shard |", "|---|---|---|---|"]
    lines.extend(
        f"| {row.role} | {row.quantity} | {_number(row.today)}"
        f" | {_number(row.divided)} |"
        for row in role_rows(run)
    )
    return _joined(lines)


def _cells(use: Use) -> str:
    values = (use.core_percent, use.memory_megabytes, use.kilobytes_per_second)
    return " | ".join(_UNKNOWN if value is None else _number(value) for value in values)


def _number(value: float) -> str:
    """Write three significant digits, without exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    text = f"{float(f'{value:.3g}'):.6f}"
    return text.rstrip("0").rstrip(".") or "0"


def _joined(lines: list[str]) -> str:
    return "\n".join(lines) + "\n"
