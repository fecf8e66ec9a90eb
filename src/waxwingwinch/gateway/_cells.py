"""Division of the instances into cells for the exchange of reports."""

import math
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch._types import InstanceId, ZoneName
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._routes import stable_hash
from waxwingwinch.gateway._silence import has_cells

#: Minimum number of instances in a cell, if the availability zone has as many.
MIN_CELL_SIZE = 8


@frozen
class Cell:
    """
    Instances of one zone, one of which is their collector.

    The collector exchanges reports with the other cells on behalf of its cell.

    :param zone: The availability zone.
    :param number: Number of the cell within its zone.
    """

    zone: ZoneName
    number: int

    def __str__(self) -> str:
        return f"{self.zone}/{self.number}"


@frozen
class LinkPlan:
    """
    Peers with which an instance exchanges reports.

    :param neighbours: Peers to which it reports directly; empty if there are
        cells.
    :param own_cell: Its cell; None if there are no cells.
    :param cell_member_ids: The instances of its cell, including itself.
    :param preferred_collectors: Instances of its cell that take precedence
        over it as collector, in descending order of precedence.
    :param other_cells: The instances of each other cell, in descending order
        of precedence as collector.
    """

    neighbours: frozenset[Member]
    own_cell: Cell | None
    cell_member_ids: frozenset[InstanceId]
    preferred_collectors: tuple[Member, ...]
    other_cells: dict[Cell, tuple[Member, ...]]


def plan_links(own_member: Member, others: Iterable[Member]) -> LinkPlan:
    """
    Return the links that an instance should have.

    The number of links of a collector grows with the square root of the
    number of instances; every other instance has one link. Instances with
    different views of the membership temporarily plan different cells, and
    then receive reports of one another through two channels.

    :param own_member: The instance.
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
    """Return an instance's cell, by rendezvous hashing to keep it stable."""
    number = max(
        range(cell_counts[member.zone]),
        key=lambda number: stable_hash(f"{member.instance_id}/{number}"),
    )
    return Cell(member.zone, number)


def _collector_order(cell: Cell, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return a cell's instances by precedence, equal on all instances."""
    return tuple(
        sorted(members, key=lambda member: stable_hash(f"{cell}/{member.instance_id}"))
    )
