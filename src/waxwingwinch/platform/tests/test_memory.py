"""The memory of a gateway process stays below its limit."""

import http.client
import json

from waxwingwinch.platform.tests.memory_callers import (
    BYTES_PER_MB,
    MemoryHarness,
)
from waxwingwinch.platform.tests.standin import HOST


def metrics_of(gateway):
    """Return the gateway's metrics without labels by name."""
    connection = http.client.HTTPConnection(HOST, gateway.metrics, timeout=5.0)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    pairs = [line.split(" ") for line in lines if not line.startswith("#")]
    return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}


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
