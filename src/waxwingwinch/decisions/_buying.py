"""Purchase planning: which engines are ordered and which are returned."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from waxwingwinch._types import EngineRole, PriceClass, UpstreamId, ZoneName
from waxwingwinch.configuration import Defaults
from waxwingwinch.decisions._buying_state import (
    BuyingState,
    ModelNeed,
    OwnedEngine,
    Purchase,
    Return,
)

#: Assumed price of a cheap engine, relative to an on-demand engine, while its
#: price is unknown.
ASSUMED_CHEAP_PRICE_RATIO = 0.35
#: Duration of a surplus before an engine is returned, at spend weight 1; it is
#: divided by the spend weight of the settings (at least 0.1).
SURPLUS_HOLD_SECONDS = 120.0


def plan_purchases(
    state: BuyingState, defaults: Defaults, now_seconds: float
) -> tuple[Purchase | Return, ...]:
    """
    Decide on purchases and returns, one return at most for each model.

    :param state: Engines, needed work and refusals.
    :param defaults: Settings in force.
    :param now_seconds: Monotonic time.
    """
    plan: list[Purchase | Return] = []
    for need in state.needs:
        engines = [e for e in state.engines if e.model == need.model]
        if not is_enough(engines, need, defaults):
            plan += _cheapest_purchases(state, engines, need, defaults, now_seconds)
            continue
        engine_return = _plan_return(state, engines, need, defaults, now_seconds)
        plan += [engine_return] if engine_return else []
    return tuple(plan)


def is_enough(
    engines: Sequence[OwnedEngine], need: ModelNeed, defaults: Defaults
) -> bool:
    """
    Return whether the engines suffice for the work of a model.

    With ``survive_zone_loss`` they must also suffice after the loss of all
    cheap engines of any single zone.

    :param engines: Engines of the model.
    :param need: Work of the model.
    :param defaults: Settings in force.
    """
    wanted = wanted_engines(need, defaults)
    if len(engines) < wanted:
        return False
    if not defaults.survive_zone_loss:
        return True
    cheap = Counter(e.zone for e in engines if e.price_class is PriceClass.CHEAP)
    survivors = len(engines) - max(cheap.values(), default=0)
    required = max(
        defaults.min_engines_per_model, math.ceil(need.fully_utilized_engines)
    )
    return survivors >= min(required, wanted)


def wanted_engines(need: ModelNeed, defaults: Defaults) -> int:
    """Return the number of engines for the target utilization, in bounds."""
    wanted = math.ceil(need.fully_utilized_engines / defaults.target_utilization)
    bounded = max(wanted, defaults.min_engines_per_model)
    return min(bounded, defaults.max_engines_per_model)


def spare_engine(
    engines: Sequence[OwnedEngine], need: ModelNeed, defaults: Defaults
) -> OwnedEngine | None:
    """
    Return the best engine to give up; None if all are needed.

    This is the most expensive of the engines that are not needed; of equally
    expensive ones, that with the fewest running generations.

    :param engines: Engines of the model.
    :param need: Work of the model.
    :param defaults: Settings in force.
    """
    candidates = []
    for engine in engines:
        others = [e for e in engines if e is not engine]
        if not engine.upstream_id or not is_enough(others, need, defaults):
            continue
        if _cheap_ratio(others) > defaults.cheap_ratio_max:
            continue
        candidates.append(engine)
    return min(
        candidates,
        key=lambda e: (-_price(e), e.running, e.upstream_id),
        default=None,
    )


def _price(engine: OwnedEngine) -> float:
    if engine.price_per_hour > 0:
        return engine.price_per_hour
    # An unknown price is assumed relative to that of an on-demand engine, 1.0.
    return ASSUMED_CHEAP_PRICE_RATIO if engine.price_class is PriceClass.CHEAP else 1.0


def _cheap_ratio(engines: Sequence[OwnedEngine]) -> float:
    cheap = sum(e.price_class is PriceClass.CHEAP for e in engines)
    return cheap / len(engines) if engines else 0.0


def _plan_return(
    state: BuyingState,
    engines: list[OwnedEngine],
    need: ModelNeed,
    defaults: Defaults,
    now_seconds: float,
) -> Return | None:
    if need.surplus_since_seconds is None or need.model in state.busy_models:
        return None
    hold_seconds = SURPLUS_HOLD_SECONDS / max(defaults.spend_weight, 0.1)
    lasted_seconds = now_seconds - need.surplus_since_seconds
    spare = spare_engine(engines, need, defaults)
    if spare is None or lasted_seconds < hold_seconds:
        return None
    reason = (
        f"work for {need.fully_utilized_engines:.1f} fully utilized engines is expected"
        f" for {need.model}; "
        f"{len(engines) - 1} of {len(engines)} engines have been enough "
        f"for {lasted_seconds:.0f} s"
    )
    return Return(spare.upstream_id, need.model, reason)


def _cheapest_purchases(
    state: BuyingState,
    engines: list[OwnedEngine],
    need: ModelNeed,
    defaults: Defaults,
    now_seconds: float,
) -> list[Purchase]:
    """Return the cheapest set of additional engines that suffices."""
    max_added = defaults.max_engines_per_model - len(engines)
    cheapest: tuple[float, int, list[OwnedEngine]] | None = None
    for cheap_count in range(max_added + 1):
        for on_demand_count in range(max_added + 1 - cheap_count):
            added = _place_engines(
                state, engines, need, cheap_count, on_demand_count, now_seconds
            )
            all_engines = [*engines, *added]
            if not is_enough(all_engines, need, defaults):
                continue
            if cheap_count and _cheap_ratio(all_engines) > defaults.cheap_ratio_max:
                continue
            cost = sum(_price(engine) for engine in added)
            if cheapest is None or (cost, len(added)) < cheapest[:2]:
                cheapest = (cost, len(added), added)
    if cheapest is None:
        # No addition within the bounds suffices: order on-demand engines up to
        # the maximum.
        added = _place_engines(state, engines, need, 0, max_added, now_seconds)
        cheapest = (0.0, len(added), added)
    reason = (
        f"work for {need.fully_utilized_engines:.1f} fully utilized engines is expected"
        f" for {need.model}; "
        f"{len(engines)} engines are not enough for a utilization of "
        f"{defaults.target_utilization:.2f}"
        + (
            " after the loss of the cheap engines of any zone"
            if defaults.survive_zone_loss
            else ""
        )
    )
    return [
        Purchase(need.model, e.zone, e.price_class, EngineRole.MIXED, reason)
        for e in cheapest[2]
    ]


def _place_engines(
    state: BuyingState,
    engines: Iterable[OwnedEngine],
    need: ModelNeed,
    cheap_count: int,
    on_demand_count: int,
    now_seconds: float,
) -> list[OwnedEngine]:
    """Assign engines to zones, each to that with the fewest of its class."""
    all_engines = list(engines)
    added = []
    price_classes = [PriceClass.CHEAP] * cheap_count
    price_classes += [PriceClass.ON_DEMAND] * on_demand_count
    for price_class in price_classes:
        zone = _least_populated_zone(state, all_engines, price_class, now_seconds)
        if zone is not None:
            engine = OwnedEngine(UpstreamId(""), zone, price_class, need.model)
            all_engines.append(engine)
            added.append(engine)
    return added


def _least_populated_zone(
    state: BuyingState,
    engines: list[OwnedEngine],
    price_class: PriceClass,
    now_seconds: float,
) -> ZoneName | None:
    refused = {
        refusal.zone
        for refusal in state.refusals
        if refusal.price_class is price_class and refusal.until_seconds > now_seconds
    }
    count_of_class = Counter(e.zone for e in engines if e.price_class is price_class)
    engine_count = Counter(e.zone for e in engines)
    zones = [zone for zone in state.zones if zone not in refused]
    return min(
        zones,
        key=lambda zone: (count_of_class[zone], engine_count[zone], zone),
        default=None,
    )
