"""Tests of the division of the instances into cells."""

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
    return plan_links(own, [member for member in members if member != own])


def test_a_small_deployment_has_no_cells():
    members = make_members(MAX_DIRECT_INSTANCES)
    links = plan(members, members[0])
    assert links.neighbours == set(members[1:])
    assert not links.other_cells


@pytest.mark.parametrize("count", [17, 30, 78, 195, 300])
def test_each_instance_is_in_one_cell(count):
    members = make_members(count)
    for own in members[:40]:
        links = plan(members, own)
        planned = list(links.cell_member_ids)
        for cell in links.other_cells.values():
            planned.extend(member.instance_id for member in cell)
        assert sorted(planned) == sorted(member.instance_id for member in members)


@pytest.mark.parametrize("count", [30, 78, 300])
def test_instances_of_a_cell_agree_on_the_collector(count):
    members = make_members(count)
    plans = {member: plan(members, member) for member in members}
    ranks: dict[tuple[str, int], int] = {}
    for own, links in plans.items():
        assert own.instance_id in links.cell_member_ids
        key = str(links.own_cell), len(links.preferred_collectors)
        ranks[key] = ranks.get(key, 0) + 1
        for preferred in links.preferred_collectors:
            assert preferred.zone == own.zone
            assert plans[preferred].cell_member_ids == links.cell_member_ids
            assert own not in plans[preferred].preferred_collectors
        for cell, others in links.other_cells.items():
            assert not plans[others[0]].preferred_collectors
            assert plans[others[0]].own_cell == cell
    assert set(ranks.values()) == {1}


def links_of(links):
    """Return the numbers of links of a collector and of another instance."""
    return len(links.cell_member_ids) + 2 * len(links.other_cells), 1


def test_links_grow_slower_than_the_deployment():
    """Guards against a load of reports in proportion to the deployment."""
    most = {}
    for count in (30, 300):
        members = make_members(count)
        most[count] = max(links_of(plan(members, member))[0] for member in members)
    assert most[300] < 5 * most[30]


def test_removal_of_an_instance_moves_few_others():
    members = make_members(78)
    before, after = plan(members, members[0]), plan(members[:-1], members[0])
    moved = before.cell_member_ids ^ after.cell_member_ids
    assert len(moved - {members[-1].instance_id}) <= 2
