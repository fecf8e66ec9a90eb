"""What one run of the bench came to, as JSON."""

import json
import pathlib
import statistics

from attrs import frozen
from cattrs import Converter

from waxwing_testbed.bench._figures import CustomerFigures, Shortfall

_CONVERTER = Converter()


@frozen
class ReportFigures:
    """
    Usage reports of one run.

    :param windows: Reported windows.
    :param late: Windows reported later than the system means to, or not at
        all.
    :param wrong: Windows reported with different figures.
    :param missing_requests: Admitted requests that no report counts.
    """

    windows: int
    late: int
    wrong: int
    missing_requests: int


@frozen
class RunResult:
    """
    One run.

    :param scenario: Name of the scenario.
    :param variant: Name of the variant.
    :param seed: Seed of the load.
    :param seconds: Length without the warm-up.
    :param customers: Figures by customer.
    :param goodput_by_second: Good answers by the second of the call.
    :param shortfalls: Calls without a good answer by reason.
    :param lost: Calls that ended neither whole nor with a true refusal.
    :param spend: Price of the engines during the run.
    :param role_changes_max: Role changes of the engine with most of them.
    :param role_changes: Role changes of all engines.
    :param cut_streams: Generations cut by role changes.
    :param cheap_ratio: Share of the generations that ran on cheap engines.
    :param bought: Engines ordered.
    :param command: Command line that made it.
    :param reports: Usage reports; None where they weren't awaited.
    """

    scenario: str
    variant: str
    seed: int
    seconds: float
    customers: tuple[CustomerFigures, ...]
    goodput_by_second: tuple[int, ...]
    shortfalls: tuple[Shortfall, ...]
    lost: int
    spend: float
    role_changes_max: int
    role_changes: int
    cut_streams: int
    cheap_ratio: float
    bought: int
    command: str
    reports: ReportFigures | None = None

    @property
    def good(self) -> int:
        """Good answers of all customers."""
        return sum(customer.good for customer in self.customers)

    @property
    def goodput_per_second(self) -> float:
        """Good answers a second."""
        return self.good / self.seconds

    @property
    def worst_to_median(self) -> float:
        """Served ratio of the worst-served by that of the median customer."""
        ratios = [customer.served_ratio for customer in self.customers]
        median = statistics.median(ratios)
        return min(ratios) / median if median else 0.0

    @property
    def refused_ratio(self) -> float:
        """Refusals of calls within the rate by calls within the rate."""
        within = sum(customer.within_rate for customer in self.customers)
        refused = sum(customer.refused_within_rate for customer in self.customers)
        return refused / within if within else 0.0


def result_path(
    folder: pathlib.Path, scenario: str, variant: str, seed: int
) -> pathlib.Path:
    """
    Return the file of a run.

    :param folder: Folder of the raw results.
    """
    return folder / f"{scenario}--{variant.replace(' ', '-')}--{seed}.json"


def write_result(folder: pathlib.Path, result: RunResult) -> None:
    """
    Write a run to its file.

    :param folder: Folder of the raw results.
    :param result: The run.
    """
    path = result_path(folder, result.scenario, result.variant, result.seed)
    text = json.dumps(_CONVERTER.unstructure(result), indent=1)
    path.write_text(text + "\n", encoding="utf-8")


def read_results(folder: pathlib.Path) -> tuple[RunResult, ...]:
    """
    Read all runs.

    :param folder: Folder of the raw results.
    """
    return tuple(
        _CONVERTER.structure(json.loads(path.read_text(encoding="utf-8")), RunResult)
        for path in sorted(folder.glob("*.json"))
    )
