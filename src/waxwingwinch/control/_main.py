"""The command line of ``waxwing-control``."""

import pathlib
import signal
import sys
import threading
from typing import Annotated

import typer

from waxwingwinch._signals import SignalInbox
from waxwingwinch.control._process import build_process
from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.kernel import SystemClock
from waxwingwinch.observability import set_up_logs
from waxwingwinch.settings import ControlSettings, load_settings

#: Exit status for a settings file with findings.
EXIT_INVALID_SETTINGS = 2


def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file with the settings.")
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Claim duties of a cell and do their work until SIGTERM or SIGINT."""
    loaded = _load_or_exit(settings)
    if check:
        typer.echo(f"{settings} is valid")
        return
    stop = threading.Event()
    signals = SignalInbox((signal.SIGTERM, signal.SIGINT))
    signals.install()
    signals.deliver(lambda _: stop.set())
    set_up_logs(sys.stderr, SystemClock())
    registry = build_process(loaded)
    registry.start_all()
    stop.wait()
    registry.stop_all()


def _load_or_exit(path: pathlib.Path) -> ControlSettings:
    """Read the settings; print all findings and exit if there are any."""
    try:
        return load_settings(path, ControlSettings)
    except SettingsInvalid as error:
        typer.echo(format_findings(error), err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error


def main() -> None:
    """Run the program."""
    typer.run(run)
