"""Tests of the instances offered to callers and sharing a budget."""

from attrs import evolve

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.gateway._members import (
    BUDGET_TIMEOUT_SECONDS,
    READY_TIMEOUT_SECONDS,
    RETURN_SECONDS,
    Member,
    MemberDirectory,
    addresses_for,
)
from waxwingwinch.gateway._silence import MAX_DIRECT_INSTANCES, RELAYED_SILENCE_SECONDS

NORTH, SOUTH = ZoneName("north"), ZoneName("south")


def member(name, zone=NORTH, port=80):
    address = Address("10.0.0.1", port)
    return Member(InstanceId(name), "i", zone, address, address)


def test_callers_are_sent_to_their_own_zone_while_it_has_instances():
    members = [member("a", port=1), member("b", SOUTH, port=2), member("c", port=3)]
    assert addresses_for(NORTH, members) == (
        Address("10.0.0.1", 1),
        Address("10.0.0.1", 3),
    )
    assert addresses_for(SOUTH, members) == (Address("10.0.0.1", 2),)
    assert len(addresses_for(ZoneName("elsewhere"), members)) == 3


def test_silent_and_stopping_instances_are_not_offered():
    directory = MemberDirectory(member("own"))
    for name in ("a", "b", "c"):
        directory.put(member(name))
    directory.record_report(InstanceId("a"), True, 10.0)
    directory.record_report(InstanceId("b"), False, 10.0)
    assert [
        ready_member.instance_id for ready_member in directory.ready_others(10.5)
    ] == ["a"]
    assert directory.ready_others(10.1 + READY_TIMEOUT_SECONDS) == ()


def test_the_readiness_timeout_is_longer_for_reports_of_other_cells():
    """Reports from instances of other cells arrive about once per second."""
    directory = MemberDirectory(member("own"))
    for number in range(MAX_DIRECT_INSTANCES):
        directory.put(member(f"i{number}"))
    directory.put(member("own"))
    directory.record_report(InstanceId("i0"), True, 10.0)
    ready = directory.ready_others(10.1 + READY_TIMEOUT_SECONDS)
    assert [ready_member.instance_id for ready_member in ready] == ["i0"]
    assert directory.ready_others(10.1 + RELAYED_SILENCE_SECONDS) == ()


def test_only_changes_of_the_records_are_signalled():
    directory = MemberDirectory(member("own"))
    directory.put(member("a"))
    changes: list[bool] = []
    directory.on_change = lambda: changes.append(True)
    directory.record_report(InstanceId("a"), True, 10.0)
    directory.put(member("a"))
    directory.retain_only(frozenset({"a"}))
    assert not changes
    directory.put(evolve(member("a"), incarnation="later"))
    directory.remove(InstanceId("a"))
    assert len(changes) == 2


# Guards against callers sent to an instance that has ended: its last reports,
# which a partition or a freeze had held back, arrive at once.
def test_reports_that_were_held_back_do_not_make_an_instance_ready():
    directory = MemberDirectory(member("own"))
    directory.put(member("a"))
    directory.record_report(InstanceId("a"), True, 10.0)
    for number in range(40):
        directory.record_report(InstanceId("a"), True, 20.0 + number * 0.005)
        directory.confirm_unchanged({InstanceId("a"): 20.0 + number * 0.005})
        assert directory.ready_others(20.0 + number * 0.005) == ()
    assert directory.ready_others(20.3) == ()


# Guards against an instance that is offered no more after a silence.
def test_a_recovered_instance_is_offered_again():
    directory = MemberDirectory(member("own"))
    directory.put(member("a"))
    directory.record_report(InstanceId("a"), True, 10.0)
    directory.record_report(InstanceId("a"), True, 20.0)
    assert directory.ready_others(20.1) == ()
    directory.confirm_unchanged({InstanceId("a"): 20.0 + RETURN_SECONDS})
    assert [
        ready_member.instance_id for ready_member in directory.ready_others(20.7)
    ] == ["a"]


def test_budgets_are_shared_by_all_that_may_be_serving():
    directory = MemberDirectory(member("own"))
    assert directory.budget_sharer_count(0.0) == 1
    for name in ("own", "a", "b"):
        directory.put(member(name))
    directory.record_report(InstanceId("gone"), True, 0.0)
    directory.record_report(InstanceId("a"), True, 0.0)
    assert directory.budget_sharer_count(1.0) == 3
    directory.retain_only(frozenset({"own", "a"}))
    assert directory.budget_sharer_count(BUDGET_TIMEOUT_SECONDS + 1.0) == 2


def test_an_incarnation_reported_before_its_record_replaces_the_former():
    """All instances restart while the store is slow."""
    directory = MemberDirectory(member("own"))
    directory.put(member("a"))
    before = directory.peer_incarnations()
    other = directory.others()[0]
    assert not directory.record_incarnation(other.instance_id, other.incarnation)
    assert directory.record_incarnation(other.instance_id, "later")
    assert not directory.record_incarnation(other.instance_id, "later")
    assert "later" in directory.peer_incarnations()
    assert len(directory.peer_incarnations()) == len(before)
    directory.put(evolve(other, incarnation="latest"))
    assert "latest" in directory.peer_incarnations()
    assert "later" not in directory.peer_incarnations()
