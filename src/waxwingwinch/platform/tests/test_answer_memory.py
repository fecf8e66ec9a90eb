"""The memory that answers take in a gateway process."""

import threading
import time

import pytest

from waxwingwinch.platform.tests.answer_memory_standins import (
    MEGABYTE,
    MemoryHarness,
    Outcome,
    checksum,
)

SLOW_BYTES_PER_SECOND = 2 * MEGABYTE
LARGE_BYTES = 6 * MEGABYTE
#: Refusals that promise that the request has not run, and failures that
#: promise nothing.
TRUTHFUL_STATUSES = {502, 503, 504}


@pytest.fixture
def start(tmp_path):
    """Start gateways with a memory limit, and stop them after the test."""
    harnesses = []

    def start_one(memory_mb, **limits):
        harnesses.append(MemoryHarness(tmp_path, memory_mb, limits))
        return harnesses[-1]

    yield start_one
    for harness in harnesses:
        harness.stop()


def assert_within(harness, memory_mb):
    """Check that the process runs, within its limit, and serves callers."""
    assert harness.is_running()
    assert harness.peak_megabytes() < memory_mb
    assert harness.call("/a/size/10").status == 200


# Guards against an end for lack of memory while callers read slowly.
@pytest.mark.parametrize(("memory_mb", "callers"), [(300, 60), (150, 30)])
def test_large_answers_to_slow_callers_stay_within_memory(start, memory_mb, callers):
    harness = start(memory_mb)
    outcomes = harness.call_at_once(
        callers, f"/a/size/{LARGE_BYTES}", SLOW_BYTES_PER_SECOND
    )
    assert_within(harness, memory_mb)
    served = [outcome for outcome in outcomes if outcome.status == 200]
    assert all(
        (outcome.size_bytes, outcome.checksum) == (LARGE_BYTES, checksum(LARGE_BYTES))
        for outcome in served
    )
    assert {outcome.status for outcome in outcomes} <= TRUTHFUL_STATUSES | {200}
    assert len(served) >= callers / 2


# Guards against an end for lack of memory beside one faulty upstream.
@pytest.mark.parametrize(
    "kind",
    [
        "endless-chunked",
        "endless-unframed",
        "huge-length",
        "endless-head",
        "endless-line",
        "endless-trailer",
    ],
)
def test_an_answer_without_end_stays_within_memory(start, kind):
    harness = start(150)
    callers = [
        threading.Thread(
            target=harness.call, args=(f"/a/{kind}", SLOW_BYTES_PER_SECOND)
        )
        for _ in range(4)
    ]
    for caller in callers:
        caller.daemon = True
        caller.start()
    end_seconds = time.monotonic() + 3.0
    while time.monotonic() < end_seconds:
        assert harness.call("/a/size/1000").size_bytes == 1_000
        time.sleep(0.1)
    assert_within(harness, 150)


# Guards against an answer without end that looks complete.
@pytest.mark.parametrize("route", ["a", "u"])
def test_a_large_answer_that_breaks_off_looks_incomplete(start, route):
    harness = start(300)
    outcome = harness.call(f"/{route}/cut/{LARGE_BYTES}")
    assert not (outcome.status == 200 and outcome.is_whole)


# Guards against an end for lack of memory beside engines that never end an
# event.
def test_events_without_end_stay_within_memory(start):
    harness = start(150)
    outcomes = harness.call_at_once(40, "/s/endless-event")
    assert_within(harness, 150)
    assert not any(outcome.is_whole for outcome in outcomes if outcome.status == 200)
    assert {outcome.status for outcome in outcomes} <= TRUTHFUL_STATUSES | {200}


# Guards against an end for lack of memory while events of many streams are
# incomplete.
def test_incomplete_events_stay_within_memory(start):
    harness = start(150)
    outcomes = harness.call_at_once(100, "/s/long-event/900000")
    assert_within(harness, 150)
    assert {outcome.status for outcome in outcomes} <= TRUTHFUL_STATUSES | {200}
    served = [
        outcome for outcome in outcomes if outcome.status == 200 and outcome.is_whole
    ]
    assert all(outcome.size_bytes > 900_000 for outcome in served)
    assert len(served) >= 10


# Guards against an end for lack of memory while callers don't read streams.
def test_streams_that_nobody_reads_stay_within_memory(start):
    harness = start(150)
    connections = [harness.open(f"/s/events/{LARGE_BYTES}") for _ in range(100)]
    time.sleep(3.0)
    assert_within(harness, 150)
    for connection in connections:
        connection.close()


# Guards against a bound that cuts proper answers.
@pytest.mark.parametrize("kind", ["size", "chunked-size", "unframed-size"])
def test_large_answers_to_fast_callers_pass_whole(start, kind):
    harness = start(150)
    size_bytes = 40 * MEGABYTE
    outcome = harness.call(f"/a/{kind}/{size_bytes}")
    assert (outcome.status, outcome.size_bytes) == (200, size_bytes)
    assert outcome.checksum == checksum(size_bytes)
    assert outcome.is_whole
    assert_within(harness, 150)


# Guards against an answer that is cut when its caller pauses for longer than
# the time for a head.
def test_a_caller_that_pauses_keeps_its_answer(start):
    harness = start(300, headerTimeoutMs=1_000)
    outcome = harness.call(f"/a/size/{LARGE_BYTES}", pause_seconds=3.0)
    assert outcome == Outcome(
        200, LARGE_BYTES, checksum(LARGE_BYTES), True, outcome.first_seconds
    )


# Guards against framing that doesn't fit an answer without a body.
def test_heads_alone_are_answered(start):
    harness = start(300)
    outcome = harness.call(f"/a/size/{LARGE_BYTES}", method="HEAD")
    assert (outcome.status, outcome.size_bytes) == (200, 0)
