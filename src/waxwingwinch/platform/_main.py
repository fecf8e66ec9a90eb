"""The program ``waxwing-gateway``: the gateway on the users' platform."""

import signal
import sys
from pathlib import Path

import eliot

from waxwingwinch.gateway import GatewayProcess
from waxwingwinch.gateway._log_writer import LogWriter
from waxwingwinch.kernel import SystemClock
from waxwingwinch.observability import set_up_logs
from waxwingwinch.platform._adapter import PlatformAdapter, gateway_options
from waxwingwinch.platform._settings import load_instance_settings, settings_path
from waxwingwinch.settings import SettingsInvalid, format_findings

#: Log lines of one kind in a second. With about thirty kinds, of which few
#: come often, an instance writes at most some 100 KB a second.
MESSAGES_PER_SECOND = 50.0
#: Longest wait for the last log lines.
LOG_DRAIN_SECONDS = 0.3


def main() -> int:
    """Run the program and return its exit status."""
    path = Path(sys.argv[1]) if len(sys.argv) > 1 else settings_path()
    try:
        settings = load_instance_settings(path)
    except SettingsInvalid as error:
        print(format_findings(error), file=sys.stderr)
        return 2
    clock = SystemClock()
    logs = LogWriter(sys.stdout.buffer)
    set_up_logs(logs, clock, MESSAGES_PER_SECOND)  # type: ignore[arg-type]
    adapter = PlatformAdapter.from_settings(settings, clock)
    process = GatewayProcess(gateway_options(settings), adapter, clock)
    signal.signal(signal.SIGTERM, lambda *_: process.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: eliot.log_message("gateway:reload"))
    process.run()
    logs.drain(LOG_DRAIN_SECONDS)
    return 0
