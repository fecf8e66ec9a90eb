"""The command line of ``waxwing-soak``."""

import pathlib
import shutil
import sys
import tempfile
from typing import Annotated

import typer

from waxwing_testbed.soak._report import format_report, write_plot
from waxwing_testbed.soak._run import InstancesNotReady, run_soak
from waxwing_testbed.soak._schedule import make_schedule

#: Exit status if a rule broke, or nothing could be played.
EXIT_BROKEN = 1


def run(
    report: Annotated[
        pathlib.Path, typer.Option(help="Text file; plot and logs go beside it.")
    ],
    seed: Annotated[int, typer.Option(help="Even: planned work only.")] = 0,
    instances: Annotated[int, typer.Option(min=1, help="Gateway processes.")] = 2,
    seconds: Annotated[float, typer.Option(min=5, help="Length.")] = 20.0,
    callers: Annotated[int, typer.Option(min=1, help="Callers at once.")] = 16,
) -> None:
    """
    Play a seed's schedule with real gateway processes and check the rules.

    Exit codes: 0 all rules held, 1 one broke or the instances did not start.
    """
    schedule = make_schedule(seed, instances, seconds)
    command = (
        f"waxwing-soak --seed {seed} --instances {instances}"
        f" --seconds {seconds:g} --callers {callers} --report {report}"
    )
    kept = report.absolute().with_name(f"{report.stem}-logs")
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        try:
            result = run_soak(schedule, seed, instances, callers, seconds, folder)
        except InstancesNotReady:
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            print(f"the instances did not become ready; see {kept}", file=sys.stderr)
            raise typer.Exit(EXIT_BROKEN) from None
        if result.cases:
            shutil.copytree(folder, kept, dirs_exist_ok=True)
    text = format_report(result, schedule, command, kept)
    report.write_text(text)
    write_plot(result, report.with_suffix(".svg"))
    print(text)
    if result.cases:
        raise typer.Exit(EXIT_BROKEN)


def main() -> None:
    """Run the program."""
    application = typer.Typer(add_completion=False)
    application.command()(run)
    application()
