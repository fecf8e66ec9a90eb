"""Starts the gateway on the users' platform."""

import os
import signal
import sys
from typing import NoReturn

from waxwingwinch._signals import SignalInbox


def run() -> NoReturn:
    """Run the program and end the process."""
    signals = SignalInbox(reload_signals=(signal.SIGHUP,))
    signals.install()
    # A signal that arrives during this import is recorded.
    from waxwingwinch.platform._main import main

    status = main(signals)
    sys.stdout.flush()
    # Skips joining the threads that still wait for callers, so that they
    # cannot delay the exit of the process.
    os._exit(status)


if __name__ == "__main__":
    run()
