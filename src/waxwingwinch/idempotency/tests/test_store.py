import threading

import pytest

from waxwing_testbed.fakes import AppendFault, MemoryLog
from waxwingwinch._types import CustomerId, InstanceId, ProcessId
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimPending,
    ClaimUnavailable,
    StoredAnswer,
)
from waxwingwinch.idempotency import (
    ANSWER_NOT_KEPT,
    MAX_ANSWER_BYTES,
    LogIdempotencyStore,
)
from waxwingwinch.kernel import Health, SystemClock

CUSTOMER = CustomerId("greenwood")
CLOCK = SystemClock()
ANSWER = StoredAnswer(201, (("X-Order", "7"),), b"booked")
WAIT_SECONDS = 10.0


class Stores:
    """Stores of several processes on one log."""

    def __init__(self):
        self.log = MemoryLog()
        self.dead = set()
        self.all = []

    def start(self, name, **options):
        runner = ProcessId(InstanceId(name), "start")
        store = LogIdempotencyStore(
            self.log, CLOCK, runner, lambda other: other not in self.dead, **options
        )
        store.start()
        self.all.append(store)
        while store.health() is Health.STARTING:
            threading.Event().wait(0.01)
        return store


@pytest.fixture
def stores():
    stores = Stores()
    yield stores
    stores.log.is_down = False
    for store in stores.all:
        store.stop()


def claim(store, key="k", fingerprint="print", timeout_seconds=WAIT_SECONDS):
    now_seconds = CLOCK.now_seconds()
    return store.claim(CUSTOMER, key, fingerprint, timeout_seconds, now_seconds)


def test_a_repeat_at_another_instance_gets_the_same_answer(stores):
    first, second = stores.start("a"), stores.start("b")
    held = claim(first)
    assert isinstance(held, ClaimHeld)
    first.record_answer(held.claim_id, ANSWER)
    assert claim(second) == ClaimedOutcome(ANSWER)


def test_of_many_concurrent_claims_one_is_held(stores):
    pair = [stores.start("a"), stores.start("b")]
    results = []

    def run(store):
        results.append(claim(store, timeout_seconds=1.0))

    threads = [threading.Thread(target=run, args=(pair[n % 2],)) for n in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(isinstance(result, ClaimHeld) for result in results) == 1
    assert len(results) == 16


def test_group_commit_saves_appends(stores):
    store = stores.start("a")
    threads = [
        threading.Thread(target=claim, args=(store, f"k{number}"))
        for number in range(50)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert stores.log.append_counts["claims-0"] <= 50


def test_a_key_can_be_claimed_again_after_not_run(stores):
    store = stores.start("a")
    held = claim(store)
    store.record_not_run(held.claim_id)
    assert store.health() is Health.HEALTHY
    again = claim(store, timeout_seconds=5.0)
    while not isinstance(again, ClaimHeld):
        again = claim(store, timeout_seconds=5.0)
    assert again.claim_id != held.claim_id


def test_the_outcome_of_a_dead_runner_is_unknown(stores):
    first, second = stores.start("a"), stores.start("b")
    assert isinstance(claim(first), ClaimHeld)
    stores.dead.add(ProcessId(InstanceId("a"), "start"))
    assert claim(second) == ClaimPending(None)


def test_a_living_runner_is_waited_for_a_limited_time(stores):
    first, second = stores.start("a"), stores.start("b")
    assert isinstance(claim(first), ClaimHeld)
    result = claim(second, timeout_seconds=0.05)
    assert isinstance(result, ClaimPending)
    assert result.retry_after_seconds is not None


def test_a_key_used_with_another_request_is_told(stores):
    store = stores.start("a")
    claim(store)
    assert claim(store, fingerprint="other") == ClaimPending(None, same_request=False)


def test_without_the_log_nothing_is_claimed(stores):
    store = LogIdempotencyStore(
        stores.log, CLOCK, ProcessId(InstanceId("a"), "s"), lambda _: True
    )
    stores.log.is_down = True
    stores.all.append(store)
    store.start()
    assert isinstance(claim(store), ClaimUnavailable)


def test_a_claim_that_timed_out_is_freed_once_the_log_is_back(stores):
    store = stores.start("a")
    stores.log.is_down = True
    assert isinstance(claim(store, timeout_seconds=0.1), ClaimUnavailable)
    stores.log.is_down = False
    result = claim(store)
    while not isinstance(result, ClaimHeld):
        result = claim(store)


@pytest.mark.parametrize("fault", list(AppendFault))
def test_a_claim_survives_a_faulty_append(stores, fault):
    store = stores.start("a")
    stores.log.append_faults = [fault]
    assert isinstance(claim(store), ClaimHeld)


def test_a_large_answer_is_told_to_have_run(stores):
    store = stores.start("a")
    held = claim(store)
    large = StoredAnswer(200, (), bytes(MAX_ANSWER_BYTES + 1))
    store.record_answer(held.claim_id, large)
    assert claim(store) == ClaimedOutcome(ANSWER_NOT_KEPT)


def test_a_restarted_store_knows_earlier_answers(stores):
    first = stores.start("a")
    held = claim(first)
    first.record_answer(held.claim_id, ANSWER)
    assert claim(stores.start("b")) == ClaimedOutcome(ANSWER)
