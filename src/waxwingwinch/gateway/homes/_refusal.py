"""Refusals of requests that their home regions can't serve."""

from waxwingwinch._types import EngineRole
from waxwingwinch.gateway._outcomes import RefusalReason, RequestEnded
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway.homes._log_lines import HomeRegionsRefused
from waxwingwinch.gateway.homes._request import RequestHomes

#: ``Retry-After`` if no zone is allowed; only another configuration helps,
#: which is in force at all instances within 2 to 3 s.
NO_REGION_RETRY_SECONDS = 3.0
#: ``Retry-After`` if the allowed zones have no upstream; the same as for a
#: service that has none at all.
NO_UPSTREAM_RETRY_SECONDS = 0.4


def home_refusal(
    homes: RequestHomes,
    directory: UpstreamDirectory,
    service: str,
    now_seconds: float,
) -> RequestEnded | None:
    """
    Return the refusal of a request that has no upstream in its home regions.

    :param homes: The home regions of the request.
    :param directory: The known upstreams.
    :param service: Name of the service.
    :param now_seconds: Monotonic time.
    :returns: None if the home regions are no reason to refuse the request.
    """
    zones = homes.zones()
    if zones is None:
        return None
    if not zones:
        ended = RequestEnded(503, RefusalReason.NO_HOME_REGION, NO_REGION_RETRY_SECONDS)
    elif any(
        upstream.role is not EngineRole.PREFILL
        for upstream in directory.usable(service, now_seconds, zones=zones)
    ):
        return None
    else:
        ended = RequestEnded(
            503, RefusalReason.NO_HOME_UPSTREAM, NO_UPSTREAM_RETRY_SECONDS
        )
    customer = homes.customer
    HomeRegionsRefused(
        request_id=homes.request_id,
        route=homes.route.name,
        route_regions=tuple(sorted(homes.route.home_regions)),
        customer=customer.customer_id if customer is not None else None,
        customer_regions=tuple(sorted(customer.home_regions)) if customer else (),
        service=service,
        zones=tuple(sorted(zones)),
        version=homes.version,
    ).write()
    return ended
