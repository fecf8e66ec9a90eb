"""
Measures the cost of idle instances, for different numbers of instances.

Run as ``python -m waxwingwinch.platform.tests.idle_cost 7 20 40``.
"""

import os
import sys
import tempfile
import threading
import time
from pathlib import Path

from waxwingwinch.platform.tests.standin import (
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
)

ZONES = 4
#: Number of upstreams.
UPSTREAMS = 40
#: Interval at which each upstream rewrites its registration record.
HEARTBEAT_SECONDS = 1.2
#: Time until all instances have discovered one another.
SETTLE_SECONDS = 15.0
MEASURED_SECONDS = 10.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(gateway):
    """Return the CPU time that a process has used so far."""
    stat = Path(f"/proc/{gateway.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(gateway):
    """Return the peak resident memory of a process."""
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1_024


def write_registrations(store, stopping):
    """Rewrite the upstreams' records at each heartbeat until stopped."""
    upstream = UpstreamStandin("u")
    while not stopping.is_set():
        for number in range(UPSTREAMS):
            upstream.name = f"u{number}"
            upstream.register(store)
            stopping.wait(HEARTBEAT_SECONDS / UPSTREAMS)
    upstream.stop()


def measure(instances):
    """Start idle instances and print the mean cost of an instance."""
    store, stopping = StoreStandin(), threading.Event()
    store.put("op", "config", make_configuration(1))
    writer = threading.Thread(target=write_registrations, args=(store, stopping))
    writer.start()
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(Path(folder), store, f"edge-{number}", f"zone-{number % ZONES}")
            for number in range(instances)
        ]
        try:
            time.sleep(SETTLE_SECONDS)
            before, calls = sum(map(processor_seconds, gateways)), store.calls
            time.sleep(MEASURED_SECONDS)
            used_seconds = sum(map(processor_seconds, gateways)) - before
            called = store.calls - calls
            per_instance = MEASURED_SECONDS * instances
            print(
                f"{instances:4} instances: {used_seconds / per_instance:.4f} core, "
                f"{called / per_instance:.2f} calls of the store a second, "
                f"{max(map(memory_mb, gateways)):.0f} MB each; "
                f"{calls / instances:.0f} calls and {before / instances:.2f} s of "
                f"processor each in the first {SETTLE_SECONDS:.0f} s"
            )
        finally:
            for gateway in gateways:
                gateway.stop()
            stopping.set()
            writer.join()
            store.stop()


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        measure(int(argument))
