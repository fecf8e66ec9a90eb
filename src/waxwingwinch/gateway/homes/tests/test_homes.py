"""Requests reach upstreams in their home regions only."""

from contextlib import contextmanager

import eliot
import pytest
from attrs import evolve

from waxwingwinch._types import EngineRole, RegionName, UpstreamId, ZoneName
from waxwingwinch.gateway._transport import DecodeFromCache, PrefillOnly
from waxwingwinch.gateway.homes import allowed_zones, known_regions
from waxwingwinch.gateway.tests.relay_harness import (
    ALICE,
    CONNECT_FAILED,
    PROMPT,
    RESPONSE_LOST,
    SHORT_PROMPT,
    RelayHarness,
    ScriptedResponse,
    Silence,
    upstream,
)
from waxwingwinch.gateway.tests.test_generation_relay import STREAM, events

NORTH, SOUTH, EAST, VOID = (ZoneName(name) for name in ("north", "south", "east", "v"))
BASIN, DELTA, COAST = (RegionName(name) for name in ("basin", "delta", "coast"))
TWO_REGIONS = {NORTH: BASIN, SOUTH: DELTA}
THREE_REGIONS = {**TWO_REGIONS, EAST: COAST}
STREAMED = ScriptedResponse(pieces=STREAM)


def homes(*regions):
    return frozenset(regions)


def in_zone(zone, name, **fields):
    return evolve(upstream(name, **fields), zone=zone)


def make_harness(*upstreams, zone_regions=THREE_REGIONS):
    harness = RelayHarness()
    harness.zone_regions.update(zone_regions)
    harness.add(*upstreams)
    return harness


def engines_of(zone, name, prefill=1, decode=1):
    roles = [EngineRole.PREFILL] * prefill + [EngineRole.DECODE] * decode
    return [
        in_zone(zone, f"{name}-{role.value}", service="llm", role=role)
        for role in roles
    ]


def make_engine_harness(*zones):
    harness = make_harness()
    for zone in zones:
        harness.add(*engines_of(zone, str(zone)))
    harness.publish_stream()
    for engine in harness.directory.all():
        if engine.role is EngineRole.DECODE:
            harness.transport.scripts[engine.upstream_id] = STREAMED
    return harness


def refusals(harness, reason):
    text = harness.telemetry.text([]).decode()
    samples = dict(line.rpartition(" ")[::2] for line in text.splitlines())
    return float(samples.get(f'waxwing_refusals_total{{kind="{reason}"}}', 0))


@contextmanager
def logged(kind):
    lines = []

    def keep(line):
        if line.get("message_type") == kind:
            lines.append(line)

    eliot.add_destinations(keep)
    try:
        yield lines
    finally:
        eliot.remove_destination(keep)


@pytest.mark.parametrize(
    ("route_homes", "customer_homes", "zones"),
    [
        (homes(), homes(), None),
        (homes(BASIN), homes(), {NORTH}),
        (homes(), homes(DELTA, COAST), {SOUTH, EAST}),
        (homes(BASIN, DELTA), homes(DELTA, COAST), {SOUTH}),
        (homes(BASIN), homes(COAST), set()),
        (homes(RegionName("elsewhere")), homes(), set()),
    ],
)
def test_both_route_and_customer_restrict_the_zones(route_homes, customer_homes, zones):
    route = evolve(RelayHarness().route, home_regions=route_homes)
    customer = evolve(ALICE, home_regions=customer_homes)
    assert allowed_zones(route, customer, THREE_REGIONS) == zones
    assert allowed_zones(route, None, {}) == (frozenset() if route_homes else None)


# Guards against a home region without a name, which zones of unknown region
# would be in.
def test_the_region_of_an_instance_counts_for_its_own_zone_only():
    unnamed = RegionName("")
    assert known_regions(NORTH, BASIN, {SOUTH: unnamed}) == {NORTH: BASIN}
    assert known_regions(NORTH, BASIN, {NORTH: DELTA}) == {NORTH: DELTA}
    assert known_regions(NORTH, unnamed, {}) == {}


