"""The settings file of a stand-in process."""

import pathlib
from typing import Any

from attrs import field, frozen
from cattrs import Converter
from ruamel.yaml import YAML

from waxwingwinch._types import (
    Address,
    EngineRole,
    ModelName,
    PriceClass,
    UpstreamId,
    ZoneName,
)
from waxwingwinch.adapters import make_wire_converter
from waxwingwinch.interfaces import ListedInstance, ListedUpstream


@frozen
class EngineSpeeds:
    """
    How fast an engine works.

    :param decode_seconds_per_token: Time between the tokens of a stream.
    :param prefill_tokens_per_second: Speed of reading prompts.
    :param interference_factor: How much slower a mixed engine generates
        while it reads a prompt.
    :param off_role_factor: How much slower a prefill engine generates and a
        decode engine reads prompts.
    :param kv_import_pieces_per_second: Bandwidth of KV cache imports.
    :param role_change_seconds: How long a role change takes.
    :param model_load_seconds: How long loading a model takes.
    :param adapter_load_seconds: How long loading an adapter takes.
    :param restart_seconds: How long a crashed engine stays away.
    """

    decode_seconds_per_token: float = 0.02
    prefill_tokens_per_second: float = 8_000.0
    interference_factor: float = 2.0
    off_role_factor: float = 2.0
    kv_import_pieces_per_second: float = 100.0
    role_change_seconds: float = 2.0
    model_load_seconds: float = 5.0
    adapter_load_seconds: float = 1.0
    restart_seconds: float = 3.0


@frozen
class EngineLimits:
    """
    What an engine can hold.

    :param max_running: Generations in the batch.
    :param kv_pieces: KV cache, in pieces of 1,024 tokens.
    :param cached_prefixes: Blocks of the prompt prefix cache.
    :param export_keep_seconds: How long prefilled KV waits for its import.
    """

    max_running: int = 16
    kv_pieces: int = 64
    cached_prefixes: int = 2_048
    export_keep_seconds: float = 30.0


@frozen
class EngineLags:
    """
    How late and incomplete an engine's figures are.

    :param load_interval_seconds: Time between load reports.
    :param load_lag_seconds: Time from a report's making to its publishing.
    :param cache_event_lag_seconds: Same for cache events.
    :param cache_event_gap_probability: Share of cache events that get lost.
    """

    load_interval_seconds: float = 1.0
    load_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 1.0
    cache_event_gap_probability: float = 0.0


@frozen
class EngineSettings:
    """
    One model engine.

    :param name: Name, also as an upstream.
    :param address: Where it serves.
    :param zone: Availability zone.
    :param model: The model loaded at start.
    :param role: The role at start.
    :param adapters: Adapters loaded at start.
    :param price_class: How it is paid for.
    :param checks_fencing: True to refuse old fencing tokens.
    :param crash_word: A prompt with this word crashes it; empty for none.
    :param forgets_orders: True to forget orders and the highest fencing
        token in a crash.
    :param seed: Seed of everything random.
    """

    name: UpstreamId
    address: Address
    zone: ZoneName
    model: ModelName = ModelName("")
    role: EngineRole = EngineRole.MIXED
    adapters: tuple[str, ...] = ()
    price_class: PriceClass = PriceClass.ON_DEMAND
    checks_fencing: bool = True
    crash_word: str = ""
    forgets_orders: bool = False
    seed: int = 0
    speeds: EngineSpeeds = EngineSpeeds()
    limits: EngineLimits = EngineLimits()
    lags: EngineLags = EngineLags()


@frozen
class PlainSettings:
    """
    One instance of a plain service.

    :param name: Name, also as an upstream.
    :param address: Where it serves.
    :param zone: Availability zone.
    :param service: Name of the service.
    :param price_class: How it is paid for.
    :param answer_delay_seconds: Time that each call takes.
    :param seed: Seed of everything random.
    """

    name: UpstreamId
    address: Address
    zone: ZoneName
    service: str
    price_class: PriceClass = PriceClass.ON_DEMAND
    answer_delay_seconds: float = 0.0
    seed: int = 0


