"""The deployment that the bench runs, with scaled paces."""

import itertools

from waxwing_testbed.bench._scenario import CustomerLoad, Scenario, Variant
from waxwing_testbed.deployment import DeploymentPlan, EngineGroup
from waxwing_testbed.standins import (
    CapacitySettings,
    EngineLimits,
    EngineSpeeds,
    MarketSettings,
)
from waxwingwinch._types import (
    CustomerId,
    EngineRole,
    ModelName,
    PriceClass,
    UpstreamId,
    ZoneName,
)
from waxwingwinch.configuration import (
    Configuration,
    Customer,
    Defaults,
    Model,
    build_key_record,
)
from waxwingwinch.decisions import (
    BuyingState,
    ModelNeed,
    Purchase,
    RoleEngine,
    WorkForecast,
    plan_purchases,
    servable_ratio,
)

#: The one model.
MODEL = ModelName("bench-model")
#: The availability zones.
ZONES = (ZoneName("iloilo"), ZoneName("cebu"), ZoneName("bacolod"))
#: Model engines at start.
ENGINE_COUNT = 9
#: Entry instances.
INSTANCE_COUNT = 3
#: Everything takes twice as long as in the stand-ins' usual settings, which
#: halves the tokens that one process has to send.
SPEEDS = EngineSpeeds(decode_seconds_per_token=0.04, prefill_tokens_per_second=4_000.0)
#: What an engine holds.
LIMITS = EngineLimits(max_running=8, kv_pieces=16)
#: Promised time to the first token, twice the usual one.
FIRST_TOKEN_SECONDS = 0.84
#: Promised mean time between tokens, twice the usual one.
BETWEEN_TOKENS_SECONDS = 0.112
#: Length of a usage window.
WINDOW_SECONDS = 10
#: Price of an engine on demand for an hour.
ON_DEMAND_PRICE = 1.0
#: Price of a cheap engine for an hour.
CHEAP_PRICE = 0.35
#: Engines of each price class that each zone offers.
CAPACITY = 6
#: Engines that may run at most.
MAX_ENGINES = 12
#: Fleet-wide settings of the bench.
DEFAULTS = Defaults(
    first_token_seconds=FIRST_TOKEN_SECONDS,
    between_tokens_seconds=BETWEEN_TOKENS_SECONDS,
    usage_window_seconds=WINDOW_SECONDS,
    min_engines_per_model=3,
    max_engines_per_model=MAX_ENGINES,
)


def make_plan(scenario: Scenario, variant: Variant) -> DeploymentPlan:
    """
    Return the deployment of a variant.

    :param scenario: The scenario.
    :param variant: The variant.
    """
    market = MarketSettings(capacity=_capacity() if scenario.is_market_open else ())
    return DeploymentPlan(
        name="bench",
        zones=ZONES,
        instances=INSTANCE_COUNT,
        engines=variant.engines,
        speeds=SPEEDS,
        limits=LIMITS,
        lags=scenario.lags,
        market=market,
        spare_engines=MAX_ENGINES if scenario.is_market_open else 0,
        entry_settings=variant.entry_settings,
        control_settings=variant.control_settings,
    )


def _capacity() -> tuple[CapacitySettings, ...]:
    prices = {
        PriceClass.ON_DEMAND: ON_DEMAND_PRICE,
        PriceClass.CHEAP: CHEAP_PRICE,
    }
    return tuple(
        CapacitySettings(zone, price_class, CAPACITY, price)
        for zone in ZONES
        for price_class, price in prices.items()
    )


def make_configuration(scenario: Scenario, variant: Variant) -> Configuration:
    """
    Return the configuration of a variant.

    :param scenario: The scenario.
    :param variant: The variant.
    """
    customers = [_customer(load) for load in scenario.customers]
    return Configuration(
        defaults=variant.defaults,
        customers={customer.customer_id: customer for customer in customers},
        models={MODEL: Model(MODEL)},
    )


def key_of(customer_id: str) -> str:
    """
    Return the key of a customer.

    :param customer_id: Its name.
    """
    return f"key-of-{customer_id}-for-the-bench"


def _customer(load: CustomerLoad) -> Customer:
    return Customer(
        CustomerId(load.customer_id),
        load.rate_per_second,
        load.burst_requests,
        keys=(build_key_record(f"{load.customer_id}-1", key_of(load.customer_id)),),
    )


def mixed_engines() -> tuple[EngineGroup, ...]:
    """Return engines that are all mixed."""
    return engines_of_roles((EngineRole.MIXED,) * ENGINE_COUNT)


def engines_of_roles(roles: tuple[EngineRole, ...]) -> tuple[EngineGroup, ...]:
    """
    Return one engine for each role.

    :param roles: The roles.
    """
    return tuple(EngineGroup(MODEL, 1, role) for role in roles)


def engines_to_buy(need_engines: float, defaults: Defaults) -> tuple[EngineGroup, ...]:
    """
    Return the fleet that the purchase planner would buy from nothing.

    :param need_engines: Work in engines kept busy all the time.
    :param defaults: Fleet-wide settings.
    """
    state = BuyingState(ZONES, (), (ModelNeed(MODEL, need_engines),))
    bought = [
        p for p in plan_purchases(state, defaults, 0.0) if isinstance(p, Purchase)
    ]
    # The deployment places engines in the zones in turn.
    bought.sort(key=lambda purchase: (purchase.price_class.value, purchase.zone))
    return tuple(
        EngineGroup(MODEL, 1, price_class=purchase.price_class) for purchase in bought
    )


def best_roles(
    prompt_tokens_per_second: float, output_tokens_per_second: float
) -> tuple[EngineRole, ...]:
    """
    Return the roles that serve most of a known work.

    :param prompt_tokens_per_second: Prompt tokens to read.
    :param output_tokens_per_second: Tokens to generate.
    """
    work = WorkForecast(MODEL, prompt_tokens_per_second, output_tokens_per_second)
    choices = [
        (EngineRole.PREFILL,) * prefill
        + (EngineRole.MIXED,) * (ENGINE_COUNT - prefill - decode)
        + (EngineRole.DECODE,) * decode
        for prefill, decode in itertools.product(range(ENGINE_COUNT), repeat=2)
        if prefill + decode <= ENGINE_COUNT
    ]
    return max(choices, key=lambda roles: servable_ratio(_role_engines(roles), work))


def _role_engines(roles: tuple[EngineRole, ...]) -> list[RoleEngine]:
    decode = LIMITS.max_running / SPEEDS.decode_seconds_per_token
    return [
        RoleEngine(
            UpstreamId(f"engine-{number}"),
            ZONES[0],
            MODEL,
            role,
            SPEEDS.prefill_tokens_per_second,
            decode,
        )
        for number, role in enumerate(roles)
    ]
