"""
Measures the latency that the gateway adds to calls and stream events.

Run as ``python -m waxwingwinch.platform.tests.added_time``.
"""

import http.client
import statistics
import tempfile
import time
from pathlib import Path

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    wait_until,
)

CALLS = 300
STREAMS = 40
EVENTS = 20
EVENT_PAUSE_SECONDS = 0.01
MILLISECONDS_PER_SECOND = 1_000


def timed(port, path, number):
    """Return the time from the request to each read of the response body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=5.0)
    headers = {
        "Host": "shop.example",
        "X-Waxwingwinch-Request-Id": f"{port}-{number}-{path}",
        "X-Waxwingwinch-Deadline-Ms": "3000",
        "X-Waxwingwinch-Key": KEY,
    }
    connection.connect()
    started_seconds = time.perf_counter()
    connection.request("POST", path, b"", headers)
    response = connection.getresponse()
    times = []
    while response.read1():
        times.append(time.perf_counter() - started_seconds)
    connection.close()
    return times


def quantiles(values):
    """Return the median and the 99th percentile, in milliseconds."""
    ordered = sorted(values)
    median = statistics.median(ordered)
    high = ordered[int(0.99 * (len(ordered) - 1))]
    return median * MILLISECONDS_PER_SECOND, high * MILLISECONDS_PER_SECOND


def measure(name, port):
    """Print the latencies of calls and streams at a port."""
    calls = [timed(port, "/a/x", number)[-1] for number in range(CALLS)]
    streams = [timed(port, "/s/stream", number) for number in range(STREAMS)]
    first = [times[0] for times in streams]
    last = [times[-1] / EVENTS for times in streams]
    for kind, values in (("call", calls), ("first event", first), ("event", last)):
        median, high = quantiles(values)
        print(f"{name:8} {kind:12} p50 {median:6.2f} ms  p99 {high:6.2f} ms")


def main():
    """Measure an upstream directly and through the gateway."""
    store, upstream = StoreStandin(), UpstreamStandin("u1")
    upstream.events, upstream.pause_seconds = EVENTS, EVENT_PAUSE_SECONDS
    store.put("op", "config", make_configuration(1))
    upstream.register(store)
    with tempfile.TemporaryDirectory() as folder:
        gateway = Gateway(Path(folder), store, "edge-0")
        try:
            wait_until(lambda: len(timed_or_none(gateway.front)) > 0)
            measure("direct", upstream.port)
            measure("gateway", gateway.front)
        finally:
            gateway.stop()
    upstream.stop()
    store.stop()


def timed_or_none(port):
    """Return the times of a call; empty while the port refuses connections."""
    try:
        return timed(port, "/a/x", -1)
    except OSError:
        return []


if __name__ == "__main__":
    main()
