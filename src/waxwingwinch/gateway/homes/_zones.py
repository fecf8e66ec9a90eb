"""Availability zones in the home regions of a route and a customer."""

from collections.abc import Mapping

from waxwingwinch._types import RegionName, ZoneName
from waxwingwinch.gateway._model import CustomerRules, Route


def allowed_zones(
    route: Route,
    customer: CustomerRules | None,
    zone_regions: Mapping[ZoneName, RegionName],
) -> frozenset[ZoneName] | None:
    """
    Return the availability zones that may get the requests of a customer.

    A zone whose region is unknown is in no home region.

    :param route: Route of the requests.
    :param customer: Customer of the requests; None on public routes.
    :param zone_regions: Region of each availability zone.
    :returns: None if neither route nor customer has home regions.
    """
    customer_regions = customer.home_regions if customer is not None else frozenset()
    if not route.home_regions and not customer_regions:
        return None
    regions = route.home_regions or customer_regions
    if customer_regions:
        regions &= customer_regions
    return frozenset(zone for zone, region in zone_regions.items() if region in regions)


def known_regions(
    zone: ZoneName,
    region: RegionName,
    zone_regions: Mapping[ZoneName, RegionName],
) -> dict[ZoneName, RegionName]:
    """
    Return the regions of the availability zones, as far as they are known.

    The region of the instance counts for its own zone if the settings of the
    zones don't name it.

    :param zone: Availability zone of the instance.
    :param region: Region of the instance; empty if unknown.
    :param zone_regions: Region of each availability zone; empty if unknown.
    """
    regions = {name: known for name, known in zone_regions.items() if known}
    if region:
        regions.setdefault(zone, region)
    return regions
