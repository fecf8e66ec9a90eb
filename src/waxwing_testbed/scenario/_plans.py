"""Sizes of the deployments that scenarios ask for by name."""

from attrs import evolve

from waxwing_testbed.deployment import DeploymentPlan, EngineGroup, tahi_plan
from waxwing_testbed.standins import CapacitySettings, MarketSettings
from waxwingwinch._types import EngineRole, PriceClass

#: Engines that a scenario may order at most.
SPARE_ENGINES = 8
#: Time from an order to the started engine.
LEAD_SECONDS = 1.0
#: How far the list of upstreams lags behind.
LIST_LAG_SECONDS = 0.5
#: Upstreams of one class that may run in one zone.
ZONE_CAPACITY = 8
#: Prices by price class.
PRICES_PER_HOUR = {PriceClass.ON_DEMAND: 1.0, PriceClass.CHEAP: 0.35}


def named_plan(name: str) -> DeploymentPlan:
    """
    Return a plan.

    :param name: ``tahi``; ``market`` where engines can be ordered; ``phases``
        with few engines in different roles.
    :raises ValueError: If there is no such plan.
    """
    match name:
        case "tahi":
            return tahi_plan()
        case "market":
            return _with_market(tahi_plan())
        case "phases":
            return _with_phases(tahi_plan())
        case _:
            raise ValueError(f"no plan {name!r}")


def _with_market(plan: DeploymentPlan) -> DeploymentPlan:
    capacity = tuple(
        CapacitySettings(zone, price_class, ZONE_CAPACITY, price)
        for zone in plan.zones
        for price_class, price in PRICES_PER_HOUR.items()
    )
    market = MarketSettings(
        lead_seconds=LEAD_SECONDS, list_lag_seconds=LIST_LAG_SECONDS, capacity=capacity
    )
    return evolve(plan, market=market, spare_engines=SPARE_ENGINES)


def _with_phases(plan: DeploymentPlan) -> DeploymentPlan:
    """Let four engines generate only and two do both phases."""
    model = plan.engines[0].model
    return evolve(
        plan,
        engines=(
            EngineGroup(model, 2),
            EngineGroup(model, 2, role=EngineRole.DECODE),
            EngineGroup(model, 2, role=EngineRole.DECODE, checks_fencing=False),
        ),
    )
