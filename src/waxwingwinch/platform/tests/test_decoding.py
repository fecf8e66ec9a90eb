"""Decoding of the platform's records, forged and truncated ones included."""

import json

import pytest
from hypothesis import given, strategies

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import Address, EngineRole, ZoneName
from waxwingwinch.gateway import (
    EngineTraits,
    QuotaUnit,
    RegisteredState,
    RequestKind,
    ScalingRules,
)
from waxwingwinch.platform._adapter import PlatformAdapter
from waxwingwinch.platform._configuration import decode_configuration
from waxwingwinch.platform._upstreams import decode_upstream

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Shop.Example",
            "pathPrefix": "/a/",
            "routeKind": "streaming",
            "timeoutMs": 4000,
            "sloMs": 500,
            "priority": 1,
            "split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "attempts": 2,
            "resumable": True,
        },
        {
            "name": "r2",
            "host": "shop.example",
            "pathPrefix": "/b/",
            "routeKind": "non_idempotent",
            "timeoutMs": 1000,
            "service": "two",
            "attempts": 0,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "one",
            "maxConns": 360,
            "engine": {"slots": 64, "kvCapacity": 546098, "stageSwitchS": 3.0},
            "scaling": {
                "min": 1,
                "max": 6,
                "bootS": 4.0,
                "spotPrice": 0.18,
                "zonePrices": {"north": 1.0},
            },
        },
        {"name": "two"},
    ],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 9000},
    "tenants": [
        {
            "name": "t",
            "apiKeys": ["k"],
            "unit": "token_stream",
            "plainTokens": 200,
            "ratePerS": 10,
            "burst": 20,
            "priority": 3,
        }
    ],
}

ENTRY = {
    "service": "one",
    "address": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 500,
    "stage": "decode",
    "seqNo": 4,
    "born": 1_700_000_000_000,
}


def test_the_configuration_is_decoded():
    decoded = decode_configuration(json.dumps(CONFIGURATION).encode())
    split, single = decoded.routes
    assert decoded.version == 7
    assert split.host == "shop.example"
    assert split.kind is RequestKind.STREAMING
    assert split.is_retryable
    assert [target.weight for target in split.targets] == [90, 10]
    assert (split.timeout_seconds, split.target_seconds) == (4.0, 0.5)
    assert single.is_public and not single.is_retryable
    assert single.max_attempts == 1
    service = decoded.services["one"]
    assert service.engine == EngineTraits(64, 546_098, 3.0)
    assert service.scaling == ScalingRules(1, 6, 4.0, 0.18, {ZoneName("north"): 1.0})
    assert decoded.services["two"].engine is None
    assert decoded.limits.idle_timeout_seconds == 9.0
    (customer,) = decoded.customers
    assert customer.unit is QuotaUnit.TOKENS
    assert customer.plain_cost == 200


@pytest.mark.parametrize("payload", [b"", b"[]", b"{", b'{"version": "x"}', b"\xff"])
def test_a_malformed_configuration_is_rejected(payload):
    with pytest.raises(MalformedMessage):
        decode_configuration(payload)


def registration(**changes):
    wire = {**ENTRY, **changes}
    return json.dumps(
        {key: value for key, value in wire.items() if value is not ...}
    ).encode()


def test_registration_is_decoded():
    upstream = decode_upstream("i-1", registration(spot=True), 10.0)
    assert upstream.address == Address("10.0.0.9", 8080)
    assert upstream.role is EngineRole.DECODE
    assert upstream.state is RegisteredState.READY
    assert upstream.cold_until_seconds == 10.5
    assert upstream.is_spot
    assert (upstream.started_ms, upstream.sequence) == (1_700_000_000_000, 4)


def test_a_plain_service_has_no_stage():
    assert decode_upstream("i-1", registration(stage=...), 0.0).role is None


@pytest.mark.parametrize(
    "changes",
    [
        {"service": ...},
        {"service": 5},
        {"address": "nowhere"},
        {"address": ...},
        {"zone": None},
        {"slots": "many"},
        {"slots": -1},
        {"slots": True},
        {"state": "weird"},
        {"state": 1},
        {"stage": "other"},
        {"born": "yesterday"},
        {"born": 1.5},
        {"seqNo": []},
    ],
)
def test_malformed_registrations_are_rejected(changes):
    with pytest.raises(MalformedMessage):
        decode_upstream("i-1", registration(**changes), 0.0)


@given(strategies.binary(max_size=60))
def test_arbitrary_bytes_are_rejected(payload):
    with pytest.raises(MalformedMessage):
        decode_upstream("i-1", payload, 0.0)


def test_home_regions_and_cold_rates_are_decoded():
    wire = json.loads(json.dumps(CONFIGURATION))
    wire["routes"][0]["homeRegions"] = ["basin", "delta"]
    wire["services"][0] |= {"coldStartS": 3.0, "coldPerS": 7.3}
    wire["tenants"] = [{"name": "c", "homeRegions": ["basin"]}]
    decoded = decode_configuration(json.dumps(wire).encode())
    assert decoded.routes[0].home_regions == {"basin", "delta"}
    assert decoded.routes[1].home_regions == frozenset()
    assert decoded.services["one"].cold_start_seconds == 3.0
    assert decoded.services["one"].cold_requests_per_second == 7.3
    assert decoded.customers[0].home_regions == {"basin"}


@pytest.mark.parametrize(
    ("key", "zone"),
    [("evacuate/north", "north"), ("evacuate/", None), ("config", None)],
)
def test_only_keys_of_evacuations_name_a_zone(key, zone):
    assert PlatformAdapter.decode_evacuated_zone(key) == zone
