"""The work of the duty's holder, and when it stops."""

import pytest

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import Address, CustomerId, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._duty_lease import DutyLease
from waxwingwinch.gateway._duty_runner import DutyRunner, StaleFencingToken
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._model import (
    EngineTraits,
    GatewayConfiguration,
    ScalingRules,
    ServiceRules,
)
from waxwingwinch.gateway._silence import DIRECT_MAX, RELAYED_SILENT_SECONDS
from waxwingwinch.gateway._tables import CurrentTable
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeDutyCalls, FakeStore
from waxwingwinch.gateway.tests.relay_world import upstream

ALICE = CustomerId("alice")
NORTH = ZoneName("north")
NOWHERE = Address("127.0.0.1", 1)
LLM = ServiceRules("llm", EngineTraits(64, 1_000, 3.0), ScalingRules(1, 6, 4.0, 0.18))


def make_member(name):
    return Member(InstanceId(name), name, NORTH, NOWHERE, NOWHERE)


class World:
    def __init__(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.calls = FakeDutyCalls()
        self.directory = UpstreamDirectory()
        self.usage = UsageTable()
        self.table = CurrentTable()
        self.table.publish(GatewayConfiguration(1, (), {"llm": LLM}))
        self.duty_runner = self.make("own")

    def make(self, name, others=0):
        members = MemberDirectory(make_member(name))
        for number in range(others):
            members.put(make_member(f"other-{number}"))
        own = members.own
        return DutyRunner(
            DutyLease(self.store, own.instance_id, 3.0, self.clock),
            self.calls,
            self.table,
            self.directory,
            members,
            self.usage,
            [NORTH],
            5.0,
            self.clock,
        )

    def run_for(self, seconds, duty_runner=None):
        for _ in range(round(seconds / 0.25)):
            (duty_runner or self.duty_runner).run_once()
            self.clock.seconds += 0.25

    def windows(self):
        return [window for window, _, _ in self.calls.usage]


@pytest.fixture
def world():
    return World()


def current_window(world):
    return int(world.clock.wall_seconds() // 5.0)


def test_each_window_is_reported_once_with_its_figures(world):
    window = current_window(world)
    world.usage.merge("a", {window: {ALICE: 3}})
    world.usage.merge("b", {window: {ALICE: 4}})
    world.run_for(20.0)
    reports = [
        counts for reported, counts, _ in world.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 7}]
    assert len(world.windows()) == len(set(world.windows())) >= 3


def test_usage_that_is_heard_through_others_is_waited_for(world):
    """Pattern: many instances, of which most are heard through others."""
    duty_runner = world.make("many", others=DIRECT_MAX)
    window = current_window(world)
    world.usage.merge("a", {window: {ALICE: 3}})
    left_seconds = (window + 1) * 5.0 - world.clock.wall_seconds()
    world.run_for(left_seconds + RELAYED_SILENT_SECONDS - 0.5, duty_runner)
    world.usage.merge("far", {window: {ALICE: 4}})
    world.run_for(4.0, duty_runner)
    reports = [
        counts for reported, counts, _ in world.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 7}]


def test_an_unanswered_report_is_repeated_with_the_same_figures(world):
    window = current_window(world)
    world.usage.merge("a", {window: {ALICE: 3}})
    world.calls.usage_error = PlatformUnavailable("no answer", True)
    world.run_for(8.0)
    # What is heard after the figures were fixed changes nothing.
    world.usage.merge("late", {window: {ALICE: 9}})
    world.calls.usage_error = None
    world.run_for(2.0)
    reports = [
        counts for reported, counts, _ in world.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 3}]


def test_a_successor_reports_what_was_fixed(world):
    window = current_window(world)
    world.usage.merge("a", {window: {ALICE: 3}})
    world.calls.usage_error = PlatformUnavailable("no answer", True)
    world.run_for(7.0)
    successor = world.make("successor")
    world.usage.merge("late", {window: {ALICE: 9}})
    world.calls.usage_error = None
    world.run_for(5.0, successor)
    (report,) = [one for one in world.calls.usage if one[0] == window]
    assert report[1] == {ALICE: 3}
    assert report[2] > 0


def test_a_higher_fence_elsewhere_ends_the_duty(world):
    world.run_for(1.0)
    assert world.duty_runner.held_epoch() is not None
    world.calls.usage_error = StaleFencingToken("a higher one was seen")
    world.usage.merge("a", {current_window(world): {ALICE: 1}})
    world.run_for(8.0)
    assert world.calls.usage == []


def test_upstreams_are_ordered_again_until_they_serve(world):
    for number in range(3):
        world.directory.put(upstream(f"l{number}", "llm", EngineRole.DECODE))
    world.run_for(30.0)
    spot = [one.count for one, _ in world.calls.orders if one.is_spot]
    assert 3 <= len(spot) <= 6
    assert set(spot) == {5}


def test_refused_orders_are_filled_by_others(world):
    world.usage.merge("a", {current_window(world): {ALICE: 1}})
    world.directory.put(upstream("l0", "llm", EngineRole.DECODE))
    world.calls.spot_error = PlatformRefused("none to be had")
    world.run_for(10.0)
    assert {one.count for one, _ in world.calls.orders} == {5}
    assert not any(one.is_spot for one, _ in world.calls.orders)


def test_an_engine_is_ordered_to_change_its_stage_once(world):
    for number in range(4):
        world.directory.put(upstream(f"d{number}", "llm", EngineRole.DECODE))
    world.run_for(10.0)
    changed = [name for name, _, _ in world.calls.stages]
    assert len(changed) == len(set(changed)) == 2
    assert all(epoch == 0 for _, _, epoch in world.calls.stages)


def test_nothing_is_ordered_without_the_duty(world):
    other = DutyLease(world.store, InstanceId("other"), 3.0, world.clock)
    other.read(0.0)
    assert other.try_claim()
    world.directory.put(upstream("l0", "llm", EngineRole.DECODE))
    for _ in range(20):
        other.renew()
        world.run_for(0.5)
    assert world.calls.orders == [] and world.calls.stages == []
