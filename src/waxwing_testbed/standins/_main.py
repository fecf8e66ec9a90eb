"""The command line of ``waxwing-standin``."""

import pathlib
import signal
import threading
from typing import Annotated

import typer
from cattrs import transform_error
from cattrs.errors import ClassValidationError

from waxwing_testbed.standins._admin import AdminInterface
from waxwing_testbed.standins._process import StandinProcess
from waxwing_testbed.standins._settings import StandinSettings, load_settings
from waxwing_testbed.web import WebServer
from waxwingwinch._signals import SignalInbox

_EXIT_MALFORMED_SETTINGS = 2


def run(
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file that lists the stand-ins.")
    ],
) -> None:
    """Run the stand-ins of one settings file until SIGTERM."""
    stop = threading.Event()
    signals = SignalInbox((signal.SIGTERM, signal.SIGINT))
    signals.install()
    signals.deliver(lambda _: stop.set())
    loaded = _load_or_exit(settings)
    process = StandinProcess(loaded)
    process.start()
    # The admin address answers last, which tells tests that all else does.
    admin = WebServer(loaded.admin_address, AdminInterface(process).router())
    admin.start()
    stop.wait()
    admin.stop()
    process.stop()


def _load_or_exit(path: pathlib.Path) -> StandinSettings:
    """Read the settings; print all findings and exit if there are any."""
    try:
        return load_settings(path)
    except ClassValidationError as error:
        for finding in transform_error(error):
            typer.echo(f"{path}: {finding}", err=True)
        raise typer.Exit(_EXIT_MALFORMED_SETTINGS) from error


def main() -> None:
    """Run the program."""
    typer.run(run)
