"""Explanations agree with what happens to requests, and change nothing."""

import pytest
from attrs import evolve

from waxwingwinch._types import CustomerId, UpstreamId, ZoneName
from waxwingwinch.gateway._upstreams import RegisteredState
from waxwingwinch.gateway.explanation import RequestExplainer, RequestQuery
from waxwingwinch.gateway.explanation._endpoint import read_query
from waxwingwinch.gateway.tests.relay_harness import (
    PROMPT,
    SHORT_PROMPT,
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_generation_relay import STREAM

SOUTH = ZoneName("south")


def explain(harness, prompt=None, path="/a/x", host=None):
    explainer = RequestExplainer(harness.context, harness.members)
    table = harness.table.get()
    query = RequestQuery(host or harness.route.host, path, None, prompt)
    return explainer.explain(table, query, harness.clock.seconds)


# Guards against an explanation that names another upstream than the request
# then goes to.
@pytest.mark.parametrize("running", [0, 3, 9])
def test_the_explained_upstream_gets_the_request(running):
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    harness.publish()
    harness.loads.change(UpstreamId("u1"), 0, running)
    (target,) = explain(harness, path=harness.route.path_prefix).targets
    assert harness.called_upstreams() == []
    assert harness.send().status == 200
    assert harness.called_upstreams() == list(target.upstream_ids)


@pytest.mark.parametrize("prompt", [PROMPT, SHORT_PROMPT])
def test_the_explained_engines_get_the_prompt(prompt):
    harness = RelayHarness()
    harness.add_engines(2, 2)
    harness.publish_stream()
    for index in range(2):
        harness.transport.scripts[f"d{index}"] = ScriptedResponse(pieces=STREAM)
    (target,) = explain(harness, prompt, path=harness.route.path_prefix).targets
    assert target.outcome == "placed"
    assert harness.send(prompt=prompt).status == 200
    assert harness.called_upstreams() == list(target.upstream_ids)


def test_each_upstream_without_requests_has_a_reason():
    harness = RelayHarness()
    harness.add(
        upstream("usable"),
        evolve(upstream("evacuated"), zone=SOUTH),
        evolve(upstream("leaving"), state=RegisteredState.DRAINING),
        upstream("away"),
        upstream("failed"),
    )
    harness.publish()
    now_seconds = harness.clock.seconds
    harness.directory.evacuated.put(SOUTH)
    harness.directory.record_away(UpstreamId("away"), 1, now_seconds + 5.0)
    harness.directory.record_failure(UpstreamId("failed"), now_seconds)
    (target,) = explain(harness, path=harness.route.path_prefix).targets
    assert {view.upstream_id: view.withheld for view in target.upstreams} == {
        "usable": None,
        "evacuated": "its availability zone is evacuated",
        "leaving": "it leaves",
        "away": "it wants no request yet",
        "failed": "ejected after failures",
    }


def test_a_request_without_a_route_or_configuration_is_explained():
    harness = RelayHarness()
    assert explain(harness).outcome == "no_configuration"
    harness.publish()
    assert explain(harness, host="other.example").outcome == "no_route"


def test_questions_are_parsed_strictly():
    query = read_query("host=Shop.Example&path=/a/&customer=c&prompt=book:900,own:7")
    assert (query.host, query.path, query.customer_id) == (
        "shop.example",
        "/a/",
        CustomerId("c"),
    )
    assert query.prompt is not None and query.prompt.input_tokens == 907
    for malformed in ("", "host=h", "host=h&path=a", "host=h&path=/&prompt=x"):
        with pytest.raises(ValueError):
            read_query(malformed)
