"""Cached prefixes of engines are read after all instances restarted."""

from attrs import evolve

from waxwingwinch._types import Address, EngineRole, InstanceId, ZoneName
from waxwingwinch.gateway._cache_survey import CacheSurvey
from waxwingwinch.gateway._crash_evidence import CrashEvidence
from waxwingwinch.gateway._limit_keeper import LimitKeeper
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._named_limits import NamedLimits
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._requests import PromptPart
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.relay_harness import (
    LLM,
    SHOP,
    ZONE,
    FakeTransport,
    upstream,
)

NOWHERE = Address("127.0.0.1", 1)


def make_state():
    own = Member(InstanceId("own"), "i", ZONE, NOWHERE, NOWHERE)
    quotas, limits = QuotaTracker("own", 0.0, False, 0.0), NamedLimits()
    state = GatewayState(
        own,
        MemberDirectory(own),
        quotas,
        RetryBudget(0.2, 10.0, 10.0),
        UsageCounts(5.0),
        limits,
        LimitKeeper(limits, quotas.share, 0.0),
        CrashEvidence(own.instance_id),
        MemoryAccount(10**9),
    )
    state.table.publish(GatewayConfiguration(1, (), {"llm": LLM, "shop": SHOP}))
    return state


def test_survey_reads_engines_of_local_zone_and_reports_their_prefixes():
    """Guards against ignoring warm caches after all instances lost power."""
    state, clock = make_state(), FakeClock()
    near = upstream("d0", "llm", EngineRole.DECODE)
    unresponsive = upstream("d1", "llm", EngineRole.DECODE)
    far = evolve(upstream("d2", "llm", EngineRole.DECODE), zone=ZoneName("south"))
    for registered in (near, unresponsive, far, upstream("u1")):
        state.directory.put(registered)
    transport = FakeTransport(clock)
    transport.unresponsive.add("d1")
    # The survey waits for the records of the others.
    state.members.put(Member(InstanceId("peer"), "p", ZONE, NOWHERE, NOWHERE))
    CacheSurvey(state, transport, ZONE, clock).run()
    part = (PromptPart("held-d0", 1_000),)
    assert state.prefixes.cached_tokens(near.upstream_id, part) == 1_000
    (reported,) = state.placements.recent()
    assert (reported.upstream_id, reported.parts()) == ("d0", part)


def make_fleet(instances):
    """Return the surveys of instances in one zone, and their states."""
    clock = FakeClock()
    members = [
        Member(InstanceId(f"i{number}"), f"i{number}", ZONE, NOWHERE, NOWHERE)
        for number in range(instances)
    ]
    states = []
    for own in members:
        state = make_state()
        state.local_member = own
        state.members = MemberDirectory(own)
        for member in members:
            state.members.put(member)
        for number in range(6):
            state.directory.put(upstream(f"d{number}", "llm", EngineRole.DECODE))
        states.append(state)
    transport = FakeTransport(clock)
    return [CacheSurvey(state, transport, ZONE, clock) for state in states], states


# Guards against hundreds of calls that delay engines, and reports of the same
# caches by every instance, when all instances of a fleet restart together.
def test_each_engine_of_a_large_fleet_is_read_by_one_instance():
    surveys, _ = make_fleet(20)
    assigned = [
        engine.upstream_id
        for survey in surveys
        for engine, _ in survey.assigned_engines()
    ]
    assert sorted(assigned) == [f"d{number}" for number in range(6)]


def test_engines_of_which_nothing_was_reported_are_read_later():
    surveys, states = make_fleet(20)
    states[0].prefixes.record_use(upstream("d0").upstream_id, (), 1_000)
    unknown = [engine.upstream_id for engine, _ in surveys[0].unknown_engines()]
    assert unknown == [f"d{number}" for number in range(1, 6)]
    surveys[0].read(surveys[0].unknown_engines())
    assert surveys[0].unknown_engines() == []
