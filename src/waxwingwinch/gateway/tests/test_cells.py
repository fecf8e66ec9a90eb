"""Tests of which instances report to one another."""

import pytest

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.gateway._cells import plan_links
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._silence import DIRECT_MAX


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
    members = make_members(DIRECT_MAX)
    links = plan(members, members[0])
    assert links.neighbours == set(members[1:])
    assert not links.cells


@pytest.mark.parametrize("count", [17, 30, 78, 100, 300])
def test_each_instance_hears_of_all_others_once(count):
    members = make_members(count)
    for own in members:
        links = plan(members, own)
        heard = list(links.neighbours)
        for cell in links.cells.values():
            heard.extend(cell)
        assert sorted(heard, key=repr) == sorted(set(members) - {own}, key=repr)


@pytest.mark.parametrize("count", [30, 78, 300])
def test_instances_of_a_cell_agree(count):
    members = make_members(count)
    plans = {one: plan(members, one) for one in members}
    for own, links in plans.items():
        for neighbour in links.neighbours:
            assert neighbour.zone == own.zone
            assert own in plans[neighbour].neighbours
            assert plans[neighbour].cells.keys() == links.cells.keys()


def test_links_grow_slower_than_the_deployment():
    """Pattern: the load of reports as a deployment grows."""
    links = {}
    for count in (30, 300):
        members = make_members(count)
        plans = [plan(members, one) for one in members]
        links[count] = max(len(one.neighbours) + len(one.cells) for one in plans)
    assert links[300] < 5 * links[30]


def test_askers_are_spread_over_a_cell():
    members = make_members(78, zones=4)
    asked = [cell[0] for own in members for cell in plan(members, own).cells.values()]
    busiest = max(asked.count(one) for one in members)
    assert busiest <= 4 * len(asked) / len(members)


def test_one_instance_less_moves_few_others():
    members = make_members(78)
    before, after = plan(members, members[0]), plan(members[:-1], members[0])
    moved = before.neighbours ^ after.neighbours
    assert len(moved - {members[-1]}) <= 2
