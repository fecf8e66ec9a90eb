"""Which instances hear of one another directly, and which through others."""

import math
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch._types import InstanceId, ZoneName
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._routes import stable_hash
from waxwingwinch.gateway._silence import has_cells

#: Instances that a cell has at least, if its availability zone has them.
CELL_MIN = 8


@frozen
class Cell:
    """
    Instances of one availability zone that hear of the others through one.

    :param zone: The zone.
    :param number: Tells the cells of a zone apart.
    """

    zone: ZoneName
    number: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.number}"


@frozen
class LinkPlan:
    """
    How an instance hears of the others.

    :param neighbours: Those it exchanges reports with, if all do with all.
    :param own_cell: Its cell; None if there are no cells.
    :param cell_ids: The instances of its cell, itself included.
    :param superiors: Those of its cell that collect in its place, the first
        before the others.
    :param cells: The instances of the other cells, in the order in which
        they collect.
    """

    neighbours: frozenset[Member]
    own_cell: Cell | None
    cell_ids: frozenset[InstanceId]
    preferred_collectors: tuple[Member, ...]
    cells: dict[Cell, tuple[Member, ...]]


def plan_links(own: Member, others: Iterable[Member]) -> LinkPlan:
    """
    Plan the links of an instance.

    The links of one that collects grow with the square root of the number of
    instances; all others have one. Instances that know different ones plan
    different cells for a while, and then hear of one another in two ways.

    :param own: The instance.
    :param others: All other instances.
    """
    others = frozenset(others)
    if not has_cells(len(others) + 1):
        return LinkPlan(others, None, frozenset(), (), {})
    size = max(CELL_MIN, math.ceil(math.sqrt(len(others) + 1)))
    counts = _count_cells([own, *others], size)
    cells: dict[Cell, list[Member]] = {}
    for member in (own, *others):
        cells.setdefault(_cell_of(member, counts), []).append(member)
    ranked = {cell: _ranked(cell, members) for cell, members in cells.items()}
    own_cell = _cell_of(own, counts)
    beside = ranked.pop(own_cell)
    return LinkPlan(
        frozenset(),
        own_cell,
        frozenset(member.instance_id for member in beside),
        beside[: beside.index(own)],
        ranked,
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


def _ranked(cell: Cell, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the instances of a cell in an order that all agree on."""
    return tuple(
        sorted(members, key=lambda one: stable_hash(f"{cell}/{one.instance_id}"))
    )
