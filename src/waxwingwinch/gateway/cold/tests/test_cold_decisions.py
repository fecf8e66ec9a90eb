"""Which upstreams are cold, and what each instance may grant."""

import pytest
from attrs import evolve

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address, EngineRole, InstanceId, UpstreamId, ZoneName
from waxwingwinch.gateway._limit_messages import PermitRequest
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._model import ServiceRules
from waxwingwinch.gateway._placement import (
    EngineOption,
    PlainOption,
    PromptSize,
    RunDirectly,
    place_plain,
    place_prompt,
)
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway.cold import (
    PERMIT_SECONDS,
    ColdBroker,
    ColdKeeper,
    ColdPeriods,
    ColdPolicy,
    NoColdPermit,
)
from waxwingwinch.gateway.tests.limit_fleet import SimulatedClock
from waxwingwinch.gateway.tests.relay_harness import upstream

RULES = ServiceRules("llm", None, None, 3.0, 7.3)
NORTH, SOUTH = ZoneName("north"), ZoneName("south")
ENGINE = upstream("e1", "llm")


def member(number, zone=NORTH):
    address = Address("10.0.1.1", number)
    return Member(InstanceId(f"i{number}"), f"s{number}", zone, address, address)


def ask_nobody(keeper, request, timeout_seconds):
    raise PeerUnavailable("no links")


class OneInstance:
    """An instance, with the records of others if there are any."""

    def __init__(self, others=0, rules=RULES, entry=None):
        self.clock = SimulatedClock()
        self.entry = entry or evolve(ENGINE, cold_until_seconds=2_000.0)
        self.members = MemberDirectory(member(0))
        for number in range(others):
            self.members.put(member(number + 1, SOUTH))
        self.periods = ColdPeriods(lambda _: rules)
        self.keeper = ColdKeeper(
            self.periods, self.members, ColdPolicy(1.5, 5.0), lambda _: self.entry
        )
        self.broker = ColdBroker(self.keeper, self.members, Telemetry(), self.clock)

    def read_members(self):
        self.keeper.record_members(self.clock.seconds)

    def pass_time(self, seconds):
        for _ in range(int(seconds / 0.25)):
            self.clock.seconds += 0.25
            self.keeper.mark_active(self.clock.seconds)

    def grants(self, tries=30):
        now_seconds = self.clock.seconds
        request = PermitRequest(ENGINE.upstream_id, 1, 0.0, 0.0, False, 1.0)
        replies = [self.keeper.decide(request, now_seconds) for _ in range(tries)]
        return sum(reply.is_granted for reply in replies)


# Guards against shares that add up to more than the settings allow.
@pytest.mark.parametrize("rate", [0.1, 0.5, 1.0, 2.5, 7.3, 40.0, 300.0])
@pytest.mark.parametrize(("overshoot", "slack"), [(1.0, 0.0), (1.5, 5.0), (0.0, 3.0)])
def test_all_shares_together_stay_within_the_bound(rate, overshoot, slack):
    budgets = ColdPolicy(overshoot, slack).budgets(rate)
    assert budgets.bound <= rate * overshoot + slack + 1e-6
    assert 0 <= budgets.primary <= budgets.bound
    assert budgets.primary + budgets.reserve_keepers <= budgets.bound
    assert budgets.primary > 0 or budgets.bound == 0


# Guards against an instance that grants before it knows the others.
def test_a_process_grants_nothing_until_it_knows_the_others():
    instance = OneInstance()
    instance.pass_time(10.0)
    assert instance.grants() == 0
    instance.read_members()
    instance.pass_time(4.0)
    assert instance.grants() == 0
    instance.pass_time(2.0)
    assert instance.grants() == 9


# Guards against a whole share at a first keeper that hears from nobody, and
# against a reserved share that outlives the records it came from.
def test_a_keeper_without_contact_grants_its_reserved_share_for_a_while():
    instance = OneInstance(others=3)
    instance.read_members()
    instance.pass_time(6.0)
    assert instance.grants() == 1
    instance.pass_time(60.0)
    assert instance.grants() == 0


