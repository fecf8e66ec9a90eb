"""Callers that use up the descriptors of a real gateway process."""

import os
import resource
import socket
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    wait_until,
)

REQUEST = (
    "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n"
    f"X-Waxwingwinch-Request-Id: r\r\nX-Waxwingwinch-Key: {KEY}\r\n\r\n"
).encode()
#: Descriptors that the process may open beyond those that it has.
SPARE_DESCRIPTORS = 30
#: Idle callers; more than the process has descriptors for.
IDLE_CALLERS = 60
ANSWER_SECONDS = 2.0


def ask(caller):
    """Send a request; return the response, empty if none arrived in time."""
    try:
        caller.sendall(REQUEST)
        return caller.recv(1_024)
    except OSError:
        return b""


@pytest.fixture
def gateway(tmp_path):
    store, upstream = StoreStandin(), UpstreamStandin("u1")
    store.put("op", "config", make_configuration(1))
    upstream.register(store)
    gateway = Gateway(tmp_path, store, "edge-0")

    def is_serving():
        try:
            with socket.create_connection((HOST, gateway.front), 2.0) as caller:
                return ask(caller).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    assert wait_until(is_serving)
    yield gateway
    for server in (gateway, store, upstream):
        server.stop()


def connect(gateway):
    caller = socket.create_connection((HOST, gateway.front), 5.0)
    caller.settimeout(ANSWER_SECONDS)
    return caller


def limit_descriptors(gateway):
    pid = gateway.process.pid
    count = len(os.listdir(f"/proc/{pid}/fd")) + SPARE_DESCRIPTORS
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard))


def processor_seconds(gateway):
    stat = Path(f"/proc/{gateway.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# Guards against kept connections that are not read while no further connection
# can be accepted.
def test_kept_callers_are_served_while_descriptors_are_used_up(gateway):
    with ExitStack() as callers:
        kept = callers.enter_context(connect(gateway))
        assert ask(kept).startswith(b"HTTP/1.1 200")
        limit_descriptors(gateway)
        for _ in range(IDLE_CALLERS):
            callers.enter_context(connect(gateway))
        started_seconds = processor_seconds(gateway)
        for _ in range(15):
            assert ask(kept).startswith(b"HTTP/1.1 200")
            time.sleep(0.1)
        assert processor_seconds(gateway) - started_seconds < 0.5


# Guards against idle callers that keep all others from connecting for as long
# as they stay.
def test_idle_callers_make_room_for_new_ones(gateway):
    with ExitStack() as callers:
        limit_descriptors(gateway)
        for _ in range(IDLE_CALLERS):
            idle = callers.enter_context(connect(gateway))
            idle.settimeout(0.1)
            ask(idle)
        newcomer = callers.enter_context(connect(gateway))
        assert ask(newcomer).startswith(b"HTTP/1.1 200")
