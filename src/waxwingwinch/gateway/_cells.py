"""Which instances report to one another, and which are read through others."""

import math
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch._types import ZoneName
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._routes import stable_hash
from waxwingwinch.gateway._silence import has_cells

#: Instances that a cell has at least, if its availability zone has them.
CELL_MIN = 8


@frozen
class Cell:
    """
    Instances of one availability zone that report to one another.

    :param zone: The zone.
    :param number: Tells the cells of a zone apart.
    """

    zone: ZoneName
    number: int


@frozen
class LinkPlan:
    """
    How an instance hears of the others.

    :param neighbours: Those it exchanges reports with.
    :param cells: The others by cell, each in the order in which they are
        asked what their cell has under way.
    """

    neighbours: frozenset[Member]
    cells: dict[Cell, tuple[Member, ...]]


def plan_links(own: Member, others: Iterable[Member]) -> LinkPlan:
    """
    Plan the links of an instance.

    Links grow with the square root of the number of instances. Instances
    that know different ones plan different cells for a while; what one hears
    through a cell is then heard twice or from another.

    :param own: The instance.
    :param others: All other instances.
    """
    others = frozenset(others)
    if not has_cells(len(others) + 1):
        return LinkPlan(others, {})
    size = max(CELL_MIN, math.ceil(math.sqrt(len(others) + 1)))
    counts = _count_cells([own, *others], size)
    own_cell = _cell_of(own, counts)
    neighbours: set[Member] = set()
    cells: dict[Cell, list[Member]] = {}
    for member in others:
        cell = _cell_of(member, counts)
        if cell == own_cell:
            neighbours.add(member)
        else:
            cells.setdefault(cell, []).append(member)
    return LinkPlan(
        frozenset(neighbours),
        {cell: _in_asking_order(own, members) for cell, members in cells.items()},
    )


def _count_cells(members: Iterable[Member], size: int) -> dict[ZoneName, int]:
    instances: dict[ZoneName, int] = {}
    for member in members:
        instances[member.zone] = instances.get(member.zone, 0) + 1
    return {zone: math.ceil(count / size) for zone, count in instances.items()}


def _cell_of(member: Member, counts: dict[ZoneName, int]) -> Cell:
    """Return the cell of an instance, which seldom changes with the others."""
    number = max(
        range(counts[member.zone]),
        key=lambda number: stable_hash(f"{member.instance_id}/{number}"),
    )
    return Cell(member.zone, number)


def _in_asking_order(own: Member, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return instances in an order that spreads the askers over them."""
    return tuple(
        sorted(
            members,
            key=lambda one: stable_hash(f"{own.instance_id}/{one.instance_id}"),
        )
    )
