"""The work of the duty's holder, and the conditions that end it."""

import pytest

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import Address, CustomerId, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._duty_lease import DutyLease
from waxwingwinch.gateway._duty_worker import DutyWorker, StaleFencingToken
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._model import (
    EngineTraits,
    GatewayConfiguration,
    ScalingRules,
    ServiceRules,
)
from waxwingwinch.gateway._silence import MAX_DIRECT_INSTANCES, RELAYED_SILENCE_SECONDS
from waxwingwinch.gateway._upstreams import UpstreamDirectory
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeDutyCalls, FakeStore
from waxwingwinch.gateway.tests.relay_harness import upstream

ALICE = CustomerId("alice")
NORTH = ZoneName("north")
NOWHERE = Address("127.0.0.1", 1)
LLM = ServiceRules("llm", EngineTraits(64, 1_000, 3.0), ScalingRules(1, 6, 4.0, 0.18))


def make_member(name):
    return Member(InstanceId(name), name, NORTH, NOWHERE, NOWHERE)


class DutyWorkerHarness:
    def __init__(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.calls = FakeDutyCalls()
        self.directory = UpstreamDirectory()
        self.usage = UsageTable()
        self.table = CurrentTable()
        self.table.publish(GatewayConfiguration(1, (), {"llm": LLM}))
        self.duty_worker = self.make("own")

    def make(self, name, others=0):
        members = MemberDirectory(make_member(name))
        for number in range(others):
            members.put(make_member(f"other-{number}"))
        own = members.local_member
        return DutyWorker(
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

    def run_for(self, seconds, duty_worker=None):
        for _ in range(round(seconds / 0.25)):
            (duty_worker or self.duty_worker).run_once()
            self.clock.seconds += 0.25

    def windows(self):
        return [window for window, _, _ in self.calls.usage]


@pytest.fixture
def harness():
    return DutyWorkerHarness()


def current_window(harness):
    return int(harness.clock.wall_seconds() // 5.0)


def test_each_window_is_reported_once_with_its_counts(harness):
    window = current_window(harness)
    harness.usage.merge("a", {window: {ALICE: 3}})
    harness.usage.merge("b", {window: {ALICE: 4}})
    harness.run_for(20.0)
    reports = [
        counts for reported, counts, _ in harness.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 7}]
    assert len(harness.windows()) == len(set(harness.windows())) >= 3


def test_relayed_usage_arrives_before_counts_are_fixed(harness):
    """Pattern: many instances, most of whose reports are relayed by others."""
    duty_worker = harness.make("many", others=MAX_DIRECT_INSTANCES)
    window = current_window(harness)
    harness.usage.merge("a", {window: {ALICE: 3}})
    remaining_seconds = (window + 1) * 5.0 - harness.clock.wall_seconds()
    harness.run_for(remaining_seconds + RELAYED_SILENCE_SECONDS - 0.5, duty_worker)
    harness.usage.merge("far", {window: {ALICE: 4}})
    harness.run_for(4.0, duty_worker)
    reports = [
        counts for reported, counts, _ in harness.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 7}]


def test_an_unanswered_report_is_retried_with_the_same_counts(harness):
    window = current_window(harness)
    harness.usage.merge("a", {window: {ALICE: 3}})
    harness.calls.usage_error = PlatformUnavailable("no answer", True)
    harness.run_for(8.0)
    # Usage that is received after the counts were made final has no effect.
    harness.usage.merge("late", {window: {ALICE: 9}})
    harness.calls.usage_error = None
    harness.run_for(2.0)
    reports = [
        counts for reported, counts, _ in harness.calls.usage if reported == window
    ]
    assert reports == [{ALICE: 3}]


def test_the_next_holder_reports_the_fixed_counts(harness):
    window = current_window(harness)
    harness.usage.merge("a", {window: {ALICE: 3}})
    harness.calls.usage_error = PlatformUnavailable("no answer", True)
    harness.run_for(7.0)
    successor = harness.make("successor")
    harness.usage.merge("late", {window: {ALICE: 9}})
    harness.calls.usage_error = None
    harness.run_for(5.0, successor)
    (report,) = [sent for sent in harness.calls.usage if sent[0] == window]
    assert report[1] == {ALICE: 3}
    assert report[2] > 0


def test_a_higher_fencing_token_ends_the_duty(harness):
    harness.run_for(1.0)
    assert harness.duty_worker.held_epoch() is not None
    harness.calls.usage_error = StaleFencingToken("a higher fencing token was seen")
    harness.usage.merge("a", {current_window(harness): {ALICE: 1}})
    harness.run_for(8.0)
    assert harness.calls.usage == []


def test_orders_are_repeated_until_upstreams_are_ready(harness):
    for number in range(3):
        harness.directory.put(upstream(f"l{number}", "llm", EngineRole.DECODE))
    harness.run_for(30.0)
    spot = [order.count for order, _ in harness.calls.orders if order.is_spot]
    assert 3 <= len(spot) <= 6
    assert set(spot) == {5}


def test_refused_spot_orders_are_replaced_by_on_demand_orders(harness):
    harness.usage.merge("a", {current_window(harness): {ALICE: 1}})
    harness.directory.put(upstream("l0", "llm", EngineRole.DECODE))
    harness.calls.spot_error = PlatformRefused("no spot capacity")
    harness.run_for(10.0)
    assert {order.count for order, _ in harness.calls.orders} == {5}
    assert not any(order.is_spot for order, _ in harness.calls.orders)


def test_an_engine_is_ordered_to_change_its_role_once(harness):
    for number in range(4):
        harness.directory.put(upstream(f"d{number}", "llm", EngineRole.DECODE))
    harness.run_for(10.0)
    changed = [name for name, _, _ in harness.calls.role_changes]
    assert len(changed) == len(set(changed)) == 2
    assert all(epoch == 0 for _, _, epoch in harness.calls.role_changes)


# Guards against orders to an engine that leaves or wants no call for a time.
def test_engines_that_leave_or_are_away_are_not_ordered(harness):
    for number in range(6):
        engine = upstream(f"d{number}", "llm", EngineRole.DECODE)
        harness.directory.put(engine)
        if number < 2:
            harness.directory.record_leaving(engine.upstream_id, 1, is_local=True)
        else:
            harness.directory.record_away(
                engine.upstream_id, 1, harness.clock.seconds + 5.0
            )
    harness.run_for(5.0)
    assert harness.calls.role_changes == []
    harness.run_for(5.0)
    changed = [str(name) for name, _, _ in harness.calls.role_changes]
    assert changed and not {"d0", "d1"} & set(changed)


def test_nothing_is_ordered_without_the_duty(harness):
    other = DutyLease(harness.store, InstanceId("other"), 3.0, harness.clock)
    other.read(0.0)
    assert other.try_claim()
    harness.directory.put(upstream("l0", "llm", EngineRole.DECODE))
    for _ in range(20):
        other.renew()
        harness.run_for(0.5)
    assert harness.calls.orders == [] and harness.calls.role_changes == []
