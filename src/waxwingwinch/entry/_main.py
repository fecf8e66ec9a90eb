"""Command line of the program ``waxwing-entry``."""

import pathlib
import signal
import sys
from typing import Annotated

import typer

from waxwingwinch._signals import SignalInbox
from waxwingwinch.entry._process import EntryProcess
from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.kernel import SystemClock
from waxwingwinch.observability import set_up_logs
from waxwingwinch.settings import EntrySettings, load_settings

#: Exit status when the settings have findings.
EXIT_FINDINGS = 1

application = typer.Typer(add_completion=False)


@application.command()
def serve(
    settings: Annotated[pathlib.Path, typer.Option(help="Settings file, YAML.")],
    check: Annotated[bool, typer.Option(help="Only check the settings.")] = False,
) -> None:
    """Serve callers until SIGTERM, which is a planned stop."""
    try:
        loaded = load_settings(settings, EntrySettings)
    except SettingsInvalid as error:
        print(format_findings(error), file=sys.stderr)
        raise typer.Exit(EXIT_FINDINGS) from error
    if check:
        print(f"{settings}: no findings")
        return
    set_up_logs(sys.stderr, SystemClock())
    process = EntryProcess(loaded)
    signals = SignalInbox((signal.SIGTERM, signal.SIGINT))
    signals.install()
    signals.deliver(lambda _: process.stopping.set())
    process.start()
    process.stopping.wait()
    process.stop()


def main() -> None:
    """Run the program."""
    application()
