"""Appends that non-idempotent requests cost the log."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from waxwing_testbed import free_addresses
from waxwing_testbed.capacity._figures import Figure
from waxwing_testbed.capacity._samples import HOLDER, customer_id_of
from waxwing_testbed.standins import (
    PlatformSettings,
    StandinProcess,
    StandinSettings,
)
from waxwingwinch._types import LogPage, ProcessId
from waxwingwinch.adapters import HttpPlatformLog
from waxwingwinch.contracts import ClaimHeld, StoredAnswer
from waxwingwinch.idempotency import LogIdempotencyStore
from waxwingwinch.kernel import Health, SystemClock

#: Requests with an idempotency key.
REQUESTS = 1_000
#: Requests under way at one time.
CONCURRENCIES = (1, 8, 32, 64)
#: Most records in an append.
GROUPED_RECORDS = 256
#: Turns group commit off.
SINGLE_RECORDS = 1
TIMEOUT_SECONDS = 10.0
START_PAUSE_SECONDS = 0.05
_ANSWER = StoredAnswer(200, (("Content-Type", "application/json"),), b"x" * 128)


class CountingLog:
    """
    Counts the appends that another log acknowledged.

    :param log: The log.
    """

    def __init__(self, log: HttpPlatformLog) -> None:
        self._log = log
        self._appends = 0
        self._lock = threading.Lock()

    def append(
        self, stream: str, payloads: Sequence[bytes], timeout_seconds: float
    ) -> int:
        """Append and count."""
        offset = self._log.append(stream, payloads, timeout_seconds)
        with self._lock:
            self._appends += 1
        return offset

    def read(
        self, stream: str, from_offset: int, wait_seconds: float, timeout_seconds: float
    ) -> LogPage:
        """Read."""
        return self._log.read(stream, from_offset, wait_seconds, timeout_seconds)

    def appends(self) -> int:
        """Return the number of acknowledged appends."""
        with self._lock:
            return self._appends


def measure_claims(note: Callable[[str], None]) -> list[Figure]:
    """
    Count appends with and without group commit.

    :param note: Told what is being done.
    """
    figures = []
    for concurrency in CONCURRENCIES:
        note(f"{concurrency} claims at a time")
        figures.append(_figure("grouped", concurrency, GROUPED_RECORDS))
    note("claims without group commit")
    figures.append(_figure("single", CONCURRENCIES[1], SINGLE_RECORDS))
    return figures


def _figure(name: str, concurrency: int, max_batch_records: int) -> Figure:
    appends = _count_appends(concurrency, max_batch_records)
    return Figure(
        f"appends_{name}_{concurrency}_at_a_time",
        appends / REQUESTS * 1_000,
        "appends in 1,000 requests",
        "appends acknowledged by the stand-in log over HTTP, one entry's store",
    )


def _count_appends(concurrency: int, max_batch_records: int) -> int:
    admin, address = free_addresses(2)
    platform = StandinProcess(
        StandinSettings(admin, platform=PlatformSettings(address))
    )
    platform.start()
    log = CountingLog(HttpPlatformLog(address))
    store = LogIdempotencyStore(
        log,
        SystemClock(),
        ProcessId(HOLDER.instance_id, HOLDER.incarnation),
        lambda runner: True,
        max_batch_records=max_batch_records,
    )
    store.start()
    try:
        while store.health() is not Health.HEALTHY:
            time.sleep(START_PAUSE_SECONDS)
        with ThreadPoolExecutor(concurrency) as pool:
            list(pool.map(lambda number: _run_once(store, number), range(REQUESTS)))
        return log.appends()
    finally:
        store.stop()
        platform.stop()


def _run_once(store: LogIdempotencyStore, number: int) -> None:
    clock = SystemClock()
    claim = store.claim(
        customer_id_of(0), f"order-{number}", "f", TIMEOUT_SECONDS, clock.now_seconds()
    )
    if not isinstance(claim, ClaimHeld):
        raise RuntimeError(f"the claim was not held: {claim}")
    store.record_answer(claim.claim_id, _ANSWER)
