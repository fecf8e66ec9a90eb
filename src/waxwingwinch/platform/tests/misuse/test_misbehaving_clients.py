"""A process outlives its clients and answers others, whatever they send."""

import http.client
import os
import time
from pathlib import Path

import pytest

from waxwingwinch.platform.tests.misuse.clients import (
    CLIENTS,
    LEGAL_BYTES,
    SENDERS,
    Crowd,
)
from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    wait_until,
)

#: Memory of the process; it has some 45 MB without requests.
MEMORY_MB = 80
#: Descriptors of the process, for 50 requests at once.
MAX_FDS = 400
#: Time for the clients to take what they can get, before others ask.
SETTLE_SECONDS = 1.0
#: Longest wait for an answer, over several attempts.
PATIENCE_SECONDS = 4.0
#: Port of the gateway and path by kind of address.
ADDRESSES = {
    "routed": ("front", "/a/x"),
    "unrouted": ("front", "/none"),
    "readiness": ("ready", "/v1/readyz"),
    "directory": ("directory", "/v1/resolve"),
    "metrics": ("metrics", "/metrics"),
    "peers": ("peers", "/"),
}


class Harness:
    """A gateway process with low limits, a store and an upstream."""

    def __init__(self, folder):
        self.store, self.upstream = StoreStandin(), UpstreamStandin("u1")
        self.upstream.slots = 1_000
        # Requests are under way at the same time, as at real upstreams.
        self.upstream.work_seconds = 0.5
        configuration = make_configuration(1)
        configuration["limits"] = {
            "maxBodyBytes": LEGAL_BYTES,
            "maxHeaderBytes": 16_384,
            "headerTimeoutMs": 600,
            "idleTimeoutMs": 2_000,
        }
        configuration["services"][0]["maxConns"] = 1_000
        self.store.put("op", "config", configuration)
        self.upstream.register(self.store)
        self.gateway = Gateway(
            folder,
            self.store,
            "edge",
            more_settings=f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_FDS}\n",
        )

    @property
    def proc(self):
        return Path(f"/proc/{self.gateway.process.pid}")

    @property
    def is_alive(self):
        return self.gateway.process.poll() is None

    def stop(self):
        for server in (self.gateway, self.store, self.upstream):
            server.stop()

    def reset_peak(self):
        (self.proc / "clear_refs").write_text("5")

    def peak_mb(self):
        status = (self.proc / "status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1_024

    def descriptors(self):
        return len(os.listdir(self.proc / "fd"))

    def ask(self, port, method, target, body=None):
        """Return the status of an ordinary request; 0 without an answer."""
        connection = http.client.HTTPConnection(HOST, port, timeout=3.0)
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": "ordinary",
            "X-Waxwingwinch-Key": KEY,
        }
        try:
            connection.request(method, target, body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def is_answering(self):
        """Tell whether an ordinary request is served, in some attempts."""
        return wait_until(
            lambda: not self.is_alive or self.is_served(), PATIENCE_SECONDS
        )

    def is_served(self):
        return self.ask(self.gateway.front, "POST", "/a/x", b"order") == 200

    def is_ready(self):
        return wait_until(
            lambda: not self.is_alive or self.gateway.is_ready(), PATIENCE_SECONDS
        )


@pytest.fixture(scope="module")
def harnesses(tmp_path_factory):
    """Return the process in use; a test that fails leaves none behind."""
    started: list[Harness] = []
    yield started, tmp_path_factory
    for harness in started:
        harness.stop()


@pytest.fixture
def harness(harnesses):
    started, folders = harnesses
    if not started:
        started.append(Harness(folders.mktemp("edge")))
        # The start of a process takes longer than its answers.
        assert wait_until(started[0].is_served)
        assert wait_until(started[0].gateway.is_ready)
    yield started[0]


# Guards against clients that end or hang a process, take its memory or its
# descriptors, or the threads by which others are answered.
@pytest.mark.parametrize("kind", SENDERS)
@pytest.mark.parametrize("address", ADDRESSES)
def test_clients_harm_nobody_else(harness, harnesses, address, kind):
    port_name, target = ADDRESSES[address]
    harness.reset_peak()
    before = harness.descriptors()
    found = {}
    try:
        with Crowd(getattr(harness.gateway, port_name), target, kind):
            time.sleep(SETTLE_SECONDS)
            found["answers beside"] = harness.is_answering()
            found["ready beside"] = harness.is_ready()
            found["alive"] = harness.is_alive
            if harness.is_alive:
                found["descriptors"] = harness.descriptors() <= MAX_FDS
                peak_mb = harness.peak_mb()
                print(f"peak of {peak_mb:.0f} MB, {harness.descriptors()} descriptors")
                found["memory"] = peak_mb < MEMORY_MB
        if harness.is_alive:
            found["answers after"] = harness.is_answering()
            found["ready after"] = harness.is_ready()
            found["closed"] = wait_until(
                lambda: harness.descriptors() < before + CLIENTS, PATIENCE_SECONDS
            )
    finally:
        is_whole = bool(found) and all(found.values())
        if not is_whole:
            harnesses[0].remove(harness)
            harness.stop()
    assert [name for name, is_met in found.items() if not is_met] == []
