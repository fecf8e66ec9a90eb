"""Instances near a caller who asks the directory."""

from collections.abc import Iterable, Mapping

from attrs import frozen

from waxwingwinch._types import RegionName, ZoneName
from waxwingwinch.gateway._members import Member


@frozen
class ResolveQuery:
    """
    A caller's question which instances to use.

    :param host: Host name that the caller will ask for; empty if not stated.
    :param region: Region of the caller; empty if not stated.
    :param zone: Availability zone of the caller; empty if not stated.
    """

    host: str
    region: RegionName
    zone: ZoneName


def nearest_members(
    query: ResolveQuery,
    members: Iterable[Member],
    zone_regions: Mapping[ZoneName, RegionName],
    home_regions: frozenset[RegionName],
) -> tuple[Member, ...]:
    """
    Choose the instances to which a caller may send its requests.

    Those in the caller's own region come first, then those in the home regions
    of the host; others are used only if there are none of either.

    :param query: The caller's question.
    :param members: The instances that accept callers.
    :param zone_regions: Region of each availability zone.
    :param home_regions: Home regions of the host; empty if a route of it has
        none.
    """
    candidates = tuple(members)
    region = query.region or zone_regions.get(query.zone)
    nearby = tuple(
        member
        for member in candidates
        if member.zone == query.zone
        or (region is not None and zone_regions.get(member.zone) == region)
    )
    if nearby:
        return nearby
    at_home = tuple(
        member for member in candidates if zone_regions.get(member.zone) in home_regions
    )
    return at_home or candidates
