"""Running both deployments at the same time."""

import pathlib
import sys
import tempfile
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from rich.console import Console
from rich.table import Table

from waxwing_testbed.demo._checks import check_demo
from waxwing_testbed.demo._script import DemoPlan, DemoResult, run_demo
from waxwing_testbed.deployment import greenwood_plan, tahi_plan
from waxwing_testbed.history import CallEvent, CallOutcome
from waxwing_testbed.load import PlainMix

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "docs" / "examples"


def demo_plans() -> tuple[DemoPlan, ...]:
    """Return the two deployments."""
    return (
        DemoPlan(
            tahi_plan(),
            EXAMPLES / "tahi.yaml",
            PlainMix("/shop/orders", "/shop/payments", "/shop/status"),
            "guimaras-circles",
            "guimaras-1",
        ),
        DemoPlan(
            greenwood_plan(),
            EXAMPLES / "greenwood.yaml",
            PlainMix("/booking/reservations", "/booking/payments", "/booking/seats"),
            "redland-courses",
            "redland-1",
        ),
    )


def main() -> None:
    """Run the demonstration; exit with 1 if a promise broke."""
    console = Console()
    console.print("Starting two deployments; this takes about a minute and a half.")
    plans = demo_plans()
    with tempfile.TemporaryDirectory() as folder:
        with ThreadPoolExecutor(len(plans)) as pool:
            results = list(
                pool.map(lambda plan: _run(plan, pathlib.Path(folder)), plans)
            )
    is_broken = False
    for plan, result in zip(plans, results, strict=True):
        is_broken |= _print_result(console, plan, result)
    sys.exit(1 if is_broken else 0)


def _run(plan: DemoPlan, folder: pathlib.Path) -> DemoResult:
    own_folder = folder / plan.deployment.name
    own_folder.mkdir()
    return run_demo(plan, own_folder)


def _print_result(console: Console, plan: DemoPlan, result: DemoResult) -> bool:
    """Print one deployment; return whether a promise broke."""
    table = Table(title=plan.deployment.name)
    table.add_column("what")
    table.add_column("figure", justify="right")
    for name, value in _rows(result):
        table.add_row(name, value)
    console.print(table)
    violations = check_demo(plan, result)
    for violation in violations:
        console.print(f"[red]broken:[/red] {violation.promise}: {violation.detail}")
    if not violations:
        console.print("all checked promises held")
    return bool(violations)


def _rows(result: DemoResult) -> list[tuple[str, str]]:
    events = result.events
    served = [event for event in events if event.outcome is CallOutcome.WHOLE]
    rows = [("calls", str(len(events))), ("served whole", str(len(served)))]
    refused = Counter(
        f"{event.outcome.value}: {event.detail}"
        for event in events
        if event.outcome is not CallOutcome.WHOLE
    )
    rows += [(name, str(count)) for name, count in refused.most_common()]
    rows += [
        ("first token p50", _percentile(served, 0.50)),
        ("first token p95", _percentile(served, 0.95)),
        ("role changes", str(result.role_changes)),
        ("streams cut by planned changes", str(result.cut_streams)),
        ("upstream orders", str(len(result.platform.orders))),
        ("spend", f"{result.platform.spend:.3f}"),
        ("usage reports received", str(len(result.platform.reports))),
    ]
    return rows


def _percentile(events: list[CallEvent], ratio: float) -> str:
    times = sorted(
        event.first_token_seconds
        for event in events
        if event.first_token_seconds is not None
    )
    if not times:
        return "none"
    return f"{times[min(len(times) - 1, int(ratio * len(times)))] * 1_000:.0f} ms"
