"""Plots of the runs."""

import pathlib
import statistics
from collections.abc import Sequence

from matplotlib.figure import Figure

from waxwing_testbed.bench._result import RunResult

_WIDTH_INCHES = 9.0
_HEIGHT_INCHES = 3.2
_METADATA = {"Date": None, "Creator": None}


def write_plot(path: pathlib.Path, title: str, runs: Sequence[RunResult]) -> None:
    """
    Draw goodput over time and in total by variant.

    :param path: File of the SVG.
    :param title: Title.
    :param runs: Runs of one scenario.
    """
    names = list(dict.fromkeys(run.variant for run in runs))
    figure = Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout="constrained")
    over_time, in_total = figure.subplots(1, 2, width_ratios=(3, 1))
    for number, name in enumerate(names):
        own = [run for run in runs if run.variant == name]
        series = zip(*(run.goodput_by_second for run in own), strict=True)
        medians = [statistics.median(values) for values in series]
        over_time.plot(_smoothed(medians), label=name)
        totals = [run.goodput_per_second for run in own]
        in_total.bar(number, statistics.median(totals))
        in_total.plot([number] * len(totals), totals, "k.")
    over_time.set_xlabel("seconds of the run")
    over_time.set_ylabel("good answers a second")
    over_time.set_ylim(bottom=0)
    over_time.legend(fontsize="small")
    in_total.set_xticks(range(len(names)), names, rotation=30, fontsize="small")
    figure.suptitle(title)
    figure.savefig(path, format="svg", metadata=_METADATA)


def _smoothed(values: Sequence[float]) -> list[float]:
    """Return means of three neighbours."""
    return [
        statistics.fmean(values[max(0, place - 1) : place + 2])
        for place in range(len(values))
    ]
