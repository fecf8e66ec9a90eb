"""How many upstreams are wanted, and of which kind: pure decisions."""

import math
from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

#: Part of the engines that reads prompts for the others. Long prompts are
#: read twice as fast there, while generation itself needs few engines.
PREFILL_FRACTION = 0.6
#: Upstreams of an availability zone that are not reclaimable; one keeps the
#: zone served while its reclaimable ones are gone.
ON_DEMAND_MIN = 1
#: Places of an availability zone that are left for reclaimable upstreams
#: while none are to be had, so that they can come back.
SPOT_RESERVED_UPSTREAMS = 1
#: Engines that can't be reclaimed and generate; with two, the loss of one
#: more engine leaves an answer to every prompt.
ON_DEMAND_DECODERS_MIN = 2
#: Engines by which the stages may differ from what is wanted; a change takes
#: an engine away for seconds and pays only for more.
STAGE_TOLERANCE = 1
#: Engines of one stage below which no other is switched away from it.
STAGE_MIN = 1


@frozen
class UpstreamCount:
    """
    An order for upstreams in one availability zone.

    :param service: Name of the service.
    :param zone: The availability zone.
    :param count: Wanted number.
    :param is_spot: True for reclaimable ones.
    """

    service: str
    zone: ZoneName
    count: int
    is_spot: bool


@frozen
class ZoneFleet:
    """
    The ready upstreams of a service in one availability zone.

    :param zone: The availability zone.
    :param lasting: Those that are not reclaimable.
    :param spot: Those that are.
    """

    zone: ZoneName
    on_demand: int
    spot: int

    @classmethod
    def of(cls, zone: ZoneName, upstreams: Sequence[Upstream]) -> "ZoneFleet":
        """
        Count the ready upstreams in an availability zone.

        :param zone: The availability zone.
        :param upstreams: All upstreams of the service.
        """
        ready = [
            upstream
            for upstream in upstreams
            if upstream.zone == zone and upstream.state is RegisteredState.READY
        ]
        spot = sum(1 for upstream in ready if upstream.is_spot)
        return cls(zone, len(ready) - spot, spot)


def wanted_counts(
    service: str,
    rules: ScalingRules,
    fleet: ZoneFleet,
    is_spot_unavailable: bool = False,
    is_idle: bool = False,
) -> tuple[UpstreamCount, ...]:
    """
    Decide how many upstreams an availability zone gets.

    Reclaimable ones are bought up to what the rules leave beside the fewest
    others, since the loss of one availability zone leaves the rest. Others
    are given back only once the reclaimable ones serve. While none are to be
    had, others take their place.

    :param service: Name of the service.
    :param rules: Bounds and prices.
    :param fleet: What serves there now.
    :param is_dry: True if reclaimable ones were refused lately.
    :param is_idle: True if nothing was asked for yet, so that nothing has to
        serve until the reclaimable ones do.
    """
    if rules.spot_price is None:
        return ()
    on_demand = max(rules.min_per_zone, ON_DEMAND_MIN)
    if is_spot_unavailable:
        fill_count = rules.max_per_zone - SPOT_RESERVED_UPSTREAMS - fleet.spot
        on_demand = min(max(on_demand, fill_count), rules.max_per_zone)
    if is_idle:
        fleet = evolve(fleet, on_demand=min(fleet.on_demand, on_demand))
    spot_count = max(rules.max_per_zone - max(fleet.on_demand, on_demand), 0)
    can_release_on_demand = fleet.on_demand > on_demand and fleet.spot >= spot_count
    on_demand_count = (
        on_demand if can_release_on_demand else max(fleet.on_demand, on_demand)
    )
    return (
        # Giving back comes first, as both kinds share the room.
        UpstreamCount(service, fleet.zone, on_demand_count, is_spot=False),
        UpstreamCount(service, fleet.zone, spot_count, is_spot=True),
    )


@frozen
class StageChange:
    """
    An order to an engine to change its stage.

    :param upstream_id: The engine.
    :param role: Its new stage.
    """

    upstream_id: UpstreamId
    role: EngineRole


def wanted_stage_change(
    upstreams: Sequence[Upstream], is_idle: bool = False
) -> StageChange | None:
    """
    Decide which engine changes its stage next.

    One change at a time, as each takes an engine away for seconds. Engines
    that can't be reclaimed generate, so that the loss of the others never
    leaves prompts that nobody can answer.

    :param upstreams: The engines of a service.
    :param is_idle: True if nothing was asked for yet, so that changes cost
        nobody anything.
    """
    tolerance = 0 if is_idle else STAGE_TOLERANCE
    ready = [
        upstream
        for upstream in upstreams
        if upstream.state is RegisteredState.READY and upstream.role is not None
    ]
    prefill_engines = [
        upstream for upstream in ready if upstream.role is EngineRole.PREFILL
    ]
    decode_engines = [
        upstream for upstream in ready if upstream.role is EngineRole.DECODE
    ]
    wanted = math.floor(len(ready) * PREFILL_FRACTION + 0.5)
    wanted = min(max(wanted, STAGE_MIN), max(len(ready) - STAGE_MIN, 0))
    on_demand_prefill_engine = _surplus_on_demand_prefill_engine(ready)
    if on_demand_prefill_engine is not None and (is_idle or not decode_engines):
        return StageChange(on_demand_prefill_engine.upstream_id, EngineRole.DECODE)
    if len(prefill_engines) < wanted - tolerance and len(decode_engines) > STAGE_MIN:
        engine = _select_engine_to_switch(
            decode_engines, prefill_engines, prefer_spot=True
        )
        return StageChange(engine.upstream_id, EngineRole.PREFILL)
    if len(prefill_engines) > wanted + tolerance and len(prefill_engines) > STAGE_MIN:
        engine = _select_engine_to_switch(
            prefill_engines, decode_engines, prefer_spot=False
        )
        return StageChange(engine.upstream_id, EngineRole.DECODE)
    return None


def _surplus_on_demand_prefill_engine(ready: Sequence[Upstream]) -> Upstream | None:
    """Return a lasting engine that should generate instead of reading."""
    on_demand = [upstream for upstream in ready if not upstream.is_spot]
    decode_count = sum(
        1 for upstream in on_demand if upstream.role is EngineRole.DECODE
    )
    prefill_engines = [
        upstream for upstream in on_demand if upstream.role is EngineRole.PREFILL
    ]
    if not prefill_engines or decode_count >= ON_DEMAND_DECODERS_MIN:
        return None
    has_spot = any(upstream.is_spot for upstream in ready)
    return (
        min(prefill_engines, key=lambda upstream: upstream.upstream_id)
        if has_spot
        else None
    )


def _select_engine_to_switch(
    source_engines: Sequence[Upstream],
    target_engines: Sequence[Upstream],
    prefer_spot: bool,
) -> Upstream:
    """Return the engine that changes, from the zone that has most of them."""

    def rank(upstream: Upstream) -> tuple[bool, int, str]:
        source_count = sum(1 for other in source_engines if other.zone == upstream.zone)
        target_count = sum(1 for other in target_engines if other.zone == upstream.zone)
        is_preferred = upstream.is_spot is prefer_spot
        return is_preferred, source_count - target_count, upstream.upstream_id

    return max(source_engines, key=rank)
