"""Pure decisions about the number, kind and role of upstreams."""

import math
from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

#: Fraction of the engines in the prefill role. They process long prompts
#: twice as fast as other engines, while decoding needs few engines.
PREFILL_FRACTION = 0.6
#: Minimum number of on-demand upstreams in an availability zone; one keeps the
#: zone served while its spot upstreams are reclaimed.
ON_DEMAND_MIN = 1
#: Upstreams of an availability zone's maximum that on-demand upstreams leave
#: to spot upstreams while these are unavailable, so that a spot upstream can
#: be ordered as soon as there is capacity.
SPOT_RESERVED_UPSTREAMS = 1
#: Minimum number of on-demand engines in the decode role; with two, every
#: prompt can still be answered after the loss of all spot engines and one
#: on-demand engine.
ON_DEMAND_DECODERS_MIN = 2
#: Number of engines by which a role may differ from its wanted number. A role
#: change makes an engine unavailable for seconds, which is worthwhile only for
#: a larger difference.
ROLE_TOLERANCE = 1
#: Minimum number of engines that a role change leaves in either role.
MIN_ENGINES_PER_ROLE = 1


@frozen
class UpstreamCount:
    """
    The wanted number of upstreams of one kind in an availability zone.

    :param service: Name of the service.
    :param zone: The availability zone.
    :param count: The wanted number.
    :param is_spot: True for spot (reclaimable) upstreams, False for on-demand
        upstreams.
    """

    service: str
    zone: ZoneName
    count: int
    is_spot: bool


@frozen
class ZoneCounts:
    """
    The numbers of ready upstreams of a service in one availability zone.

    :param zone: The availability zone.
    :param on_demand: Number of on-demand upstreams.
    :param spot: Number of spot (reclaimable) upstreams.
    """

    zone: ZoneName
    on_demand: int
    spot: int

    @classmethod
    def of(cls, zone: ZoneName, upstreams: Sequence[Upstream]) -> "ZoneCounts":
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
    zone_counts: ZoneCounts,
    is_spot_unavailable: bool = False,
    is_unused: bool = False,
) -> tuple[UpstreamCount, ...]:
    """
    Decide how many upstreams an availability zone gets.

    Spot upstreams are ordered up to the maximum of the rules minus the
    on-demand upstreams, since the loss of one availability zone leaves the
    other zones. On-demand upstreams above their minimum are released only
    once all wanted spot upstreams are ready. While spot upstreams are
    unavailable, on-demand upstreams replace them.

    :param service: Name of the service.
    :param rules: Bounds and prices of the service.
    :param zone_counts: The ready upstreams of the zone.
    :param is_spot_unavailable: True if an order for spot upstreams was
        refused recently.
    :param is_unused: True if no request has run yet, so that surplus on-demand
        upstreams are released without waiting for spot upstreams.
    """
    if rules.spot_price is None:
        return ()
    on_demand = max(rules.min_per_zone, ON_DEMAND_MIN)
    if is_spot_unavailable:
        fill_count = rules.max_per_zone - SPOT_RESERVED_UPSTREAMS - zone_counts.spot
        on_demand = min(max(on_demand, fill_count), rules.max_per_zone)
    if is_unused:
        # Counts as if the surplus were already released.
        zone_counts = evolve(
            zone_counts, on_demand=min(zone_counts.on_demand, on_demand)
        )
    spot_count = max(rules.max_per_zone - max(zone_counts.on_demand, on_demand), 0)
    can_release_on_demand = (
        zone_counts.on_demand > on_demand and zone_counts.spot >= spot_count
    )
    on_demand_count = (
        on_demand if can_release_on_demand else max(zone_counts.on_demand, on_demand)
    )
    return (
        # The on-demand count comes first, as its release makes room for spot
        # upstreams under the common maximum.
        UpstreamCount(service, zone_counts.zone, on_demand_count, is_spot=False),
        UpstreamCount(service, zone_counts.zone, spot_count, is_spot=True),
    )


@frozen
class RoleChange:
    """
    A wanted change of the role of an engine.

    :param upstream_id: The engine.
    :param role: The new role (prefill or decode).
    """

    upstream_id: UpstreamId
    role: EngineRole


def wanted_role_change(
    upstreams: Sequence[Upstream], is_unused: bool = False
) -> RoleChange | None:
    """
    Decide which engine changes its role next.

    Returns one change at a time, as each makes an engine unavailable for
    seconds. On-demand engines are moved to the decode role, up to
    ``ON_DEMAND_DECODERS_MIN``, so that prompts can still be answered after the
    loss of all spot engines.

    :param upstreams: The engines of a service.
    :param is_unused: True if no request has run yet, so that a change delays
        no request.
    """
    tolerance = 0 if is_unused else ROLE_TOLERANCE
    ready = [
        upstream
        for upstream in upstreams
        if upstream.state is RegisteredState.READY and upstream.role is not None
    ]
    prefill_engines = [
        candidate for candidate in ready if candidate.role is EngineRole.PREFILL
    ]
    decode_engines = [
        candidate for candidate in ready if candidate.role is EngineRole.DECODE
    ]
    wanted = math.floor(len(ready) * PREFILL_FRACTION + 0.5)
    wanted = min(
        max(wanted, MIN_ENGINES_PER_ROLE), max(len(ready) - MIN_ENGINES_PER_ROLE, 0)
    )
    on_demand_prefill_engine = _surplus_on_demand_prefill_engine(ready)
    if on_demand_prefill_engine is not None and (is_unused or not decode_engines):
        return RoleChange(on_demand_prefill_engine.upstream_id, EngineRole.DECODE)
    if (
        len(prefill_engines) < wanted - tolerance
        and len(decode_engines) > MIN_ENGINES_PER_ROLE
    ):
        engine = _select_engine_to_change(
            decode_engines, prefill_engines, prefer_spot=True
        )
        return RoleChange(engine.upstream_id, EngineRole.PREFILL)
    if (
        len(prefill_engines) > wanted + tolerance
        and len(prefill_engines) > MIN_ENGINES_PER_ROLE
    ):
        engine = _select_engine_to_change(
            prefill_engines, decode_engines, prefer_spot=False
        )
        return RoleChange(engine.upstream_id, EngineRole.DECODE)
    return None


def _surplus_on_demand_prefill_engine(ready: Sequence[Upstream]) -> Upstream | None:
    """Return an on-demand prefill engine to be moved to the decode role."""
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


def _select_engine_to_change(
    source_engines: Sequence[Upstream],
    target_engines: Sequence[Upstream],
    prefer_spot: bool,
) -> Upstream:
    """Return an engine from the zone with the largest surplus of a role."""

    def rank(upstream: Upstream) -> tuple[bool, int, str]:
        source_count = sum(1 for other in source_engines if other.zone == upstream.zone)
        target_count = sum(1 for other in target_engines if other.zone == upstream.zone)
        is_preferred = upstream.is_spot is prefer_spot
        return is_preferred, source_count - target_count, upstream.upstream_id

    return max(source_engines, key=rank)