@frozen
class LogSettings:
    """
    The append-only log.

    :param max_records: Records kept of each stream; 0 for no limit.
    :param max_age_seconds: Age of the oldest kept record; 0 for no limit.
    :param appends_per_second: Accepted appends; 0 for no limit.
    :param append_burst: Appends accepted at once.
    """

    max_records: int = 0
    max_age_seconds: float = 0.0
    appends_per_second: float = 0.0
    append_burst: int = 100


@frozen
class CapacitySettings:
    """
    What can be ordered in one availability zone.

    :param zone: The zone.
    :param price_class: How it is paid for.
    :param count: Upstreams of the class that may run there.
    :param price_per_hour: Price of each.
    """

    zone: ZoneName
    price_class: PriceClass
    count: int
    price_per_hour: float


@frozen
class MarketSettings:
    """
    Ordering of engines.

    :param lead_seconds: Time from an order to the started engine.
    :param list_lag_seconds: How far the list of upstreams lags behind.
    :param capacity: What can be ordered.
    :param spares: Addresses for ordered engines.
    :param template: Every other setting of ordered engines.
    :param external_upstreams: Upstreams of other stand-in processes.
    """

    lead_seconds: float = 5.0
    list_lag_seconds: float = 0.0
    capacity: tuple[CapacitySettings, ...] = ()
    spares: tuple[Address, ...] = ()
    template: EngineSettings | None = None
    external_upstreams: tuple[ListedUpstream, ...] = ()


@frozen
class WeightStoreSettings:
    """
    The weight store.

    :param load_seconds: Length of one load; loads don't overlap.
    :param max_waiting: Reservations ahead before the store is busy.
    """

    load_seconds: float = 1.0
    max_waiting: int = 4


@frozen
class PlatformSettings:
    """
    The platform.

    :param name: Name for the admin calls.
    :param address: Where it serves.
    :param instances: The list of instances at start.
    :param instance_list_lag_seconds: How far that list lags behind.
    :param seed: Seed of everything random.
    """

    address: Address
    name: str = "platform"
    instances: tuple[ListedInstance, ...] = ()
    instance_list_lag_seconds: float = 0.0
    log: LogSettings = LogSettings()
    market: MarketSettings = MarketSettings()
    weight_store: WeightStoreSettings = WeightStoreSettings()
    seed: int = 0


@frozen
class ProxySettings:
    """
    One fault-injecting proxy.

    :param name: Name for the admin calls.
    :param listen: Where it listens.
    :param target: Where it forwards to.
    """

    name: str
    listen: Address
    target: Address


@frozen
class StandinSettings:
    """
    Everything that one stand-in process holds.

    :param admin_address: Where tests switch faults and read journals.
    :param engines: Model engines.
    :param plain_services: Plain services.
    :param platform: The platform; None for none.
    :param proxies: Fault-injecting proxies.
    :param engine_defaults: Settings of all engines and of the template that
        don't say otherwise.
    """

    admin_address: Address
    engines: tuple[EngineSettings, ...] = ()
    plain_services: tuple[PlainSettings, ...] = ()
    platform: PlatformSettings | None = None
    proxies: tuple[ProxySettings, ...] = ()
    engine_defaults: dict[str, Any] = field(factory=dict)


def make_settings_converter() -> Converter:
    """Build a converter that rejects unknown settings."""
    return make_wire_converter().copy(forbid_extra_keys=True)


def load_settings(path: pathlib.Path) -> StandinSettings:
    """
    Read a settings file.

    :param path: The YAML file.
    :raises ExceptionGroup: With all findings and their places.
    """
    value = YAML(typ="safe").load(path) or {}
    defaults = value.get("engine_defaults", {})
    value["engines"] = [_merged(defaults, row) for row in value.get("engines", [])]
    market = (value.get("platform") or {}).get("market") or {}
    if "template" in market:
        market["template"] = _merged(defaults, market["template"])
    return make_settings_converter().structure(value, StandinSettings)


def _merged(defaults: dict[str, Any], row: dict[str, Any]) -> dict[str, Any]:
    """Fill what a row of settings leaves out."""
    merged = {**defaults, **row}
    for key, default in defaults.items():
        if isinstance(default, dict) and isinstance(row.get(key), dict):
            merged[key] = _merged(default, row[key])
    return merged
