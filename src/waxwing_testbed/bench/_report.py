"""The page of the measurements."""

import pathlib
import statistics
from collections.abc import Sequence

from waxwing_testbed.bench._fleet import (
    BETWEEN_TOKENS_SECONDS,
    CHEAP_PRICE,
    ENGINE_COUNT,
    FIRST_TOKEN_SECONDS,
    INSTANCE_COUNT,
    LIMITS,
    ON_DEMAND_PRICE,
    SPEEDS,
)
from waxwing_testbed.bench._plots import write_plot
from waxwing_testbed.bench._result import RunResult
from waxwing_testbed.bench._scenario import OURS, Scenario
from waxwing_testbed.bench._targets import TargetCheck, check_targets, goodput_ratios

#: Name of the page.
PAGE_NAME = "README.md"


def write_report(
    folder: pathlib.Path, scenarios: Sequence[Scenario], results: Sequence[RunResult]
) -> tuple[TargetCheck, ...]:
    """
    Write the page and its plots.

    :param folder: Where to write them.
    :param scenarios: All scenarios.
    :param results: All runs.
    :returns: The targets with their figures.
    """
    flips = max(scenario.flips for scenario in scenarios)
    checks = check_targets(results, flips)
    parts = [_introduction(results), _target_table(checks)]
    for scenario in scenarios:
        runs = [run for run in results if run.scenario == scenario.name]
        if runs:
            plot = f"{scenario.name}.svg"
            write_plot(folder / plot, scenario.title, runs)
            parts.append(_section(scenario, runs, plot))
    (folder / PAGE_NAME).write_text("\n".join(parts), encoding="utf-8")
    return checks


def _introduction(results: Sequence[RunResult]) -> str:
    commands = sorted({result.command for result in results})
    lines = [f"    {command}" for command in commands]
    return f"""\
# Measurements

Written by the bench (`make bench`) from the files in `raw/`; findings and \
limits are in [NOTES.md](NOTES.md). Real processes \
on the loopback interface: {INSTANCE_COUNT} entry instances, each with its \
control, {ENGINE_COUNT} stand-in engines in one process (the first fleet of \
`reclaim` is what the planner buys), the platform's stand-in. Engines read \
{SPEEDS.prefill_tokens_per_second:.0f} prompt tokens a second, generate a \
token every {SPEEDS.decode_seconds_per_token} s for each of at most \
{LIMITS.max_running} answers: half the usual speed of the stand-ins, so the \
promises are doubled to {FIRST_TOKEN_SECONDS} s for the first token and \
{BETWEEN_TOKENS_SECONDS} s between tokens (mean of an answer). Loads come from \
one seed each; callers try once. Prices for an hour: {ON_DEMAND_PRICE} on \
demand, {CHEAP_PRICE} cheap.

Commands:

{chr(10).join(lines)}

A good answer is whole and keeps both promises. *Served* is a customer's good \
answers by its calls inside its rate. A call is inside the rate if one bucket \
of the customer's rate and burst would admit it. Figures are medians of the \
seeds, with the worst seed in parentheses.
"""


def _target_table(checks: Sequence[TargetCheck]) -> str:
    lines = [
        "## Targets",
        "",
        "| scenario | figure of the usual policies | target | median | worst | |",
        "|---|---|---|---|---|---|",
    ]
    for check in checks:
        sign = "≤" if check.is_maximum else "≥"
        cells = [
            check.scenario,
            f"{check.text} ({len(check.figures)} seeds)",
            f"{sign} {check.bound:g}",
            f"{check.median:.4g}",
            f"{check.worst:.4g}",
            check.verdict.value,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _section(scenario: Scenario, runs: Sequence[RunResult], plot: str) -> str:
    lines = [
        f"## {scenario.name}: {scenario.title}",
        "",
        "| variant | seeds | good answers/s | by best baseline | worst/median "
        "served | refused inside rate | spend | on cheap | role changes "
        "(most of one engine) | cut by them | lost | bought |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for name in [variant.name for variant in scenario.variants]:
        own = [run for run in runs if run.variant == name]
        if own:
            lines.append(_row(name, own, runs))
    lines += ["", f"![Goodput]({plot})", "", _shortfalls(scenario, runs), ""]
    return "\n".join(lines)


def _row(name: str, own: Sequence[RunResult], runs: Sequence[RunResult]) -> str:
    ratios = goodput_ratios(runs, None) if name == OURS else ()
    cells = [
        name,
        str(len(own)),
        _least([run.goodput_per_second for run in own], ".2f"),
        _least(ratios, ".3f") if ratios else "",
        _least([run.worst_to_median for run in own], ".3f"),
        _most([run.refused_ratio for run in own], ".2%"),
        _most([run.spend for run in own], ".4f"),
        _least([run.cheap_ratio for run in own], ".0%"),
        f"{_most([run.role_changes for run in own], '.0f')}, "
        f"{max(run.role_changes_max for run in own)}",
        _most([run.cut_streams for run in own], ".0f"),
        _most([run.lost for run in own], ".0f"),
        _most([run.bought for run in own], ".0f"),
    ]
    return f"| {' | '.join(cells)} |"


def _shortfalls(scenario: Scenario, runs: Sequence[RunResult]) -> str:
    """Say why calls got no good answer, summed over the seeds."""
    lines = ["Calls without a good answer, all seeds together:", ""]
    for variant in scenario.variants:
        counts: dict[str, int] = {}
        for run in runs:
            if run.variant == variant.name:
                for item in run.shortfalls:
                    counts[item.reason] = counts.get(item.reason, 0) + item.count
        if counts:
            text = "; ".join(f"{n} {reason}" for reason, n in sorted(counts.items()))
            lines.append(f"- {variant.name}: {text}")
    return "\n".join(lines)


def _least(figures: Sequence[float], form: str) -> str:
    return f"{statistics.median(figures):{form}} ({min(figures):{form}})"


def _most(figures: Sequence[float], form: str) -> str:
    return f"{statistics.median(figures):{form}} ({max(figures):{form}})"
