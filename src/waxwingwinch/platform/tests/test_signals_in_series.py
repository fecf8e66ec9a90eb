"""Signals that follow one another closely."""

import signal
import subprocess
import time

import pytest

from waxwingwinch.platform.tests.standin import (
    Gateway,
    StoreStandin,
    make_configuration,
    wait_until,
)

SERIES = 500
#: The grace period of the gateway, after which the platform sends SIGKILL.
GRACE_SECONDS = 4.0


@pytest.fixture
def gateway(tmp_path):
    store = StoreStandin()
    store.put("op", "config", make_configuration(1))
    gateway = Gateway(tmp_path, store, "edge")
    yield gateway
    gateway.stop()
    store.stop()


# Guards against a signal that interrupts the handler of the one before and
# waits for a lock which that handler holds: the process then never stops, and
# SIGKILL cuts its requests (LOST).
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_stop_after_a_series_of_signals_ends_in_time(gateway, tmp_path, number):
    log = tmp_path / "edge.log"
    assert wait_until(lambda: b"gateway:joined" in log.read_bytes())
    # The main thread has still to begin its wait for a stop.
    time.sleep(0.5)
    for _ in range(SERIES):
        gateway.process.send_signal(number)
    gateway.process.send_signal(signal.SIGTERM)
    try:
        status = gateway.process.wait(GRACE_SECONDS)
    except subprocess.TimeoutExpired:
        status = None
    assert status == 0
    assert b"gateway:stopped" in log.read_bytes()
