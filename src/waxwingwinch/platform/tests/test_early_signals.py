"""Signals in the first moments of a process."""

import os
import signal
import time

import pytest

from waxwingwinch.platform.tests.standin import Gateway, wait_until


# Guards against a SIGHUP that ends a process which is still starting.
@pytest.mark.parametrize("after_seconds", [0.1, 0.15, 0.2, 0.3, 0.4])
def test_a_sighup_during_the_start_is_survived(
    tmp_path, store, gateways, after_seconds
):
    gateways.append(Gateway(tmp_path, store, "edge"))
    time.sleep(after_seconds)
    gateways[0].process.send_signal(signal.SIGHUP)
    assert wait_until(gateways[0].is_ready)


# Guards against a SIGTERM during the start that ends a process by the signal.
def test_a_sigterm_during_the_start_ends_the_process_in_good_order(
    tmp_path, store, gateways
):
    gateways.append(Gateway(tmp_path, store, "edge"))
    time.sleep(0.15)
    gateways[0].process.send_signal(signal.SIGTERM)
    assert gateways[0].process.wait(6.0) == 0


# Guards against a signal that is handled in another thread than the main one,
# which then sleeps on, so that the process is killed with all its requests.
def test_a_signal_is_noticed_whichever_thread_it_is_sent_to(tmp_path, store, gateways):
    gateways.append(Gateway(tmp_path, store, "edge"))
    assert wait_until(gateways[0].is_ready)
    process = gateways[0].process
    threads = sorted(int(name) for name in os.listdir(f"/proc/{process.pid}/task"))
    os.kill(threads[-1], signal.SIGTERM)
    assert process.wait(6.0) == 0
