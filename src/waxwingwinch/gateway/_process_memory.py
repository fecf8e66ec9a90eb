"""The memory that the process has, as the kernel counts it."""

import os
import resource
from pathlib import Path

#: Page counts of the process; the second is its resident set.
STATM = Path("/proc/self/statm")
#: Unit of ``ru_maxrss``.
RUSAGE_UNIT_BYTES = 1_024


def peak_resident_bytes() -> int:
    """Return the largest resident memory of the process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * RUSAGE_UNIT_BYTES


def resident_bytes() -> int:
    """Return the resident memory of the process; its peak if unknown."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return peak_resident_bytes()
    return pages * os.sysconf("SC_PAGE_SIZE")