# Guards against retries that leave the home region once its upstreams fail.
@pytest.mark.parametrize("error", [CONNECT_FAILED, RESPONSE_LOST])
def test_plain_requests_and_retries_stay_in_the_home_region(error):
    harness = make_harness(
        upstream("n"), in_zone(SOUTH, "s1"), in_zone(SOUTH, "s2"), in_zone(VOID, "v")
    )
    harness.publish(home_regions=homes(DELTA), max_attempts=4)
    for name in ("s1", "s2"):
        harness.transport.scripts[name] = ScriptedResponse(error=error)
    assert harness.send().status in (502, 503)
    assert set(harness.called_upstreams()) == {"s1", "s2"}


# Guards against a second attempt beside a silent upstream in another region.
def test_the_second_attempt_at_a_silent_upstream_stays_in_the_home_region():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))
    harness.publish(home_regions=homes(DELTA))
    harness.transport.scripts["s"] = [ScriptedResponse(delay_seconds=0.6)]
    assert harness.send().status == 200
    assert harness.called_upstreams() == ["s"]


# Guards against an ejected home upstream that another region stands in for.
def test_an_ejected_upstream_is_used_if_it_is_the_only_one_at_home():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))
    harness.publish(home_regions=homes(DELTA))
    harness.directory.record_failure(UpstreamId("s"), harness.clock.seconds)
    assert harness.send().status == 200
    assert harness.called_upstreams() == ["s"]


def test_without_home_regions_other_regions_are_used():
    harness = make_harness(in_zone(VOID, "v"))
    harness.publish()
    assert harness.send().status == 200


# Guards against callers who wait, or use other regions, once a region is lost.
def test_a_lost_region_is_refused_at_once_for_its_own_requests():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))
    harness.publish(home_regions=homes(DELTA))
    assert harness.send().status == 200
    harness.directory.remove(UpstreamId("s"))
    refused = harness.send()
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert harness.called_upstreams() == ["s"]
    assert refusals(harness, "no_home_upstream") == 1
    harness.publish(home_regions=homes(DELTA, BASIN))
    assert harness.send().status == 200


# Guards against regions that only one of the two allows, and against quota
# that refused requests use up.
def test_home_regions_without_overlap_are_refused_at_once():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))
    customer = evolve(ALICE, home_regions=homes(DELTA), rate_per_second=1.0, burst=1.0)
    harness.publish(customers=(customer,), home_regions=homes(BASIN))
    # A new destination gets lines of earlier tests, too.
    with logged("homes:refused") as lines:
        refused = [harness.send() for _ in range(9)][0]
    assert (lines[-1]["route_regions"], lines[-1]["customer_regions"]) == (
        ("basin",),
        ("delta",),
    )
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert harness.called_upstreams() == []
    assert refusals(harness, "no_home_region") == 9
    harness.publish(customers=(customer,), home_regions=homes(BASIN, DELTA))
    assert harness.send().status == 200
    assert harness.called_upstreams() == ["s"]


# Guards against a return that is told for upstreams of another region.
def test_upstreams_that_are_away_elsewhere_do_not_count():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))
    harness.publish(home_regions=homes(DELTA))
    now_seconds = harness.clock.seconds
    harness.directory.record_away(UpstreamId("s"), 1, now_seconds + 7.0)
    assert float(harness.send().header("Retry-After")) == pytest.approx(7.0, abs=0.5)
    harness.directory.remove(UpstreamId("s"))
    harness.directory.record_away(UpstreamId("n"), 1, now_seconds + 9.0)
    assert harness.send().status == 503
    assert refusals(harness, "no_home_upstream") == 1


