"""
Measures the peak memory of a gateway process by number and size of requests.

Run as ``python -m waxwingwinch.platform.tests.memory_cost 300 150 100``, with
the limits in MB.
"""

import collections
import sys
import tempfile
from pathlib import Path

from waxwingwinch.platform.tests.memory_callers import MAX_BODY_BYTES, MemoryHarness

#: Time for which the upstream works, so that all requests are under way.
WORK_SECONDS = 1.5
#: Pause of the callers between two parts of a body.
PAUSE_SECONDS = 0.005
#: Numbers of callers at once, and the lengths of their bodies.
BURSTS = ((256, 1_000), (60, 1_500_000), (20, MAX_BODY_BYTES), (100, MAX_BODY_BYTES))


def measure(memory_mb, callers, length):
    """Print the peak memory of a process during one burst."""
    with (
        tempfile.TemporaryDirectory() as folder,
        MemoryHarness(Path(folder), memory_mb, WORK_SECONDS) as harness,
    ):
        burst = [
            harness.caller(length=length, pause_seconds=PAUSE_SECONDS)
            for _ in range(callers)
        ]
        harness.call(*burst)
        statuses = collections.Counter(caller.status for caller in burst)
        print(
            f"{memory_mb} MB, {callers} bodies of {length} bytes: "
            f"{harness.memory_mb():.0f} MB, {dict(statuses)}",
            flush=True,
        )


if __name__ == "__main__":
    for argument in sys.argv[1:]:
        for callers, length in BURSTS:
            measure(int(argument), callers, length)
