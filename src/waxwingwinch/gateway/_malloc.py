"""Settings of the C library's allocator."""

import ctypes

from waxwingwinch.gateway._process_log_lines import MallocUnchanged

#: Parameters of ``mallopt``, from ``malloc.h`` of the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
#: Buffers from this size on are mapped, and unmapped once they are freed. A
#: value that is set doesn't grow with the buffers that are freed, as the
#: default one does.
MMAP_THRESHOLD_BYTES = 131_072
#: Free memory at the end of the heap that is kept.
TRIM_THRESHOLD_BYTES = 131_072
#: Heaps beyond the first keep what they have freed; threads share them, as
#: only one runs at a time.
ARENAS = 1

SETTINGS = (
    (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES),
    (M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES),
    (M_ARENA_MAX, ARENAS),
)


def return_freed_memory() -> bool:
    """
    Make the allocator return freed memory to the system at once.

    :returns: False if the C library has no such settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        MallocUnchanged(reason=repr(error)).write()
        return False
    accepted = [mallopt(parameter, value) == 1 for parameter, value in SETTINGS]
    if not all(accepted):
        MallocUnchanged(reason=f"accepted: {accepted}").write()
    return all(accepted)
