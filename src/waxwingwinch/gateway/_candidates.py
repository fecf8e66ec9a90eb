"""The upstreams that a request may go to, as its placement sees them."""

from collections.abc import Iterable, Mapping

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._job import RelayContext
from waxwingwinch.gateway._loads import NO_LOAD, UpstreamLoad
from waxwingwinch.gateway._placement import EngineOption, PlainOption
from waxwingwinch.gateway._requests import Prompt
from waxwingwinch.gateway._upstreams import Upstream


def engine_options(
    context: RelayContext,
    service: str,
    prompt: Prompt,
    excluded: frozenset[UpstreamId],
    zones: frozenset[ZoneName] | None,
    now_seconds: float,
) -> list[EngineOption]:
    """
    Return the usable engines of a service.

    :param context: Dependencies shared by the relays of the process.
    :param service: Name of the service.
    :param prompt: The declared prompt of the request.
    :param excluded: Engines that are not tried again.
    :param zones: Allowed availability zones; None for all.
    :param now_seconds: Monotonic time.
    """
    totals = context.loads.totals(now_seconds)
    return [
        EngineOption(
            upstream.upstream_id,
            upstream.role or EngineRole.MIXED,
            upstream.zone,
            totals.get(upstream.upstream_id, NO_LOAD),
            context.prefixes.cached_tokens(upstream.upstream_id, prompt.parts),
            context.capacity.estimate(upstream, now_seconds),
            context.permits.is_cold(upstream),
        )
        for upstream in context.directory.usable(service, now_seconds, excluded, zones)
    ]


def plain_options(
    context: RelayContext,
    upstreams: Iterable[Upstream],
    totals: Mapping[UpstreamId, UpstreamLoad],
    now_seconds: float,
) -> list[PlainOption]:
    """
    Return upstreams of a plain service as candidates.

    :param context: Dependencies shared by the relays of the process.
    :param upstreams: The usable upstreams.
    :param totals: Work of all instances by upstream.
    :param now_seconds: Monotonic time.
    """
    return [
        PlainOption(
            upstream.upstream_id,
            upstream.zone,
            upstream.slots,
            totals.get(upstream.upstream_id, NO_LOAD).running,
            context.directory.is_cold(upstream, now_seconds),
            context.capacity.estimate(upstream, now_seconds),
        )
        for upstream in upstreams
    ]