# Guards against permits that a suspended process uses when it resumes.
def test_a_permit_expires():
    instance = OneInstance()
    instance.read_members()
    instance.pass_time(6.0)
    assert instance.broker.acquire("r", instance.entry, ask=ask_nobody) is None
    assert (
        instance.broker.take("r", instance.entry, ask=ask_nobody)
        > instance.clock.seconds
    )
    for number in range(8):
        assert (
            instance.broker.acquire(f"r{number}", instance.entry, ask=ask_nobody)
            is None
        )
    instance.clock.seconds += PERMIT_SECONDS + 0.01
    with pytest.raises(NoColdPermit):
        instance.broker.take("r0", instance.entry, ask=ask_nobody)


# Guards against requests to a restarted upstream whose entry is still the old
# one, or doesn't say that it is cold.
def test_what_makes_an_upstream_cold():
    periods = ColdPeriods(lambda _: RULES)
    assert not periods.is_limited(ENGINE, 100.0)
    periods.suspect(ENGINE, 100.0)
    assert periods.is_limited(ENGINE, 102.9) and not periods.is_limited(ENGINE, 103.1)
    restarted = evolve(ENGINE, started_ms=2, is_cold_stated=False)
    assert not periods.is_limited(restarted, 101.0)
    periods.put_entry(restarted, ENGINE, None, 101.0)
    assert periods.is_limited(restarted, 103.9)
    periods.record_statement(restarted, 0.0, 102.0, 102.1)
    assert not periods.is_limited(restarted, 102.2)
    periods.record_statement(restarted, 5.0, 103.0, 103.1)
    assert periods.is_limited(restarted, 108.0)
    (report,) = periods.reports(104.0)
    assert report.started_ms == 2
    assert report.remaining_seconds == pytest.approx(4.1)
    # An upstream that started long before this process isn't cold.
    old = evolve(restarted, started_ms=3)
    periods.put_entry(old, None, 60.0, 105.0)
    assert not periods.is_limited(old, 105.0)


# Guards against requests to upstreams that have restarted while this process
# was suspended, and against doubts for each report that is late.
def test_a_suspended_process_doubts_its_entries_until_they_are_read():
    instance = OneInstance(entry=ENGINE)
    instance.read_members()
    instance.pass_time(6.0)
    for _ in range(4):
        instance.clock.seconds += 0.8
        assert not instance.broker.is_needed(ENGINE)
    instance.clock.seconds += 1.5
    assert instance.broker.is_needed(ENGINE)
    # A reply that was buffered during the suspension says nothing new.
    instance.periods.record_read(instance.clock.seconds + 0.1)
    assert instance.broker.is_needed(ENGINE)
    instance.periods.record_read(instance.clock.seconds + 0.5)
    assert not instance.broker.is_needed(ENGINE)


# Guards against a change for services that name no rate.
def test_without_a_rate_nothing_needs_a_permit():
    instance = OneInstance(rules=ServiceRules("llm"))
    instance.periods.suspect(instance.entry, instance.clock.seconds)
    instance.periods.put_entry(instance.entry, ENGINE, None, instance.clock.seconds)
    assert not instance.broker.is_needed(instance.entry)
    assert instance.periods.until_seconds(instance.entry) == 2_000.0
    assert instance.periods.reports(instance.clock.seconds) == ()


# Guards against cold upstreams that are chosen before comparable ones, and
# against services that end when all are cold.
def test_placement_prefers_upstreams_that_are_not_cold():
    prompt, mixed = PromptSize(2_000, "shared", 2.0), EngineRole.MIXED
    warm = [EngineOption(UpstreamId(f"e{n}"), mixed, NORTH, NO_LOAD) for n in range(4)]
    cold = evolve(warm[0], cached_tokens=2_000, is_cold=True)
    chosen = place_prompt(prompt, [cold, *warm[1:]], NORTH)
    assert isinstance(chosen, RunDirectly) and chosen.upstream_id != "e0"
    alone = place_prompt(prompt, [evolve(cold, cached_tokens=0)], NORTH)
    usual = place_prompt(prompt, warm[:1], NORTH)
    assert alone is not None and usual is not None
    assert alone.expected_seconds > usual.expected_seconds
    plain = [
        PlainOption(UpstreamId("p0"), NORTH, 8, 0, is_cold=True),
        PlainOption(UpstreamId("p1"), SOUTH, 8, 2),
    ]
    assert place_plain(plain, NORTH) == "p1"
    assert place_plain(plain[:1], NORTH) == "p0"
