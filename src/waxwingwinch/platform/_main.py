"""The program ``waxwing-gateway``: the gateway on the users' platform."""

import argparse
import sys
from pathlib import Path

from waxwingwinch._signals import SignalInbox
from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.gateway import GatewayProcess, LogWriter
from waxwingwinch.kernel import SteadyWallClock, SystemClock
from waxwingwinch.observability import set_up_logs
from waxwingwinch.platform._adapter import PlatformAdapter
from waxwingwinch.platform._reload import SettingsReloader
from waxwingwinch.platform._settings import (
    InstanceSettings,
    load_instance_settings,
    settings_path,
)

#: Maximum rate of log lines of one message type. With about thirty types, few
#: of them frequent, an instance writes at most about 100 KB a second.
LOG_MESSAGES_PER_SECOND = 50.0
#: Exit status if the settings file is invalid.
INVALID_SETTINGS_EXIT_STATUS = 2
#: Maximum wait at exit until buffered log lines are written.
LOG_DRAIN_TIMEOUT_SECONDS = 0.3


def main(signals: SignalInbox) -> int:
    """
    Run the program and return its exit status.

    :param signals: The signals of the platform, recorded from the start.
    """
    # argparse, because importing typer costs each instance several megabytes.
    parser = argparse.ArgumentParser(prog="waxwing-gateway", description=__doc__)
    parser.add_argument("settings", nargs="?", type=Path, help="the settings file")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file and exit"
    )
    arguments = parser.parse_args()
    path = arguments.settings or settings_path()
    try:
        settings = load_instance_settings(path)
    except SettingsInvalid as error:
        print(format_findings(error), file=sys.stderr)
        return INVALID_SETTINGS_EXIT_STATUS
    if arguments.check:
        print(f"{path} is valid")
        return 0
    _serve(path, settings, signals)
    return 0


def _serve(path: Path, settings: InstanceSettings, signals: SignalInbox) -> None:
    clock = SteadyWallClock(SystemClock())
    logs = LogWriter(sys.stdout.buffer)
    set_up_logs(logs, clock, LOG_MESSAGES_PER_SECOND)  # type: ignore[arg-type]
    adapter = PlatformAdapter.from_settings(settings, clock)
    process = GatewayProcess(settings.options, adapter, clock)

    def apply(new_settings: InstanceSettings) -> None:
        adapter.update(new_settings)
        process.update(new_settings.options)

    reloader = SettingsReloader(path, apply)
    reloader.start()
    signals.deliver(process.request_stop, reloader.request_poll)
    process.run()
    logs.drain(LOG_DRAIN_TIMEOUT_SECONDS)
