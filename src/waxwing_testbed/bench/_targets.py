"""Targets stated before the runs, and what was measured."""

import enum
import statistics
from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from waxwing_testbed.bench._result import RunResult
from waxwing_testbed.bench._scenario import OURS

#: Goodput through the flips by that of the best baseline.
MIN_FLIP_GOODPUT_RATIO = 0.9
#: Role changes of one engine at each flip.
MAX_CHANGES_PER_FLIP = 2.0
#: Served ratio of the worst-served by that of the median customer.
MIN_WORST_TO_MEDIAN = 0.9
#: Refusals inside the rate.
MAX_REFUSED_RATIO = 0.001
#: Spend for a good answer by that on engines on demand only.
MAX_SPEND_RATIO = 0.7
#: Goodput at which the service counts as the same as on demand.
MIN_SAME_SERVICE_RATIO = 0.95
#: The baseline that costs most.
ALL_ON_DEMAND = "all on demand"
#: Scenario with changes of the mix.
FLIPS = "flips"
#: Scenario with a customer above its rate.
NOISY = "noisy"
#: Scenario with vanishing engines.
RECLAIM = "reclaim"


class Verdict(enum.Enum):
    """Whether a target was met."""

    #: With every seed.
    MET = "met"
    #: The median meets it, the worst seed doesn't.
    MET_BY_MEDIAN = "missed by the worst seed"
    MISSED = "missed"


@frozen
class TargetCheck:
    """
    One target in one scenario.

    :param scenario: Name of the scenario.
    :param text: What is measured.
    :param bound: The bound.
    :param is_maximum: True if figures may not exceed the bound.
    :param figures: One figure for each seed.
    """

    scenario: str
    text: str
    bound: float
    is_maximum: bool
    figures: tuple[float, ...]

    @property
    def median(self) -> float:
        """Median of the seeds."""
        return statistics.median(self.figures)

    @property
    def worst(self) -> float:
        """Figure of the worst seed."""
        return max(self.figures) if self.is_maximum else min(self.figures)

    @property
    def verdict(self) -> Verdict:
        """Whether the target was met."""
        if self._meets(self.worst):
            return Verdict.MET
        return Verdict.MET_BY_MEDIAN if self._meets(self.median) else Verdict.MISSED

    def _meets(self, figure: float) -> bool:
        return figure <= self.bound if self.is_maximum else figure >= self.bound


def check_targets(results: Iterable[RunResult], flips: int) -> tuple[TargetCheck, ...]:
    """
    Compare the runs with the targets.

    :param results: All runs.
    :param flips: Changes of the mix in the scenario about them.
    """
    by_scenario: dict[str, list[RunResult]] = {}
    for result in results:
        by_scenario.setdefault(result.scenario, []).append(result)
    checks: list[TargetCheck] = []
    for name, runs in by_scenario.items():
        checks += _of_all(name, runs)
        match name:
            case "flips":
                checks += _of_flips(runs, flips)
            case "noisy":
                checks += _of_noisy(runs)
            case "reclaim":
                checks += _of_reclaim(runs)
    return tuple(check for check in checks if check.figures)


def _of_flips(runs: Sequence[RunResult], flips: int) -> list[TargetCheck]:
    changes = _figures(runs, lambda run: run.role_changes_max / flips)
    text = "goodput by that of the best baseline, hindsight included"
    goodput = goodput_ratios(runs, None)
    return [
        TargetCheck(FLIPS, text, MIN_FLIP_GOODPUT_RATIO, False, goodput),
        TargetCheck(
            FLIPS,
            "role changes of one engine for each flip",
            MAX_CHANGES_PER_FLIP,
            True,
            changes,
        ),
    ]


def _of_noisy(runs: Sequence[RunResult]) -> list[TargetCheck]:
    text = "served ratio of the worst-served by that of the median customer"
    figures = _figures(runs, lambda run: run.worst_to_median)
    return [TargetCheck(NOISY, text, MIN_WORST_TO_MEDIAN, False, figures)]


def _of_reclaim(runs: Sequence[RunResult]) -> list[TargetCheck]:
    pairs = _pairs(runs, ALL_ON_DEMAND)
    spend = tuple(
        (ours.spend / max(1, ours.good)) / (other.spend / max(1, other.good))
        for ours, other in pairs
    )
    lost = _figures(runs, lambda run: float(run.lost))
    return [
        TargetCheck(
            RECLAIM,
            "spend for a good answer by that of all on demand",
            MAX_SPEND_RATIO,
            True,
            spend,
        ),
        TargetCheck(
            RECLAIM,
            "goodput by that of all on demand",
            MIN_SAME_SERVICE_RATIO,
            False,
            goodput_ratios(runs, ALL_ON_DEMAND),
        ),
        TargetCheck(RECLAIM, "requests lost", 0.0, True, lost),
    ]


def _of_all(scenario: str, runs: Sequence[RunResult]) -> list[TargetCheck]:
    refused = _figures(runs, lambda run: run.refused_ratio)
    reports = tuple(
        float(run.reports.late + run.reports.wrong + run.reports.missing_requests)
        for run in runs
        if run.variant == OURS and run.reports is not None
    )
    return [
        TargetCheck(
            scenario, "refusals inside the rate", MAX_REFUSED_RATIO, True, refused
        ),
        TargetCheck(
            scenario, "windows late or wrong, requests uncounted", 0.0, True, reports
        ),
    ]


def goodput_ratios(
    runs: Sequence[RunResult], baseline: str | None
) -> tuple[float, ...]:
    """
    Return the goodput of the usual policies by that of a baseline.

    :param runs: Runs of one scenario.
    :param baseline: Its name; None for the best one of each seed.
    """
    names = {run.variant for run in runs} - {OURS}
    if baseline is not None:
        names &= {baseline}
    ratios = []
    for ours in runs:
        others = [
            run.good for run in runs if run.variant in names and run.seed == ours.seed
        ]
        if (
            ours.variant == OURS
            and len(others) == len(names)
            and max(others, default=0)
        ):
            ratios.append(ours.good / max(others))
    return tuple(ratios)


def _pairs(
    runs: Sequence[RunResult], baseline: str
) -> list[tuple[RunResult, RunResult]]:
    return [
        (ours, other)
        for ours in runs
        for other in runs
        if ours.variant == OURS
        and other.variant == baseline
        and ours.seed == other.seed
    ]


def _figures(
    runs: Sequence[RunResult], figure: Callable[[RunResult], float]
) -> tuple[float, ...]:
    return tuple(figure(run) for run in runs if run.variant == OURS)
