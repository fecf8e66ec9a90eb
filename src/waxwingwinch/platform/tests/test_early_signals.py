"""Signals in the first moments of a process."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from waxwingwinch.platform.tests.standin import SOURCE, Gateway, wait_until


def has_handlers(process):
    """Tell whether a process catches SIGHUP and SIGTERM."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("SigCgt:"):
            caught = int(line.split()[1], 16)
            return all(
                caught >> (number - 1) & 1 for number in (signal.SIGHUP, signal.SIGTERM)
            )
    return False


def start_until_handlers(gateways, tmp_path, store):
    gateways.append(Gateway(tmp_path, store, "edge"))
    process = gateways[0].process
    while not has_handlers(process):
        assert process.poll() is None
    return process


# Guards against a SIGHUP that ends a process which is still starting.
@pytest.mark.parametrize("after_seconds", [0.0, 0.05, 0.1, 0.2, 0.3, 0.4])
def test_a_sighup_during_the_start_is_survived(
    tmp_path, store, gateways, after_seconds
):
    process = start_until_handlers(gateways, tmp_path, store)
    time.sleep(after_seconds)
    process.send_signal(signal.SIGHUP)
    assert wait_until(gateways[0].is_ready)


# Guards against a SIGTERM during the start that ends a process by the signal.
@pytest.mark.parametrize("after_seconds", [0.0, 0.1])
def test_a_sigterm_during_the_start_ends_the_process_in_good_order(
    tmp_path, store, gateways, after_seconds
):
    process = start_until_handlers(gateways, tmp_path, store)
    time.sleep(after_seconds)
    process.send_signal(signal.SIGTERM)
    assert process.wait(6.0) == 0


# Guards against handlers that stand only once the program has been imported.
def test_handlers_need_no_module_of_the_program():
    script = "import json, sys; import waxwingwinch.platform.__main__;"
    script += "print(json.dumps([*sys.modules]))"
    done = subprocess.run(
        [sys.executable, "-c", script],
        env={"PYTHONPATH": str(SOURCE)},
        check=True,
        capture_output=True,
    )
    loaded = {name for name in json.loads(done.stdout) if "waxwing" in name}
    assert loaded == {
        "waxwingwinch",
        "waxwingwinch._signals",
        "waxwingwinch.platform",
        "waxwingwinch.platform.__main__",
    }


# Guards against a signal that is handled in another thread than the main one,
# which then sleeps on, so that the process is killed with all its requests.
def test_a_signal_is_noticed_whichever_thread_it_is_sent_to(tmp_path, store, gateways):
    gateways.append(Gateway(tmp_path, store, "edge"))
    assert wait_until(gateways[0].is_ready)
    process = gateways[0].process
    threads = sorted(int(name) for name in os.listdir(f"/proc/{process.pid}/task"))
    os.kill(threads[-1], signal.SIGTERM)
    assert process.wait(6.0) == 0
