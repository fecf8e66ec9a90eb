"""Measuring everything and writing file and page."""

import os
import pathlib
import sys

import typer

from waxwing_testbed.capacity._added_time import measure_added_time
from waxwing_testbed.capacity._claims import measure_claims
from waxwing_testbed.capacity._idle import measure_idle
from waxwing_testbed.capacity._memory import measure_memory
from waxwing_testbed.capacity._messages import measure_messages
from waxwing_testbed.capacity._operations import measure_operations
from waxwing_testbed.capacity._page import update_page
from waxwing_testbed.capacity._run import CapacityRun, read_run, write_run
from waxwing_testbed.capacity._streams import measure_streams

COMMAND = "make capacity"
RESULT_PATH = pathlib.Path("docs/measurements/capacity.json")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")


def measure() -> CapacityRun:
    """Measure everything."""
    load_before = os.getloadavg()[0]
    _note("messages, operations, memory")
    slopes = [*measure_messages(), *measure_operations(), *measure_memory()]
    slopes.extend(measure_idle(_note))
    slopes.extend(measure_streams(_note))
    figures = [*measure_added_time(_note), *measure_claims(_note)]
    load_average = (round(load_before, 1), round(os.getloadavg()[0], 1))
    return CapacityRun(COMMAND, load_average, tuple(slopes), tuple(figures))


def main() -> None:
    """Run the command line."""
    typer.run(run_command)


def run_command(
    result: pathlib.Path = RESULT_PATH,
    page: pathlib.Path = PAGE_PATH,
    *,
    render_only: bool = False,
) -> None:
    """
    Measure the slopes of the capacity page.

    :param result: The JSON file.
    :param page: The page whose tables are replaced.
    :param render_only: Renders the page from the file without measuring.
    """
    run = read_run(result) if render_only else measure()
    if not render_only:
        result.parent.mkdir(parents=True, exist_ok=True)
        write_run(run, result)
    update_page(page, run)


def _note(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
