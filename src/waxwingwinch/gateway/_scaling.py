"""How many upstreams are wanted, and of which kind: pure decisions."""

import math
from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

#: Part of the engines that reads prompts for the others. Long prompts are
#: read twice as fast there, while generation itself needs few engines.
PREFILL_SHARE = 0.6
#: Upstreams of an availability zone that are not reclaimable; one keeps the
#: zone served while its reclaimable ones are gone.
LASTING_MIN = 1
#: Places of an availability zone that are left for reclaimable upstreams
#: while none are to be had, so that they can come back.
DRY_ROOM = 1
#: Engines that can't be reclaimed and generate; with two, the loss of one
#: more engine leaves an answer to every prompt.
LASTING_DECODERS_MIN = 2
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
    lasting: int
    spot: int

    @classmethod
    def of(cls, zone: ZoneName, upstreams: Sequence[Upstream]) -> "ZoneFleet":
        """
        Count the ready upstreams in an availability zone.

        :param zone: The availability zone.
        :param upstreams: All upstreams of the service.
        """
        ready = [
            one
            for one in upstreams
            if one.zone == zone and one.state is RegisteredState.READY
        ]
        spot = sum(1 for one in ready if one.is_spot)
        return cls(zone, len(ready) - spot, spot)


def wanted_counts(
    service: str,
    rules: ScalingRules,
    fleet: ZoneFleet,
    is_dry: bool = False,
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
    lasting = max(rules.min_per_zone, LASTING_MIN)
    if is_dry:
        filled = rules.max_per_zone - DRY_ROOM - fleet.spot
        lasting = min(max(lasting, filled), rules.max_per_zone)
    if is_idle:
        fleet = evolve(fleet, lasting=min(fleet.lasting, lasting))
    room = max(rules.max_per_zone - max(fleet.lasting, lasting), 0)
    may_give_back = fleet.lasting > lasting and fleet.spot >= room
    kept = lasting if may_give_back else max(fleet.lasting, lasting)
    return (
        # Giving back comes first, as both kinds share the room.
        UpstreamCount(service, fleet.zone, kept, is_spot=False),
        UpstreamCount(service, fleet.zone, room, is_spot=True),
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
    readers = [one for one in ready if one.role is EngineRole.PREFILL]
    decoders = [one for one in ready if one.role is EngineRole.DECODE]
    wanted = math.floor(len(ready) * PREFILL_SHARE + 0.5)
    wanted = min(max(wanted, STAGE_MIN), max(len(ready) - STAGE_MIN, 0))
    lasting_reader = _surplus_lasting_reader(ready)
    if lasting_reader is not None and (is_idle or not decoders):
        return StageChange(lasting_reader.upstream_id, EngineRole.DECODE)
    if len(readers) < wanted - tolerance and len(decoders) > STAGE_MIN:
        giver = _giver(decoders, readers, prefer_spot=True)
        return StageChange(giver.upstream_id, EngineRole.PREFILL)
    if len(readers) > wanted + tolerance and len(readers) > STAGE_MIN:
        giver = _giver(readers, decoders, prefer_spot=False)
        return StageChange(giver.upstream_id, EngineRole.DECODE)
    return None


def _surplus_lasting_reader(ready: Sequence[Upstream]) -> Upstream | None:
    """Return a lasting engine that should generate instead of reading."""
    lasting = [one for one in ready if not one.is_spot]
    decoders = sum(1 for one in lasting if one.role is EngineRole.DECODE)
    readers = [one for one in lasting if one.role is EngineRole.PREFILL]
    if not readers or decoders >= LASTING_DECODERS_MIN:
        return None
    has_spot = any(one.is_spot for one in ready)
    return min(readers, key=lambda one: one.upstream_id) if has_spot else None


def _giver(
    givers: Sequence[Upstream], takers: Sequence[Upstream], prefer_spot: bool
) -> Upstream:
    """Return the engine that changes, from the zone that has most of them."""

    def rank(upstream: Upstream) -> tuple[bool, int, str]:
        given = sum(1 for other in givers if other.zone == upstream.zone)
        taken = sum(1 for other in takers if other.zone == upstream.zone)
        is_preferred = upstream.is_spot is prefer_spot
        return is_preferred, given - taken, upstream.upstream_id

    return max(givers, key=rank)
