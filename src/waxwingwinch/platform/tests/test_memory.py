"""The memory of a gateway process stays below its limit."""

import http.client
import json
import socket

import pytest

from waxwingwinch.gateway._front import REQUEST_BYTES
from waxwingwinch.platform.tests.memory_callers import (
    BYTES_PER_MB,
    MAX_BODY_BYTES,
    MemoryHarness,
)
from waxwingwinch.platform.tests.standin import HOST, wait_until


def metrics_of(gateway):
    """Return the gateway's metrics without labels by name."""
    connection = http.client.HTTPConnection(HOST, gateway.metrics, timeout=5.0)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    pairs = [line.split(" ") for line in lines if not line.startswith("#")]
    return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}


def held_bytes(gateway):
    """Return what the gateway's requests hold."""
    return metrics_of(gateway)["waxwing_request_memory_bytes"]


def lines_of(gateway, message_type):
    """Return the lines of a message type that a gateway has logged."""
    with open(gateway.log.name, encoding="utf-8") as log:
        lines = [json.loads(line) for line in log if line.startswith("{")]
    return [line for line in lines if line.get("message_type") == message_type]


def test_metrics_and_the_last_line_tell_the_memory(tmp_path):
    with MemoryHarness(tmp_path, 150) as harness:
        metrics = metrics_of(harness.gateway)
        resident = metrics["waxwing_resident_bytes"]
        assert 10 * BYTES_PER_MB < resident <= metrics["waxwing_resident_peak_bytes"]
        assert metrics["waxwing_request_memory_bytes"] == 0
        limit = metrics["waxwing_request_memory_limit_bytes"]
        assert 0 < limit <= 150 * BYTES_PER_MB
        harness.gateway.process.terminate()
        harness.gateway.process.wait(10.0)
        (line,) = lines_of(harness.gateway, "gateway:memory_used")
        assert line["memory_bytes"] == 150 * BYTES_PER_MB
        assert line["resident_peak_bytes"] >= resident


# Guards against a process that long bodies, as the configuration allows them,
# drive over its memory: it is killed and takes all its requests along.
@pytest.mark.parametrize(("memory_mb", "callers"), [(100, 40), (150, 60), (300, 100)])
def test_long_bodies_stay_below_the_limit(tmp_path, memory_mb, callers):
    with MemoryHarness(tmp_path, memory_mb, work_seconds=1.5) as harness:
        whole = [harness.caller(pause_seconds=0.005) for _ in range(callers)]
        unfinished = [
            harness.caller(sent_bytes=MAX_BODY_BYTES // 2) for _ in range(callers // 10)
        ]
        endless = [harness.caller(length=None) for _ in range(callers // 10)]
        harness.call(*whole, *unfinished, *endless)
        assert harness.gateway.process.poll() is None
        assert harness.memory_mb() < memory_mb
        everyone = (*whole, *unfinished, *endless)
        assert [caller.error for caller in everyone if not caller.status] == []
        assert {caller.status for caller in whole} <= {200, 503}
        assert {caller.status for caller in unfinished} <= {408, 503}
        assert {caller.status for caller in endless} <= {413, 503}
        refused = [caller for caller in everyone if caller.status == 503]
        assert all(b"Retry-After: " in caller.answer for caller in refused)
        assert refused
        metrics = metrics_of(harness.gateway)
        assert metrics['waxwing_refusals_total{kind="memory"}'] == len(refused)
        # The last answers arrive before their memory is given back.
        assert wait_until(lambda: held_bytes(harness.gateway) == 0, 3.0)
        line = lines_of(harness.gateway, "request:memory_exhausted")[0]
        assert line["requested_bytes"] > line["free_bytes"]
        passed_on = harness.upstream.request_ids
        assert not passed_on & {caller.request_id for caller in refused}
        assert harness.call(harness.caller(length=100)).status == 200


# Guards against refusing a burst of ordinary requests for their memory.
@pytest.mark.parametrize(("memory_mb", "callers"), [(100, 100), (300, 256)])
def test_a_burst_of_small_requests_is_served(tmp_path, memory_mb, callers):
    with MemoryHarness(tmp_path, memory_mb, work_seconds=1.5) as harness:
        burst = [harness.caller(length=1_000) for _ in range(callers)]
        harness.call(*burst)
        assert {caller.status for caller in burst} == {200}
        assert harness.memory_mb() < memory_mb


# Guards against freed bodies that stay resident: with the allocator's defaults
# each burst of mixed lengths left more behind, up to the next one's limit.
def test_freed_bodies_go_back_to_the_system(tmp_path):
    lengths = (3_000, 40_000, 120_000, 200_000, 800_000, 2_000_000)
    with MemoryHarness(tmp_path, 1_000, work_seconds=0.3) as harness:
        before_mb = harness.memory_mb("VmRSS")
        for _ in range(5):
            burst = [
                harness.caller(length=length, pause_seconds=0.002)
                for length in lengths * 8
            ]
            harness.call(*burst)
            assert {caller.status for caller in burst} == {200}
        # A fifth of the smallest limit, 100 MB, is left to the process itself.
        assert wait_until(lambda: harness.memory_mb("VmRSS") < before_mb + 20, 2.0)


# Guards against bytes that the kernel takes for a connection and nobody reads:
# they count towards the memory of the process on the users' platform.
def test_what_callers_send_ahead_is_covered_by_their_requests(tmp_path):
    with MemoryHarness(tmp_path, 150, work_seconds=2.0) as harness:
        caller = harness.caller()
        address = (HOST, harness.gateway.front)
        with socket.create_connection(address, 5.0) as connection:
            caller.send(connection)
            assert caller.send_ahead(connection) <= REQUEST_BYTES
