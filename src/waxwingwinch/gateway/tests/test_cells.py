"""Tests of which instances report to one another."""

import pytest

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.gateway._cells import plan_links
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._silence import MAX_DIRECT_INSTANCES


def make_members(count, zones=3):
    return [
        Member(
            InstanceId(f"i{number}"),
            f"start-{number}",
            ZoneName(f"z{number % zones}"),
            Address("10.0.0.1", number),
            Address("10.0.0.1", 1_000 + number),
        )
        for number in range(count)
    ]


def plan(members, own):
    return plan_links(own, [one for one in members if one != own])


def test_a_small_deployment_is_one_cell():
    members = make_members(MAX_DIRECT_INSTANCES)
    links = plan(members, members[0])
    assert links.neighbours == set(members[1:])
    assert not links.cells


@pytest.mark.parametrize("count", [17, 30, 78, 195, 300])
def test_each_instance_is_in_one_cell(count):
    members = make_members(count)
    for own in members[:40]:
        links = plan(members, own)
        heard = list(links.cell_ids)
        for cell in links.cells.values():
            heard.extend(one.instance_id for one in cell)
        assert sorted(heard) == sorted(one.instance_id for one in members)


@pytest.mark.parametrize("count", [30, 78, 300])
def test_instances_of_a_cell_agree_on_who_collects(count):
    members = make_members(count)
    plans = {one: plan(members, one) for one in members}
    ranks: dict[tuple[str, int], int] = {}
    for own, links in plans.items():
        assert own.instance_id in links.cell_ids
        key = str(links.own_cell), len(links.superiors)
        ranks[key] = ranks.get(key, 0) + 1
        for superior in links.superiors:
            assert superior.zone == own.zone
            assert plans[superior].cell_ids == links.cell_ids
            assert own not in plans[superior].superiors
        for cell, others in links.cells.items():
            assert not plans[others[0]].superiors
            assert plans[others[0]].own_cell == cell
    assert set(ranks.values()) == {1}


def links_of(links):
    """Return the links that an instance has if it collects, and if not."""
    return len(links.cell_ids) + 2 * len(links.cells), 1


def test_links_grow_slower_than_the_deployment():
    """Pattern: the load of reports as a deployment grows."""
    most = {}
    for count in (30, 300):
        members = make_members(count)
        most[count] = max(links_of(plan(members, one))[0] for one in members)
    assert most[300] < 5 * most[30]


def test_one_instance_less_moves_few_others():
    members = make_members(78)
    before, after = plan(members, members[0]), plan(members[:-1], members[0])
    moved = before.cell_ids ^ after.cell_ids
    assert len(moved - {members[-1].instance_id}) <= 2
