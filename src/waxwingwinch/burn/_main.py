"""The command line of ``waxwing-burn``."""

import sys
import time
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from waxwingwinch.burn._compute import make_report
from waxwingwinch.burn._csv import write_csv
from waxwingwinch.burn._fetch import FetchedRound, fetch_round
from waxwingwinch.burn._files import (
    SnapshotsInvalid,
    append_snapshots,
    read_snapshots,
)
from waxwingwinch.burn._html import write_html
from waxwingwinch.burn._model import BurnReport, ReportOptions
from waxwingwinch.burn._spend import PriceOverrides
from waxwingwinch.burn._text import print_report
from waxwingwinch.operators import ExitCode

#: Width of the text when it doesn't go to a terminal.
PIPE_COLUMNS = 160

HELP = """
Report how customers are served: burn of error budgets, and what it cost.

Exit codes: 0 done, 1 snapshots can't be read, 2 wrong usage, 3 no entry answered.

Example: waxwing-burn report --entry 127.0.0.1:8000 --entry 127.0.0.2:8000
"""

EntryOption = Annotated[
    list[str] | None,
    typer.Option(
        "--entry",
        envvar="WAXWING_ENTRY",
        help="Address of an entry, as host:port; give all of the cell.",
    ),
]
TokenOption = Annotated[
    str, typer.Option(envvar="WAXWING_TOKEN", help="The operator's token.")
]


def make_app() -> typer.Typer:
    """Build the program."""
    app = typer.Typer(help=HELP, no_args_is_help=True, add_completion=False)
    app.command("save")(save)
    app.command("report")(report)
    return app


def save(
    file: Annotated[Path, typer.Argument(help="Snapshots are appended to it.")],
    entry: EntryOption = None,
    token: TokenOption = "",
    rounds: Annotated[int, typer.Option(min=1, help="How often to fetch.")] = 1,
    every_seconds: Annotated[
        float, typer.Option(min=0.1, help="Time between rounds.")
    ] = 60.0,
) -> None:
    """
    Save snapshots of all given entries.

    Example: waxwing-burn save day.jsonl --rounds 60 --every-seconds 60
    """
    for number in range(rounds):
        if number:
            time.sleep(every_seconds)
        found = _fetch(entry, token)
        append_snapshots(file, found.views)
        print(f"saved {len(found.views)} snapshots to {file}")


def report(
    files: Annotated[
        list[Path] | None, typer.Argument(help="Files written by `save`.")
    ] = None,
    entry: EntryOption = None,
    token: TokenOption = "",
    html: Annotated[Path | None, typer.Option(help="Write an HTML page there.")] = None,
    csv: Annotated[Path | None, typer.Option(help="Write CSV there.")] = None,
    short_seconds: Annotated[float, typer.Option(help="Short window.")] = 300.0,
    long_seconds: Annotated[float, typer.Option(help="Long window.")] = 3600.0,
    whole_ratio: Annotated[
        float, typer.Option(min=0, max=1, help="Promised share of whole answers.")
    ] = 0.999,
    admission_ratio: Annotated[
        float,
        typer.Option(min=0, max=1, help="Promised share admitted inside the rate."),
    ] = 0.99,
    on_demand_price: Annotated[
        float | None, typer.Option(help="Price an hour, instead of the platform's.")
    ] = None,
    cheap_price: Annotated[
        float | None, typer.Option(help="The same for cheap upstreams.")
    ] = None,
) -> None:
    """
    Report from files or, without any, from live entries.

    Example: waxwing-burn report day.jsonl --html burn.html --csv burn.csv
    """
    options = ReportOptions(
        short_seconds,
        long_seconds,
        whole_ratio,
        admission_ratio,
        PriceOverrides(on_demand_price, cheap_price),
    )
    try:
        views = read_snapshots(files or ())
    except SnapshotsInvalid as group:
        for finding in group.exceptions:
            print(finding, file=sys.stderr)
        raise typer.Exit(int(ExitCode.REFUSED)) from group
    problems: tuple[str, ...] = ()
    if not files:
        found = _fetch(entry, token)
        views, problems = found.views, found.problems
    if not views:
        raise typer.BadParameter("the files hold no snapshots")
    _write(make_report(views, options, problems), html, csv)


def _write(made: BurnReport, html: Path | None, csv: Path | None) -> None:
    width = None if sys.stdout.isatty() else PIPE_COLUMNS
    print_report(made, Console(width=width, highlight=False))
    if html is not None:
        html.write_text(write_html(made), encoding="utf-8")
    if csv is not None:
        with csv.open("w", newline="", encoding="utf-8") as stream:
            write_csv(made, stream)


def _fetch(entries: list[str] | None, token: str) -> FetchedRound:
    """Fetch from all entries; report those that don't answer."""
    if not entries:
        problem = "give files with snapshots, or entries by --entry or WAXWING_ENTRY"
        raise typer.BadParameter(problem)
    found = fetch_round(entries, token)
    for problem in found.problems:
        print(problem, file=sys.stderr)
    if not found.views:
        raise typer.Exit(int(ExitCode.UNREACHABLE))
    return found


def main() -> None:
    """Run the program."""
    make_app()()
