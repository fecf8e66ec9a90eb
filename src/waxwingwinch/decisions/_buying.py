"""Which upstreams are ordered and which are given back."""

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

#: Price of a cheap engine relative to one on demand, until prices are seen.
FIRST_CHEAP_PRICE_RATIO = 0.35
#: How long a surplus has to last before an engine is given back.
RETURN_HOLD_SECONDS = 120.0


def plan_purchases(
    state: BuyingState, defaults: Defaults, now_seconds: float
) -> tuple[Purchase | Return, ...]:
    """
    Decide on purchases and returns, one return at most for each model.

    :param state: What is known.
    :param defaults: Settings in force.
    :param now_seconds: Monotonic time.
    """
    plan: list[Purchase | Return] = []
    for need in state.needs:
        engines = [e for e in state.engines if e.model == need.model]
        if not is_enough(engines, need, defaults):
            plan += _purchases(state, engines, need, defaults, now_seconds)
            continue
        surplus = _return(state, engines, need, defaults, now_seconds)
        plan += [surplus] if surplus else []
    return tuple(plan)


def is_enough(
    engines: Sequence[OwnedEngine], need: ModelNeed, defaults: Defaults
) -> bool:
    """
    Tell whether engines do the work, also without any one zone's cheap ones.

    :param engines: Engines of the model.
    :param need: Its work.
    :param defaults: Settings in force.
    """
    wanted = wanted_engines(need, defaults)
    if len(engines) < wanted:
        return False
    if not defaults.survive_zone_loss:
        return True
    cheap = Counter(e.zone for e in engines if e.price_class is PriceClass.CHEAP)
    survivors = len(engines) - max(cheap.values(), default=0)
    kept = max(defaults.min_engines_per_model, math.ceil(need.engines))
    return survivors >= min(kept, wanted)


def wanted_engines(need: ModelNeed, defaults: Defaults) -> int:
    """Return the number of engines at the target utilization, in bounds."""
    wanted = math.ceil(need.engines / defaults.target_utilization)
    bounded = max(wanted, defaults.min_engines_per_model)
    return min(bounded, defaults.max_engines_per_model)


def spare_engine(
    engines: Sequence[OwnedEngine], need: ModelNeed, defaults: Defaults
) -> OwnedEngine | None:
    """
    Return the engine that can best be missed, None if all are needed.

    :param engines: Engines of the model.
    :param need: Its work.
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
    return FIRST_CHEAP_PRICE_RATIO if engine.price_class is PriceClass.CHEAP else 1.0


def _cheap_ratio(engines: Sequence[OwnedEngine]) -> float:
    cheap = sum(e.price_class is PriceClass.CHEAP for e in engines)
    return cheap / len(engines) if engines else 0.0


def _return(
    state: BuyingState,
    engines: list[OwnedEngine],
    need: ModelNeed,
    defaults: Defaults,
    now_seconds: float,
) -> Return | None:
    if need.surplus_since_seconds is None or need.model in state.busy_models:
        return None
    hold_seconds = RETURN_HOLD_SECONDS / max(defaults.spend_weight, 0.1)
    lasted_seconds = now_seconds - need.surplus_since_seconds
    spare = spare_engine(engines, need, defaults)
    if spare is None or lasted_seconds < hold_seconds:
        return None
    reason = (
        f"{need.engines:.1f} engines of work are expected for {need.model}; "
        f"{len(engines) - 1} of {len(engines)} engines have been enough "
        f"for {lasted_seconds:.0f} s"
    )
    return Return(spare.upstream_id, need.model, reason)


def _purchases(
    state: BuyingState,
    engines: list[OwnedEngine],
    need: ModelNeed,
    defaults: Defaults,
    now_seconds: float,
) -> list[Purchase]:
    """Find the cheapest addition that is enough."""
    room = defaults.max_engines_per_model - len(engines)
    cheapest: tuple[float, int, list[OwnedEngine]] | None = None
    for cheap_count in range(room + 1):
        for on_demand_count in range(room + 1 - cheap_count):
            added = _added(
                state, engines, need, cheap_count, on_demand_count, now_seconds
            )
            whole = [*engines, *added]
            if not is_enough(whole, need, defaults):
                continue
            if cheap_count and _cheap_ratio(whole) > defaults.cheap_ratio_max:
                continue
            cost = sum(_price(engine) for engine in added)
            if cheapest is None or (cost, len(added)) < cheapest[:2]:
                cheapest = (cost, len(added), added)
    if cheapest is None:
        # The upper bound forbids what would be enough; come close to it.
        added = _added(state, engines, need, 0, room, now_seconds)
        cheapest = (0.0, len(added), added)
    reason = (
        f"{need.engines:.1f} engines of work are expected for {need.model}; "
        f"{len(engines)} engines are not enough at utilization "
        f"{defaults.target_utilization:.2f}"
        + (" without any one zone's cheap ones" if defaults.survive_zone_loss else "")
    )
    return [
        Purchase(need.model, e.zone, e.price_class, EngineRole.MIXED, reason)
        for e in cheapest[2]
    ]


def _added(
    state: BuyingState,
    engines: Iterable[OwnedEngine],
    need: ModelNeed,
    cheap_count: int,
    on_demand_count: int,
    now_seconds: float,
) -> list[OwnedEngine]:
    """Place engines, each in the zone with the fewest of its class."""
    whole = list(engines)
    added = []
    classes = [PriceClass.CHEAP] * cheap_count
    classes += [PriceClass.ON_DEMAND] * on_demand_count
    for price_class in classes:
        zone = _emptiest_zone(state, whole, price_class, now_seconds)
        if zone is not None:
            engine = OwnedEngine(UpstreamId(""), zone, price_class, need.model)
            whole.append(engine)
            added.append(engine)
    return added


def _emptiest_zone(
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
    same = Counter(e.zone for e in engines if e.price_class is price_class)
    whole = Counter(e.zone for e in engines)
    zones = [zone for zone in state.zones if zone not in refused]
    return min(zones, key=lambda zone: (same[zone], whole[zone], zone), default=None)
