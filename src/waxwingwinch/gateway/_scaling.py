"""How many upstreams are wanted, and of which kind: pure decisions."""

import math
from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

#: Part of the engines that reads prompts for the others. Long prompts are
#: read twice as fast there, while generation itself needs few engines.
PREFILL_SHARE = 0.34
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


def wanted_counts(
    service: str,
    rules: ScalingRules,
    zones: Sequence[ZoneName],
    upstreams: Sequence[Upstream],
) -> list[UpstreamCount]:
    """
    Decide how many upstreams each availability zone gets.

    Reclaimable ones are bought up to what the rules leave beside the fewest
    others, since the loss of one availability zone leaves the rest. Others
    are given back only once the reclaimable ones serve.

    :param service: Name of the service.
    :param rules: Bounds and prices.
    :param zones: Availability zones in which it runs.
    :param upstreams: Its present upstreams.
    """
    counts: list[UpstreamCount] = []
    for zone in zones:
        if rules.spot_price is None:
            continue
        ready_spot = sum(
            1
            for upstream in upstreams
            if upstream.zone == zone
            and upstream.is_spot
            and upstream.state is RegisteredState.READY
        )
        lasting = max(rules.min_per_zone, 1)
        spot = max(rules.max_per_zone - lasting, 0)
        present = _lasting_in(zone, upstreams)
        # Both kinds count together, so that room is made step by step.
        on_demand = max(lasting, min(present, lasting + spot - ready_spot))
        first_spot = max(rules.max_per_zone - max(present, lasting), 0)
        counts.append(
            UpstreamCount(
                service, zone, spot if present <= lasting else first_spot, True
            )
        )
        counts.append(UpstreamCount(service, zone, on_demand, False))
    return counts


def _lasting_in(zone: ZoneName, upstreams: Sequence[Upstream]) -> int:
    return sum(
        1
        for upstream in upstreams
        if upstream.zone == zone
        and not upstream.is_spot
        and upstream.state is RegisteredState.READY
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


def wanted_stage_change(upstreams: Sequence[Upstream]) -> StageChange | None:
    """
    Decide which engine changes its stage next.

    One change at a time, as each takes an engine away for seconds. Engines
    of the best covered availability zone change first.

    :param upstreams: The engines of a service.
    """
    ready = [
        upstream
        for upstream in upstreams
        if upstream.state is RegisteredState.READY and upstream.role is not None
    ]
    readers = [one for one in ready if one.role is EngineRole.PREFILL]
    decoders = [one for one in ready if one.role is EngineRole.DECODE]
    wanted = math.floor(len(ready) * PREFILL_SHARE + 0.5)
    wanted = min(max(wanted, STAGE_MIN), max(len(ready) - STAGE_MIN, 0))
    if len(readers) < wanted and len(decoders) > STAGE_MIN:
        return StageChange(_most_common_zone(decoders, readers), EngineRole.PREFILL)
    if len(readers) > wanted + 1 and len(readers) > STAGE_MIN:
        return StageChange(_most_common_zone(readers, decoders), EngineRole.DECODE)
    return None


def _most_common_zone(
    givers: Sequence[Upstream], takers: Sequence[Upstream]
) -> UpstreamId:
    def surplus(upstream: Upstream) -> int:
        given = sum(1 for other in givers if other.zone == upstream.zone)
        taken = sum(1 for other in takers if other.zone == upstream.zone)
        return given - taken

    chosen = max(givers, key=lambda upstream: (surplus(upstream), upstream.upstream_id))
    return chosen.upstream_id
