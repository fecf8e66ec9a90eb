"""Relays before cold upstreams."""

from typing import Any

import pytest
from attrs import evolve

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.cold import (
    GRANT_WINDOW_SECONDS,
    ColdBroker,
    ColdKeeper,
    ColdPeriods,
)
from waxwingwinch.gateway.cold.tests.cold_fleet import POLICY, RULES
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    PROMPT,
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_generation_relay import STREAM

BUDGET = POLICY.budgets(7.3).primary


@pytest.fixture
def harness():
    """Return a harness with permits, all of which this instance keeps."""
    harness: Any = RelayHarness()
    periods = ColdPeriods(lambda _: RULES)
    harness.cold_keeper = ColdKeeper(
        periods, harness.members, POLICY, harness.directory.get
    )
    harness.directory.cold_until_seconds = periods.until_seconds
    harness.permits._cold = ColdBroker(
        harness.cold_keeper, harness.members, harness.telemetry, harness.clock
    )
    harness.cold_keeper.record_members(harness.clock.seconds)
    pass_time(harness, 6.0)
    harness.publish()
    return harness


def pass_time(harness, seconds):
    for _ in range(int(seconds / 0.2)):
        harness.wait(0.2)
        harness.cold_keeper.mark_active(harness.clock.seconds)


def add_cold(harness, *names):
    for name in names:
        until_seconds = harness.clock.seconds + 1_000.0
        harness.add(evolve(upstream(name), cold_until_seconds=until_seconds))


# Guards against callers who wait for a cold upstream, and who all return to it
# at the same time.
def test_what_cold_upstreams_can_not_handle_is_refused_at_once(harness):
    add_cold(harness, "u1", "u2")
    answers = [harness.send(request_id=f"r{number}") for number in range(40)]
    called = harness.called_upstreams()
    assert (called.count("u1"), called.count("u2")) == (BUDGET, BUDGET)
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) == 40 - 2 * BUDGET
    assert len({dict(answer.headers)["Retry-After"] for answer in refused}) > 1
    pass_time(harness, GRANT_WINDOW_SECONDS + 0.2)
    assert harness.send(request_id="later").status == 200


# Guards against requests that are refused while other upstreams are warm.
def test_what_a_cold_upstream_can_not_handle_goes_to_others(harness):
    add_cold(harness, "u1")
    harness.add(upstream("u2"))
    harness.loads.begin(UpstreamId("u2"), 0)
    answers = [harness.send(request_id=f"r{number}") for number in range(40)]
    assert {answer.status for answer in answers} == {200}
    assert harness.called_upstreams().count("u1") <= BUDGET


# Guards against a restarted upstream that gets requests as before, since its
# new entry hasn't been read yet.
def test_an_upstream_with_a_failed_connection_needs_permits(harness):
    harness.add(upstream("u1"))
    harness.transport.scripts["u1"] = [ScriptedResponse(error=CONNECT_FAILED)]
    harness.send(request_id="first")
    pass_time(harness, 0.4)
    before = len(harness.transport.calls)
    statuses = [harness.send(request_id=f"r{number}").status for number in range(40)]
    # It rests for a second from the failure on.
    assert statuses == [503] * 40
    pass_time(harness, 1.0)
    for number in range(40):
        harness.send(request_id=f"s{number}")
    assert len(harness.transport.calls) == before + BUDGET


# Guards against prefills and fetches that don't count at their engine, and
# against a release that is one request more.
def test_a_prefill_and_its_fetch_each_count_at_their_engine(harness):
    harness.publish_stream()
    harness.add_engines(prefill=1, decode=1)
    until_seconds = harness.clock.seconds + 1_000.0
    for name in ("p0", "d0"):
        engine = harness.directory.get(UpstreamId(name))
        harness.add(evolve(engine, cold_until_seconds=until_seconds, sequence=1))
    harness.transport.scripts["p0"] = ScriptedResponse(pieces=(b"handle",))
    harness.transport.scripts["d0"] = ScriptedResponse(pieces=STREAM)
    for number in range(40):
        harness.send(request_id=f"r{number}", prompt=PROMPT)
    called = harness.called_upstreams()
    assert 0 < called.count("p0") <= BUDGET
    assert 0 < called.count("d0") <= BUDGET
    assert harness.transport.released_handles == []
