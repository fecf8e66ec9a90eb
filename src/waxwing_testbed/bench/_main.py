"""The command line of the bench."""

import math
import multiprocessing
import pathlib
import shlex
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import Annotated

import typer
from rich.console import Console

from waxwing_testbed.bench._report import write_report
from waxwing_testbed.bench._result import RunResult, read_results, write_result
from waxwing_testbed.bench._run import RunPlan, run
from waxwing_testbed.bench._scenario import OURS
from waxwing_testbed.bench._scenarios import scenarios

#: Where the figures are kept.
DEFAULT_FOLDER = pathlib.Path("docs/measurements")
#: Folder of the raw results in it.
RAW_FOLDER = "raw"
#: Exit status if a run failed.
EXIT_FAILED = 1
#: Exit status if no run was selected.
EXIT_USAGE = 2


def measure(
    scenario: Annotated[
        list[str] | None, typer.Option(help="Name of a scenario; repeat; all if none.")
    ] = None,
    variant: Annotated[
        list[str] | None, typer.Option(help="Name of a variant; repeat; all if none.")
    ] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 5,
    first_seed: Annotated[int, typer.Option(min=1, help="The first seed.")] = 1,
    parallel: Annotated[int, typer.Option(min=1, help="Runs at one time.")] = 2,
    seconds: Annotated[
        float, typer.Option(min=5.0, help="Length of a run without the warm-up.")
    ] = 27.0,
    budget_seconds: Annotated[
        float, typer.Option(help="No run begins later than so long after the start.")
    ] = math.inf,
    out: Annotated[
        pathlib.Path, typer.Option(help="Folder of the page, the plots and raw/.")
    ] = DEFAULT_FOLDER,
) -> None:
    """
    Measure the policies beside their baselines, and write the page.

    Runs of earlier calls stay in ``raw/`` and in the page until they are run
    again. Exit codes: 0 all runs ended, 1 one failed or did not begin in
    time, 2 wrong usage.
    """
    console = Console()
    command = "python -m waxwing_testbed.bench " + shlex.join(sys.argv[1:])
    all_seeds = range(first_seed, first_seed + seeds)
    plans = _plans(scenario or [], variant or [], all_seeds, seconds, command.strip())
    if not plans:
        console.print("no scenario and variant of these names")
        raise typer.Exit(EXIT_USAGE)
    raw = out / RAW_FOLDER
    raw.mkdir(parents=True, exist_ok=True)
    deadline_seconds = time.time() + budget_seconds
    failures = _run_all(plans, parallel, raw, deadline_seconds, console)
    checks = write_report(out, scenarios(), read_results(raw))
    for check in checks:
        console.print(
            f"{check.scenario}: {check.text}: {check.median:.4g} "
            f"(worst {check.worst:.4g}): {check.verdict.value}"
        )
    if failures:
        console.print(f"{failures} of {len(plans)} runs failed or didn't begin")
        raise typer.Exit(EXIT_FAILED)


def _plans(
    scenario_names: Sequence[str],
    variant_names: Sequence[str],
    seeds: Sequence[int],
    seconds: float,
    command: str,
) -> list[RunPlan]:
    """Plan the runs of the first seed, then those of the second, and so on."""
    return [
        RunPlan(
            scenario,
            variant,
            seed,
            seconds,
            scenario.awaits_reports and variant.name == OURS,
            command,
        )
        for seed in seeds
        for scenario in scenarios()
        if not scenario_names or scenario.name in scenario_names
        for variant in scenario.variants
        if not variant_names or variant.name in variant_names
    ]


def _run_all(
    plans: Sequence[RunPlan],
    parallel: int,
    raw: pathlib.Path,
    deadline_seconds: float,
    console: Console,
) -> int:
    """Run the plans in processes of their own; return how many didn't end."""
    failures = 0
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(parallel, context, max_tasks_per_child=1) as pool:
        futures = {
            pool.submit(_run_in_time, plan, deadline_seconds): plan for plan in plans
        }
        for future in as_completed(futures):
            plan = futures[future]
            name = f"{plan.scenario.name}, {plan.variant.name}, seed {plan.seed}"
            error = future.exception()
            if error is not None:
                failures += 1
                console.print(f"{name}: failed: {error!r}")
                continue
            result = future.result()
            if result is None:
                failures += 1
                console.print(f"{name}: not run")
                continue
            write_result(raw, result)
            console.print(f"{name}: {result.goodput_per_second:.2f} good answers/s")
    return failures


def _run_in_time(plan: RunPlan, deadline_seconds: float) -> RunResult | None:
    """Run a plan unless a time, in Unix seconds, has passed."""
    return run(plan) if time.time() < deadline_seconds else None


def main() -> None:
    """Run the command line."""
    typer.run(measure)
