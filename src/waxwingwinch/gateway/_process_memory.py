"""The memory that the process has, as the kernel counts it."""

import os
import resource
from pathlib import Path

#: Page counts of the process; the second is its resident set.
STATM = Path("/proc/self/statm")
#: Unit of ``ru_maxrss``.
RUSAGE_UNIT_BYTES = 1_024
#: Part of the limit for what the process needs beyond its start: its tables,
#: idle connections, messages of the store and of other instances.
OWN_FRACTION = 0.2
#: Least part of the limit for requests, however large the process is.
MIN_REQUEST_FRACTION = 0.125


def peak_resident_bytes() -> int:
    """Return the largest resident memory of the process so far."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * RUSAGE_UNIT_BYTES
    # The kernel counts both only approximately.
    return max(peak, _statm_bytes() or 0)


def resident_bytes() -> int:
    """Return the resident memory of the process; its peak if unknown."""
    return _statm_bytes() or peak_resident_bytes()


def _statm_bytes() -> int | None:
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")


def request_memory_bytes(memory_bytes: int, resident_bytes: int) -> int:
    """
    Return how much memory requests and their answers may hold.

    :param memory_bytes: Memory limit of the process.
    :param resident_bytes: Resident memory of the process at its start.
    """
    left_bytes = memory_bytes - resident_bytes - int(memory_bytes * OWN_FRACTION)
    return max(left_bytes, int(memory_bytes * MIN_REQUEST_FRACTION))
