"""Relays before upstreams whose answers say that they leave."""

import pytest

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    PROMPT,
    RESPONSE_LOST,
    SHORT_PROMPT,
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_generation_relay import STREAM, events

LEAVING = ScriptedResponse(is_leaving=True)


def make_harness(prefill, decode):
    harness = RelayHarness()
    harness.add_engines(prefill, decode)
    harness.publish_stream(max_attempts=3)
    for index in range(decode):
        harness.transport.scripts[f"d{index}"] = ScriptedResponse(pieces=STREAM)
    return harness


def leave(harness, name):
    harness.directory.record_leaving(UpstreamId(name), 1, is_local=True)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_each_answer_of_a_plain_upstream_may_say_that_it_leaves(status):
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish(max_attempts=1)
    first = ScriptedResponse(status=status, is_leaving=True)
    harness.transport.scripts = {"u1": first, "u2": first}
    harness.send()
    (left,) = harness.called_upstreams()
    harness.transport.scripts.clear()
    assert {harness.send().status for _ in range(5)} == {200}
    assert harness.called_upstreams().count(left) == 1


# Guards against work for the last upstream when all others are avoided.
def test_the_last_upstream_gets_nothing_once_it_says_that_it_leaves():
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    harness.transport.scripts["u1"] = ScriptedResponse(error=CONNECT_FAILED)
    harness.transport.scripts["u2"] = LEAVING
    assert harness.send().status == 200
    refused = harness.send()
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert harness.called_upstreams().count("u2") == 1


# Guards against a decode request to an engine that leaves since the prefill.
def test_an_engine_that_leaves_during_the_prefill_does_not_decode():
    harness = make_harness(prefill=1, decode=2)
    harness.loads.begin(UpstreamId("d1"), 1_000)
    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), during=lambda _: leave(harness, "d0")
    )
    assert harness.send(prompt=PROMPT).status == 200
    assert harness.called_upstreams() == ["p0", "d1"]


def test_a_prefill_says_that_its_engine_leaves():
    harness = make_harness(prefill=1, decode=2)
    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), is_leaving=True
    )
    assert {harness.send(prompt=PROMPT).status for _ in range(3)} == {200}
    assert harness.called_upstreams().count("p0") == 1


# Guards against a broken stream that is resumed at an engine that leaves.
def test_a_stream_is_not_resumed_at_an_engine_that_leaves():
    harness = make_harness(prefill=0, decode=3)
    broken = ScriptedResponse(
        pieces=(events(1, 2), RESPONSE_LOST), during=lambda _: leave(harness, "d1")
    )
    harness.transport.scripts["d0"] = broken
    for name in ("d1", "d2"):
        harness.transport.scripts[name] = ScriptedResponse(pieces=(events(3, 3),))
        harness.loads.begin(UpstreamId(name), 1_000)
    assert harness.send(prompt=SHORT_PROMPT).is_complete
    assert harness.called_upstreams() == ["d0", "d2"]


def test_a_run_under_way_at_a_leaving_engine_ends_whole():
    harness = make_harness(prefill=0, decode=1)
    harness.transport.scripts["d0"] = ScriptedResponse(pieces=STREAM, is_leaving=True)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert harness.send(prompt=SHORT_PROMPT).status == 503


def test_another_upstream_at_the_address_says_nothing_of_the_expected_one():
    harness = RelayHarness()
    harness.add(upstream("u1"))
    harness.publish()
    harness.transport.scripts["u1"] = [
        ScriptedResponse(421, not_executed=True, is_leaving=True)
    ]
    harness.send()
    harness.add(upstream("u1"))
    assert harness.send().status == 200
