"""Relays before upstreams that turn requests away until they return."""

import pytest
from attrs import evolve

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway._returns import MAX_SPREAD_SECONDS, SLOT_SECONDS
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway.tests.relay_harness import (
    PROMPT,
    SHORT_PROMPT,
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_generation_relay import STREAM
from waxwingwinch.gateway.tests.test_named_limits import logged

RETURN_SECONDS = 6.0
AWAY = ScriptedResponse(503, not_executed=True, return_seconds=RETURN_SECONDS)


def make_harness(*names):
    harness = RelayHarness()
    harness.add(*[upstream(name) for name in names])
    harness.publish()
    return harness


def record_away(harness, name, return_seconds=RETURN_SECONDS):
    harness.directory.record_away(
        UpstreamId(name), 1, harness.clock.seconds + return_seconds
    )


# Guards against requests at an upstream before the return that it has named.
def test_an_upstream_gets_nothing_before_its_return():
    harness = make_harness("u1", "u2")
    harness.transport.scripts["u1"] = [AWAY]
    # The load makes the other upstream the second choice.
    for _ in range(3):
        harness.loads.begin(UpstreamId("u2"), 0)
    for _ in range(20):
        assert harness.send().status == 200
        harness.wait(0.2)
    assert harness.called_upstreams().count("u1") == 1
    harness.wait(RETURN_SECONDS)
    harness.send()
    assert harness.called_upstreams()[-1] == "u1"


# Guards against a wait that is cut short by an answer on another connection.
def test_a_success_does_not_end_the_time_that_an_upstream_has_named():
    harness = make_harness("u1")
    harness.transport.scripts["u1"] = [AWAY]
    harness.send()
    harness.directory.record_success(UpstreamId("u1"))
    harness.directory.record_away(UpstreamId("u1"), 1, harness.clock.seconds + 0.1)
    harness.wait(RETURN_SECONDS - 0.5)
    assert harness.send().status == 503
    assert len(harness.transport.calls) == 1


def test_a_restarted_upstream_is_not_away():
    harness = make_harness("u1")
    harness.transport.scripts["u1"] = [AWAY]
    harness.send()
    harness.add(upstream("u1", started_ms=2))
    assert harness.send().status == 200


def test_a_late_statement_of_an_incarnation_before_says_nothing():
    directory, restarted = UpstreamDirectory(), upstream("u1", started_ms=2)
    directory.put(restarted)
    directory.record_away(restarted.upstream_id, 2, 5.0)
    directory.record_away(restarted.upstream_id, 1, 9.0)
    assert directory.is_away(restarted, 4.0)
    assert not directory.is_away(restarted, 5.0)
    assert directory.away("shop", 4.0) == {restarted: 5.0}


# Guards against a time of return that a lapsed and restored entry undoes.
def test_the_time_of_return_outlasts_the_removal_of_the_entry():
    directory, known = UpstreamDirectory(), upstream("u1")
    directory.put(known)
    directory.record_away(known.upstream_id, 1, 5.0)
    directory.remove(known.upstream_id)
    directory.put(evolve(known, sequence=known.sequence + 1))
    assert directory.usable("shop", 4.9) == ()
    assert len(directory.usable("shop", 5.0)) == 1


def test_neither_prefills_nor_decodes_reach_engines_that_are_away():
    harness = RelayHarness()
    harness.add_engines(prefill=2, decode=2)
    harness.publish_stream()
    for name in ("d0", "d1"):
        harness.transport.scripts[name] = ScriptedResponse(pieces=STREAM)
    record_away(harness, "p0")
    harness.transport.scripts["p1"] = ScriptedResponse(
        pieces=(b"handle",), during=lambda _: record_away(harness, "d0")
    )
    assert {harness.send(prompt=PROMPT).status for _ in range(4)} == {200}
    assert not {"p0", "d0"} & set(harness.called_upstreams())


# Guards against a release of a KV cache that reaches an engine that is away.
def test_a_cache_is_not_released_at_an_engine_that_is_away():
    harness = RelayHarness()
    harness.add_engines(prefill=1, decode=1)
    harness.publish_stream()

    def send_away(_):
        record_away(harness, "p0")
        record_away(harness, "d0")

    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), during=send_away
    )
    lines = logged(lambda: harness.send(prompt=PROMPT))
    assert harness.transport.released_handles == []
    assert "request:refused" in lines


@pytest.mark.parametrize("prompt", [None, SHORT_PROMPT])
def test_callers_are_refused_at_once_with_the_return_of_the_first(prompt):
    harness = RelayHarness()
    if prompt is None:
        harness.add(upstream("u1"), upstream("u2"))
        harness.publish()
    else:
        harness.add(*[upstream(n, "llm", EngineRole.DECODE) for n in ("u1", "u2")])
        harness.publish_stream()
    record_away(harness, "u1", 3.0)
    record_away(harness, "u2")
    started_seconds = harness.clock.seconds
    refused = harness.send(prompt=prompt)
    assert refused.status == 503
    assert harness.clock.seconds == started_seconds
    assert float(refused.header("Retry-After")) == pytest.approx(3.0)
    assert harness.transport.calls == []
    harness.wait(3.01)
    harness.transport.scripts["u1"] = ScriptedResponse(pieces=STREAM)
    assert harness.send(prompt=prompt).status == 200


# Guards against callers that all come back at one moment.
def test_the_returns_of_refused_callers_are_spread_over_the_slots():
    harness = make_harness()
    harness.add(evolve(upstream("u1"), slots=2))
    record_away(harness, "u1")
    waits = [float(harness.send().header("Retry-After")) for _ in range(200)]
    assert waits[0] == pytest.approx(RETURN_SECONDS)
    interval_seconds = SLOT_SECONDS / 2
    steps = [later - earlier for earlier, later in zip(waits, waits[1:], strict=False)]
    assert max(steps) == pytest.approx(interval_seconds, abs=0.002)
    assert max(waits) <= RETURN_SECONDS + MAX_SPREAD_SECONDS
    per_turn = MAX_SPREAD_SECONDS / interval_seconds + 1
    assert sum(wait == waits[0] for wait in waits) <= 1 + 200 / per_turn


def test_a_refusal_names_what_the_upstreams_had_said():
    harness = make_harness("u1")
    harness.transport.scripts["u1"] = [AWAY]

    def run():
        harness.send()
        harness.wait(1.0)
        harness.send()

    lines = logged(run)
    (turned_away,) = lines["upstream:turned_away"]
    assert turned_away["return_seconds"] == RETURN_SECONDS
    assert lines["service:away"][-1]["earliest_seconds"] == pytest.approx(5.0)
    assert lines["request:refused"][-1]["reason"] == "upstreams_away"


def test_an_upstream_that_is_limited_or_failing_is_not_away():
    harness = make_harness("u1")
    harness.directory.record_failure(UpstreamId("u1"), harness.clock.seconds)
    assert harness.send().status == 200
    assert harness.directory.away("shop", harness.clock.seconds) == {}
