"""Signals to a program that waits for its stop."""

import signal
import subprocess
import sys

import pytest

SCRIPT = """
import os, signal, threading
from waxwingwinch._signals import SignalInbox
stop = threading.Event()
signals = SignalInbox((signal.SIGTERM, signal.SIGINT))
signals.install()
signals.deliver(lambda _: stop.set())
print("waits", flush=True)
stop.wait()
os._exit(7)
"""


# Guards against a program that never stops since a signal interrupts the
# handler of the one before.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_wait_ends_after_a_series_of_signals(number):
    with subprocess.Popen(
        [sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"waits\n"
        for _ in range(500):
            process.send_signal(number)
        assert process.wait(10.0) == 7
