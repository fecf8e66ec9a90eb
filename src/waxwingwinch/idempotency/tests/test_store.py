import threading

import pytest

from waxwing_testbed.fakes import AppendFault, MemoryLog
from waxwingwinch._types import CustomerId, InstanceId, ProcessId
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimUnavailable,
    ClaimWithoutOutcome,
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


class StoreHarness:
    """Idempotency stores of several processes on one shared log."""

    def __init__(self):
        self.log = MemoryLog()
        self.dead_runners = set()
        self.stores = []

    def start(self, name, **options):
        runner = ProcessId(InstanceId(name), "start")
        store = LogIdempotencyStore(
            self.log,
            CLOCK,
            runner,
            lambda other: other not in self.dead_runners,
            **options,
        )
        store.start()
        self.stores.append(store)
        while store.health() is Health.STARTING:
            threading.Event().wait(0.01)
        return store


@pytest.fixture
def harness():
    harness = StoreHarness()
    yield harness
    harness.log.is_down = False
    for store in harness.stores:
        store.stop()


def claim(store, key="k", fingerprint="print", timeout_seconds=WAIT_SECONDS):
    now_seconds = CLOCK.now_seconds()
    return store.claim(CUSTOMER, key, fingerprint, timeout_seconds, now_seconds)


def test_a_retry_at_another_instance_gets_the_same_response(harness):
    first, second = harness.start("a"), harness.start("b")
    held = claim(first)
    assert isinstance(held, ClaimHeld)
    first.record_answer(held.claim_id, ANSWER)
    assert claim(second) == ClaimedOutcome(ANSWER)


def test_exactly_one_of_concurrent_claims_is_held(harness):
    store_pair = [harness.start("a"), harness.start("b")]
    results = []

    def run(store):
        results.append(claim(store, timeout_seconds=1.0))

    threads = [
        threading.Thread(target=run, args=(store_pair[n % 2],)) for n in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sum(isinstance(result, ClaimHeld) for result in results) == 1
    assert len(results) == 16


def test_group_commit_saves_appends(harness):
    store = harness.start("a")
    threads = [
        threading.Thread(target=claim, args=(store, f"k{number}"))
        for number in range(50)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert harness.log.append_counts["claims-0"] <= 50


def test_a_key_can_be_claimed_again_after_not_run(harness):
    store = harness.start("a")
    held = claim(store)
    store.record_not_run(held.claim_id)
    assert store.health() is Health.HEALTHY
    again = claim(store, timeout_seconds=5.0)
    while not isinstance(again, ClaimHeld):
        again = claim(store, timeout_seconds=5.0)
    assert again.claim_id != held.claim_id


def test_the_outcome_of_a_dead_runner_is_unknown(harness):
    first, second = harness.start("a"), harness.start("b")
    assert isinstance(claim(first), ClaimHeld)
    harness.dead_runners.add(ProcessId(InstanceId("a"), "start"))
    assert claim(second) == ClaimWithoutOutcome(None)


def test_waiting_for_a_live_runner_is_limited(harness):
    first, second = harness.start("a"), harness.start("b")
    assert isinstance(claim(first), ClaimHeld)
    result = claim(second, timeout_seconds=0.05)
    assert isinstance(result, ClaimWithoutOutcome)
    assert result.retry_after_seconds is not None


def test_a_key_reused_for_another_request_is_rejected(harness):
    store = harness.start("a")
    claim(store)
    assert claim(store, fingerprint="other") == ClaimWithoutOutcome(
        None, same_request=False
    )


def test_without_the_log_nothing_is_claimed(harness):
    store = LogIdempotencyStore(
        harness.log, CLOCK, ProcessId(InstanceId("a"), "s"), lambda _: True
    )
    harness.log.is_down = True
    harness.stores.append(store)
    store.start()
    assert isinstance(claim(store), ClaimUnavailable)


def test_a_key_can_be_claimed_after_a_timed_out_claim_and_an_outage(harness):
    store = harness.start("a")
    harness.log.is_down = True
    assert isinstance(claim(store, timeout_seconds=0.1), ClaimUnavailable)
    harness.log.is_down = False
    result = claim(store)
    while not isinstance(result, ClaimHeld):
        result = claim(store)


@pytest.mark.parametrize("fault", list(AppendFault))
def test_a_claim_survives_a_faulty_append(harness, fault):
    store = harness.start("a")
    harness.log.append_faults = [fault]
    assert isinstance(claim(store), ClaimHeld)


def test_a_large_response_is_reported_as_executed(harness):
    store = harness.start("a")
    held = claim(store)
    large = StoredAnswer(200, (), bytes(MAX_ANSWER_BYTES + 1))
    store.record_answer(held.claim_id, large)
    assert claim(store) == ClaimedOutcome(ANSWER_NOT_KEPT)


def test_a_restarted_store_returns_earlier_responses(harness):
    first = harness.start("a")
    held = claim(first)
    first.record_answer(held.claim_id, ANSWER)
    assert claim(harness.start("b")) == ClaimedOutcome(ANSWER)