# Guards against engines of other regions that the prefix index or another
# instance's placements name for a prompt.
@pytest.mark.parametrize("prompt", [PROMPT, SHORT_PROMPT])
def test_prompts_stay_at_home_although_other_engines_hold_their_prefix(prompt):
    harness = make_engine_harness(NORTH, SOUTH, EAST, VOID)
    harness.publish(home_regions=homes(DELTA, COAST))
    for engine in harness.directory.all():
        if engine.zone in (NORTH, VOID):
            harness.prefixes.record_use(engine.upstream_id, prompt.parts, 500_000)
    for _ in range(8):
        assert harness.send(prompt=prompt).status == 200
    called = {name.partition("-")[0] for name in harness.called_upstreams()}
    assert called <= {SOUTH, EAST}


# Guards against a stream that goes on in another region.
@pytest.mark.parametrize("last", [RESPONSE_LOST, Silence(1.8)])
def test_a_stream_is_not_resumed_in_another_region(last):
    harness = make_harness(*engines_of(SOUTH, "s", 0), *engines_of(NORTH, "n", 0))
    harness.publish_stream()
    harness.publish(home_regions=homes(DELTA))
    pieces = (events(1, 2), last, events(3, 3))
    harness.transport.scripts["s-decode"] = [ScriptedResponse(pieces=pieces)]
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete is (last is not RESPONSE_LOST)
    assert harness.called_upstreams() == ["s-decode"]


# Guards against a prompt that goes to a region, or a KV cache that is fetched
# from one, which a configuration has excluded since the prefill.
@pytest.mark.parametrize("owner", ["route", "customer"])
def test_home_regions_that_change_after_the_prefill_apply_to_the_decode(owner):
    harness = make_engine_harness(NORTH, SOUTH)

    def restrict_to(region):
        if owner == "route":
            harness.publish(home_regions=homes(region))
        else:
            customer = evolve(ALICE, home_regions=homes(region))
            harness.publish(customers=(customer,))

    def move_home(called, call):
        if isinstance(call.phase, PrefillOnly):
            restrict_to(DELTA)
            return ScriptedResponse(pieces=(b"handle",))
        return STREAMED

    harness.transport.scripts["north-prefill"] = move_home
    restrict_to(BASIN)
    assert harness.send(prompt=PROMPT).status == 200
    assert harness.called_upstreams() == [
        "north-prefill",
        "south-prefill",
        "south-decode",
    ]
    assert harness.transport.released_handles == []


# Guards against a decode at the engine of a placement that a configuration has
# excluded, while the engine with the KV cache is still allowed.
def test_a_decode_engine_outside_the_new_home_regions_is_replaced():
    harness = make_harness(*engines_of(NORTH, "n", 1, 0), *engines_of(SOUTH, "s", 0, 1))
    harness.publish_stream()
    harness.publish(home_regions=homes(BASIN, DELTA))

    def lose_south(called, call):
        harness.add(*engines_of(NORTH, "n", 0, 1))
        harness.publish(home_regions=homes(BASIN))
        return ScriptedResponse(pieces=(b"handle",))

    harness.transport.scripts["n-prefill"] = lose_south
    harness.transport.scripts["n-decode"] = STREAMED
    assert harness.send(prompt=PROMPT).status == 200
    assert harness.called_upstreams() == ["n-prefill", "n-decode"]
    phase = harness.transport.calls[-1][1].phase
    assert isinstance(phase, DecodeFromCache)


# Guards against requests that lose their restriction with their route or key.
def test_a_withdrawn_customer_keeps_its_home_regions_for_running_requests():
    harness = make_harness(upstream("n"), in_zone(SOUTH, "s"))

    def withdraw(called, call):
        harness.publish(customers=(), name="another")
        return ScriptedResponse(error=CONNECT_FAILED)

    harness.transport.scripts["s"] = withdraw
    customer = evolve(ALICE, home_regions=homes(DELTA))
    harness.publish(customers=(customer,))
    assert harness.send().status == 503
    assert harness.called_upstreams() == ["s"]
