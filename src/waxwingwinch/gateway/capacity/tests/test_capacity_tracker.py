"""Estimates of the capacity of upstreams, and their exchange."""

import random

from attrs import evolve

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway._placement import PlainOption, place_plain
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.capacity import CapacityRow, CapacityTracker

ZONE = ZoneName("a")


def plain(number, started_ms=1):
    return Upstream(
        UpstreamId(f"p{number}"),
        started_ms,
        "shop",
        Address("p", 1),
        ZONE,
        RegisteredState.READY,
        6,
    )


def measure(tracker, upstream, seconds, now, count=1):
    for index in range(count):
        tracker.observe_plain(upstream, "r", 0, seconds, now + index / 10)


def option(tracker, upstream, now, running=0):
    estimate = tracker.estimate(upstream, now)
    return PlainOption(upstream.upstream_id, ZONE, 6, running, capacity=estimate)


def test_noise_gives_no_estimates():
    """Guards against choices that differ among alike upstreams."""
    tracker, source = CapacityTracker(), random.Random(5)
    upstreams = [plain(number) for number in range(120)]
    unusual = 0
    for step in range(6_000):
        measure(
            tracker, upstreams[step % 120], source.lognormvariate(-2, 0.3), step / 40
        )
        unusual += step % 60 == 0 and tracker.unusual_count(step / 40)
    assert unusual / (100 * 120) < 0.01


def test_known_wait_is_not_slowness():
    """Guards against an engine that is avoided since others have used it."""
    tracker, engine = CapacityTracker(), evolve(plain(1), role=EngineRole.PREFILL)
    other = evolve(plain(2), role=EngineRole.PREFILL)
    for index in range(40):
        tracker.observe_prefill(engine, 0.1, 0.3, 0.4, index / 4)
        tracker.observe_prefill(other, 0.1, 0.0, 0.1, index / 4)
    estimates = [tracker.estimate(each, 10.0).prefill for each in (engine, other)]
    assert estimates[0] == estimates[1] < 1.1


def test_faster_engines_of_a_service_are_expected_to_be_fast():
    """Guards against estimates by the constants of another kind of engine."""
    tracker, engine = CapacityTracker(), evolve(plain(1), role=EngineRole.PREFILL)
    for index in range(60):
        tracker.observe_prefill(engine, 0.2, 0.0, 0.2 * 51 / 93, index / 4)
    unmeasured = evolve(plain(2), role=EngineRole.PREFILL)
    assert 0.5 < tracker.estimate(unmeasured, 15.0).prefill < 0.7


def test_sudden_slowness_counts_within_a_second_and_passes():
    """Guards against seconds of requests to an upstream that became slow."""
    tracker = CapacityTracker()
    for index in range(100):
        measure(tracker, plain(index % 4), 0.1, index / 10)
    for index in range(4):
        measure(tracker, plain(0), 0.4, 10 + index / 4)
    assert tracker.estimate(plain(0), 10.8).plain > 2.0
    assert tracker.estimate(plain(1), 10.8).plain == 1.0
    assert tracker.estimate(plain(0), 25.0).plain < 1.5


def test_unfinished_calls_show_slowness_but_never_speed():
    """Guards against upstreams that never answer and look usual."""
    tracker = CapacityTracker()
    for index in range(40):
        measure(tracker, plain(index % 4), 0.1, index / 10)
    tracker.observe_plain(plain(1), "r", 0, 0.01, 4.0, is_complete=False)
    assert tracker.unusual_count(4.0) == 0
    for index in range(3):
        tracker.observe_plain(plain(1), "r", 0, 0.6, 4 + index / 3, is_complete=False)
    assert tracker.estimate(plain(1), 4.8).plain > 2.0


def test_new_incarnation_has_no_estimate():
    """Guards against a restarted upstream that is avoided for its past."""
    tracker = CapacityTracker()
    measure(tracker, plain(1), 0.1, 0.0, count=20)
    measure(tracker, plain(2), 0.5, 2.0, count=20)
    assert tracker.estimate(plain(2), 4.0).plain > 2.0
    assert tracker.estimate(plain(2, started_ms=2), 4.0).plain == 1.0
    measure(tracker, plain(2, started_ms=2), 0.1, 4.0)
    assert tracker.estimate(plain(2), 4.0).plain == 1.0


def test_retries_avoid_failing_upstreams_which_are_tried_again():
    """Guards against both attempts at upstreams that fail some requests."""
    tracker = CapacityTracker()
    for index in range(40):
        tracker.observe_success(plain(index % 4), index / 10)
    for index in range(2):
        tracker.observe_refusal(plain(1), 4 + index / 10)
    options = [
        option(tracker, plain(1), 4.2),
        option(tracker, plain(2), 4.2, running=12),
    ]
    assert place_plain(options, ZONE, request_id="r") == "p1"
    assert place_plain(options, ZONE, is_retry=True, request_id="r") == "p2"
    idle = [options[0], option(tracker, plain(3), 4.2, running=2)]
    assert place_plain(idle, ZONE, request_id="r") == "p3"
    assert tracker.estimate(plain(1), 60.0).failures == 0.0


def test_rows_are_few_and_merged_once():
    """Guards against control traffic beyond its bound, and double counts."""
    sender, receiver = CapacityTracker(), CapacityTracker()
    upstreams = {plain(number).upstream_id: plain(number) for number in range(200)}
    for index in range(400):
        measure(receiver, plain(index % 4), 0.1, index / 40)
    sent: set[CapacityRow] = set()
    for step in range(500):
        now = 10.0 + step / 50
        for number in range(4):
            measure(
                sender, plain(4 * (step % 50) + number), 0.1 * (1 + 4 * number), now
            )
        if step % 15 == 0:
            rows = sender.rows(410, now)
            sent.update(evolve(row, age_tenths=0) for row in rows)
            assert all(len(encode_message(row)) <= 90 for row in rows)
            for _ in range(2):
                receiver.apply("peer", rows, upstreams.get, now)
    assert 1 <= len(sent) <= 4 + 10 * 100 / 410 + 1
    slow = {row.upstream_id for row in sent}
    assert slow & {upstream_id for upstream_id in receiver._table.upstreams}
    assert len(receiver._table.upstreams) <= 4 + len(slow)


def test_rows_of_other_incarnations_and_malformed_rows_are_ignored():
    """Guards against estimates from outdated or wrong rows of peers."""
    tracker = CapacityTracker()
    measure(tracker, plain(1), 0.1, 0.0, count=20)
    for sequence, values in enumerate([(2, 2), (1, 9), (1, -1)], 1):
        started_ms, phase = values
        row = CapacityRow(sequence, UpstreamId("p1"), started_ms, phase, 200, 100)
        tracker.apply("peer", [row], lambda _: plain(1), 2.0)
    assert tracker.unusual_count(2.0) == 0
