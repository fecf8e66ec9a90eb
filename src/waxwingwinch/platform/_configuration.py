"""Decoding the operators' configuration."""

from collections.abc import Callable
from typing import Any, TypeVar

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._json import decode_json
from waxwingwinch._types import CustomerId, RegionName, ZoneName
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
from waxwingwinch.platform._fields import (
    MAX_EXACT_INTEGER,
    read_flag,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)

T = TypeVar("T")

#: Value of ``unit`` for a quota in tokens; any other value means requests.
TOKEN_UNIT = "token_stream"
#: Quota units charged for a plain request, which declares no token counts.
DEFAULT_PLAIN_COST = 1.0
#: Timeout of a route that names none.
DEFAULT_TIMEOUT_SECONDS = 30.0
#: Maximum length of a name, key or path.
MAX_CONFIGURED_CHARACTERS = 4_096

#: Maximum length of a configuration.
MAX_CONFIGURATION_BYTES = 16 * 1_024 * 1_024
#: Maximum of any time: some 30 years, which every timer can represent.
MAX_TIME_MS = 10**12

_MILLISECONDS_PER_SECOND = 1_000


def decode_configuration(payload: bytes) -> GatewayConfiguration:
    """
    Decode a version of the configuration.

    :param payload: The value stored under the configuration key.
    :raises MalformedMessage: If the payload is not a valid configuration.
    """
    try:
        wire = read_object(decode_json(payload, MAX_CONFIGURATION_BYTES))
        services = [_decode_service(item) for item in _items(wire, "services")]
        return GatewayConfiguration(
            version=read_integer(wire["version"]),
            routes=tuple(_decode_route(item) for item in _items(wire, "routes")),
            services={service.name: service for service in services},
            customers=tuple(_decode_customer(item) for item in _items(wire, "tenants")),
            limits=_decode_limits(read_object(wire.get("limits", {}))),
        )
    except (ValueError, KeyError) as error:
        raise MalformedMessage(f"malformed configuration: {error!r}") from error


def _items(wire: dict[str, Any], name: str) -> list[dict[str, Any]]:
    return [read_object(item) for item in read_list(wire.get(name, []))]


def _optional(
    wire: dict[str, Any], name: str, read: Callable[[Any], T], default: T
) -> T:
    """Read a field; return the default if it is missing or null."""
    value = wire.get(name)
    return default if value is None else read(value)


def _read_text(value: Any) -> str:
    return read_text(value, MAX_CONFIGURED_CHARACTERS)


def _read_milliseconds(value: Any) -> float:
    return read_number(value, MAX_TIME_MS) / _MILLISECONDS_PER_SECOND


def _read_seconds(value: Any) -> float:
    return read_number(value, MAX_TIME_MS / _MILLISECONDS_PER_SECOND)


def _read_regions(value: Any) -> frozenset[RegionName]:
    return frozenset(RegionName(_read_text(region)) for region in read_list(value))


def _read_priority(value: Any) -> int:
    return read_integer(value, minimum=-MAX_EXACT_INTEGER)


def _decode_route(wire: dict[str, Any]) -> Route:
    split = wire.get("split")
    targets = (
        tuple(_decode_target(read_object(target)) for target in read_list(split))
        if split
        else (WeightedService(_read_text(wire["service"]), 1.0),)
    )
    timeout_seconds = _optional(
        wire, "timeoutMs", _read_milliseconds, DEFAULT_TIMEOUT_SECONDS
    )
    return Route(
        name=_read_text(wire["name"]),
        host=_read_text(wire["host"]).lower(),
        path_prefix=_read_text(wire["pathPrefix"]) if wire["pathPrefix"] != "" else "",
        kind=RequestKind(_read_text(wire["routeKind"])),
        timeout_seconds=timeout_seconds,
        # The wire format calls the latency objective of a route its SLO.
        target_seconds=_optional(wire, "sloMs", _read_milliseconds, timeout_seconds),
        priority=_optional(wire, "priority", _read_priority, 0),
        targets=targets,
        max_attempts=max(_optional(wire, "attempts", read_integer, 1), 1),
        is_public=_optional(wire, "public", read_flag, False),
        is_resumable=_optional(wire, "resumable", read_flag, False),
        home_regions=_optional(wire, "homeRegions", _read_regions, frozenset()),
    )


def _decode_target(wire: dict[str, Any]) -> WeightedService:
    return WeightedService(_read_text(wire["service"]), read_number(wire["weight"]))


def _decode_service(wire: dict[str, Any]) -> ServiceRules:
    engine = wire.get("engine")
    scaling = wire.get("scaling")
    return ServiceRules(
        name=_read_text(wire["name"]),
        engine=_decode_engine(read_object(engine)) if engine else None,
        scaling=_decode_scaling(read_object(scaling)) if scaling else None,
        cold_start_seconds=_optional(wire, "coldStartS", _read_seconds, 0.0),
        cold_requests_per_second=_optional(wire, "coldPerS", read_number, 0.0),
    )


def _decode_engine(wire: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=read_integer(wire["slots"]),
        kv_capacity_tokens=read_integer(wire["kvCapacity"]),
        role_change_seconds=_optional(wire, "stageSwitchS", _read_seconds, 0.0),
    )


def _decode_scaling(wire: dict[str, Any]) -> ScalingRules:
    zone_prices = read_object(wire.get("zonePrices", {}))
    return ScalingRules(
        min_per_zone=read_integer(wire["min"]),
        max_per_zone=read_integer(wire["max"]),
        boot_seconds=_optional(wire, "bootS", _read_seconds, 0.0),
        spot_price=_optional(wire, "spotPrice", read_number, None),
        zone_prices={
            ZoneName(_read_text(zone)): read_number(price)
            for zone, price in zone_prices.items()
        },
    )


def _decode_customer(wire: dict[str, Any]) -> CustomerRules:
    counts_tokens = wire.get("unit") == TOKEN_UNIT
    return CustomerRules(
        customer_id=CustomerId(_read_text(wire["name"])),
        keys=frozenset(_read_text(key) for key in read_list(wire.get("apiKeys", []))),
        rate_per_second=_optional(wire, "ratePerS", read_number, 0.0),
        burst=_optional(wire, "burst", read_number, 0.0),
        unit=QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS,
        plain_cost=_optional(wire, "plainTokens", read_number, DEFAULT_PLAIN_COST),
        priority=_optional(wire, "priority", _read_priority, None),
        home_regions=_optional(wire, "homeRegions", _read_regions, frozenset()),
    )


def _decode_limits(wire: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    # A timeout of 0 means the default.
    header_seconds = _optional(wire, "headerTimeoutMs", _read_milliseconds, 0.0)
    idle_seconds = _optional(wire, "idleTimeoutMs", _read_milliseconds, 0.0)
    return CallerLimits(
        max_header_bytes=_optional(
            wire, "maxHeaderBytes", read_integer, default.max_header_bytes
        ),
        max_body_bytes=_optional(
            wire, "maxBodyBytes", read_integer, default.max_body_bytes
        ),
        header_timeout_seconds=header_seconds or default.header_timeout_seconds,
        idle_timeout_seconds=idle_seconds or default.idle_timeout_seconds,
    )
