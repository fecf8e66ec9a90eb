"""Decoding the operators' configuration."""

import json
from typing import Any

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import CustomerId, ZoneName
from waxwingwinch.gateway import (
    CallerLimits,
    CustomerRules,
    EngineTraits,
    GatewayConfiguration,
    QuotaUnit,
    RequestKind,
    Route,
    ScalingRules,
    ServiceRules,
    WeightedService,
)

#: Value of ``unit`` for a quota in tokens; any other value means requests.
TOKEN_UNIT = "token_stream"
#: Quota units charged for a plain request, which declares no token counts.
DEFAULT_PLAIN_COST = 1

_MILLISECONDS_PER_SECOND = 1_000


def decode_configuration(payload: bytes) -> GatewayConfiguration:
    """
    Decode a version of the configuration.

    :param payload: The value stored under the configuration key.
    :raises MalformedMessage: If the payload is not a valid configuration.
    """
    try:
        wire = json.loads(payload)
        return GatewayConfiguration(
            version=int(wire["version"]),
            routes=tuple(_decode_route(route) for route in wire.get("routes", ())),
            services={
                service["name"]: _decode_service(service)
                for service in wire.get("services", ())
            },
            customers=tuple(
                _decode_customer(tenant) for tenant in wire.get("tenants", ())
            ),
            limits=_decode_limits(wire.get("limits", {})),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedMessage(f"malformed configuration: {error!r}") from error


def _decode_route(wire: dict[str, Any]) -> Route:
    split = wire.get("split")
    targets = (
        tuple(
            WeightedService(target["service"], float(target["weight"]))
            for target in split
        )
        if split
        else (WeightedService(wire["service"], 1.0),)
    )
    timeout_ms = wire.get("timeoutMs", 30_000)
    return Route(
        name=wire["name"],
        host=wire["host"].lower(),
        path_prefix=wire["pathPrefix"],
        kind=RequestKind(wire["routeKind"]),
        timeout_seconds=timeout_ms / _MILLISECONDS_PER_SECOND,
        # The wire format calls the latency objective of a route its SLO.
        target_seconds=wire.get("sloMs", timeout_ms) / _MILLISECONDS_PER_SECOND,
        priority=wire.get("priority", 0),
        targets=targets,
        max_attempts=max(wire.get("attempts", 1), 1),
        is_public=wire.get("public", False),
        is_resumable=wire.get("resumable", False),
    )


def _decode_service(wire: dict[str, Any]) -> ServiceRules:
    engine = wire.get("engine")
    scaling = wire.get("scaling")
    return ServiceRules(
        name=wire["name"],
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(wire: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=wire["slots"],
        kv_capacity_tokens=wire["kvCapacity"],
        role_change_seconds=wire.get("stageSwitchS", 0.0),
    )


def _decode_scaling(wire: dict[str, Any]) -> ScalingRules:
    return ScalingRules(
        min_per_zone=wire["min"],
        max_per_zone=wire["max"],
        boot_seconds=wire.get("bootS", 0.0),
        spot_price=wire.get("spotPrice"),
        zone_prices={
            ZoneName(zone): price for zone, price in wire.get("zonePrices", {}).items()
        },
    )


def _decode_customer(wire: dict[str, Any]) -> CustomerRules:
    counts_tokens = wire.get("unit") == TOKEN_UNIT
    return CustomerRules(
        customer_id=CustomerId(wire["name"]),
        keys=frozenset(wire.get("apiKeys", ())),
        rate_per_second=float(wire.get("ratePerS", 0)),
        burst=float(wire.get("burst", 0)),
        unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
        plain_cost=float(wire.get("plainTokens", DEFAULT_PLAIN_COST)),
        priority=wire.get("priority"),
    )


def _decode_limits(wire: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_ms = wire.get("headerTimeoutMs")
    idle_ms = wire.get("idleTimeoutMs")
    return CallerLimits(
        max_header_bytes=wire.get("maxHeaderBytes", default.max_header_bytes),
        max_body_bytes=wire.get("maxBodyBytes", default.max_body_bytes),
        header_timeout_seconds=(
            header_ms / _MILLISECONDS_PER_SECOND
            if header_ms
            else default.header_timeout_seconds
        ),
        idle_timeout_seconds=(
            idle_ms / _MILLISECONDS_PER_SECOND
            if idle_ms
            else default.idle_timeout_seconds
        ),
    )
