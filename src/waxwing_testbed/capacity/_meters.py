"""Processor time and memory of functions and processes."""

import gc
import os
import pathlib
import time
import tracemalloc
from collections.abc import Callable

from attrs import frozen

#: Processor time that a repeated function takes at least.
MIN_PROCESSOR_SECONDS = 0.02
#: Rounds of such repetitions, of which the least counts.
ROUNDS = 5
MICROSECONDS_PER_SECOND = 1_000_000
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
#: Place of the user time in ``/proc/<pid>/stat`` after the name.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_THREADS_FIELD = 17
_RESIDENT_FIELD = 21


@frozen
class ProcessUse:
    """
    What a process has used so far.

    :param processor_seconds: User and system time since its start.
    :param resident_bytes: Present memory.
    :param threads: Present threads.
    """

    processor_seconds: float
    resident_bytes: int
    threads: int


def read_process_use(pid: int) -> ProcessUse:
    """
    Read what the kernel accounts to a process.

    :param pid: Its id.
    :raises OSError: If there is none.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ProcessUse(
        ticks / _TICKS_PER_SECOND,
        int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES,
        int(fields[_THREADS_FIELD]),
    )


def processor_microseconds(call: Callable[[], object]) -> float:
    """
    Return the processor time of one call: the least mean of some rounds.

    Other processes on the same processor only ever lengthen it.

    :param call: What to call.
    """
    count = 1
    while _used_seconds(call, count) < MIN_PROCESSOR_SECONDS:
        count *= 2
    least_seconds = min(_used_seconds(call, count) for _ in range(ROUNDS))
    return least_seconds / count * MICROSECONDS_PER_SECOND


def _used_seconds(call: Callable[[], object], count: int) -> float:
    started_seconds = time.thread_time()
    for _ in range(count):
        call()
    return time.thread_time() - started_seconds


def allocated_bytes(build: Callable[[], object]) -> float:
    """
    Return the memory that a built value holds.

    :param build: Builds the value.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        value = build()
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del value
    return float(after_bytes - before_bytes)
