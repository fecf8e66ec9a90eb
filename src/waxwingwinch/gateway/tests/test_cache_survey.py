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
    CacheSurvey(state, transport, ZONE, clock).run()
    part = (PromptPart("held-d0", 1_000),)
    assert state.prefixes.cached_tokens(near.upstream_id, part) == 1_000
    (reported,) = state.placements.recent()
    assert (reported.upstream_id, reported.parts()) == ("d0", part)
