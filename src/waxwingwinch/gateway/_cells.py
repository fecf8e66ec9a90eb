"""Which instances hear of one another directly, and which through others."""

import math
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch._types import InstanceId, ZoneName
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._routes import stable_hash
from waxwingwinch.gateway._silence import has_cells

#: Instances that a cell has at least, if its availability zone has them.
MIN_CELL_SIZE = 8


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
    cell_member_ids: frozenset[InstanceId]
    preferred_collectors: tuple[Member, ...]
    other_cells: dict[Cell, tuple[Member, ...]]


def plan_links(own_member: Member, others: Iterable[Member]) -> LinkPlan:
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
    cell_size = max(MIN_CELL_SIZE, math.ceil(math.sqrt(len(others) + 1)))
    cell_counts = _count_cells([own_member, *others], cell_size)
    cells: dict[Cell, list[Member]] = {}
    for member in (own_member, *others):
        cells.setdefault(_cell_of(member, cell_counts), []).append(member)
    collector_orders = {
        cell: _collector_order(cell, members) for cell, members in cells.items()
    }
    own_cell = _cell_of(own_member, cell_counts)
    cell_members = collector_orders.pop(own_cell)
    return LinkPlan(
        frozenset(),
        own_cell,
        frozenset(member.instance_id for member in cell_members),
        cell_members[: cell_members.index(own_member)],
        collector_orders,
    )


def _count_cells(members: Iterable[Member], cell_size: int) -> dict[ZoneName, int]:
    instance_counts: dict[ZoneName, int] = {}
    for member in members:
        instance_counts[member.zone] = instance_counts.get(member.zone, 0) + 1
    return {
        zone: math.ceil(count / cell_size) for zone, count in instance_counts.items()
    }


def _cell_of(member: Member, cell_counts: dict[ZoneName, int]) -> Cell:
    """Return the cell of an instance, which seldom changes with the others."""
    number = max(
        range(cell_counts[member.zone]),
        key=lambda number: stable_hash(f"{member.instance_id}/{number}"),
    )
    return Cell(member.zone, number)


def _collector_order(cell: Cell, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the instances of a cell in an order that all agree on."""
    return tuple(
        sorted(members, key=lambda member: stable_hash(f"{cell}/{member.instance_id}"))
    )
