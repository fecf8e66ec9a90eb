"""Tests of role planning."""

from attrs import evolve
from hypothesis import given, strategies as st

from waxwingwinch._types import EngineRole, ModelName, UpstreamId, ZoneName
from waxwingwinch.configuration import Defaults
from waxwingwinch.decisions import (
    RoleEngine,
    RoleState,
    WorkForecast,
    plan_roles,
    servable_ratio,
)

M = ModelName("m")
PREFILL, DECODE, MIXED = EngineRole.PREFILL, EngineRole.DECODE, EngineRole.MIXED
DEFAULTS = Defaults()


def fleet(*roles):
    return tuple(
        RoleEngine(
            UpstreamId(f"e{n}"), ZoneName(f"z{n % 3}"), M, role, 10_000.0, 1_000.0
        )
        for n, role in enumerate(roles)
    )


def plan(engines, prompts, output, now_seconds=1_000.0, **fields):
    state = RoleState(engines, (WorkForecast(M, prompts, output),), **fields)
    return plan_roles(state, DEFAULTS, now_seconds)


def test_enough_mixed_engines_change_nothing():
    assert plan(fleet(MIXED, MIXED, MIXED), 8_000, 500) == ()


def test_shift_to_long_prompts_changes_a_decode_engine():
    engines = fleet(PREFILL, DECODE, DECODE, DECODE, DECODE)
    [change] = plan(engines, 30_000, 800)
    assert change.from_role is DECODE
    assert change.to_role in (PREFILL, MIXED)
    assert change.gain_ratio > 0


def test_change_must_gain_more_than_its_downtime_costs():
    engines = fleet(PREFILL, DECODE, DECODE, DECODE, DECODE)
    work = WorkForecast(M, 30_000, 800)
    [change] = plan(engines, 30_000, 800, change_seconds=1.0)
    after = [
        evolve(e, role=change.to_role) if e.upstream_id == change.upstream_id else e
        for e in engines
    ]
    won = servable_ratio(after, work) - servable_ratio(engines, work)
    assert won > 0
    assert plan(engines, 30_000, 800, change_seconds=29.0) == ()


def test_one_change_per_model_at_a_time_and_hold_time():
    engines = fleet(PREFILL, DECODE, DECODE, DECODE, DECODE)
    assert plan(engines, 30_000, 800)
    assert plan(engines, 30_000, 800, changing_models=frozenset({M})) == ()
    held = tuple(evolve(e, changed_seconds=995.0) for e in engines)
    assert plan(held, 30_000, 800) == ()


def test_small_shifts_are_served_off_role_without_a_change():
    engines = fleet(PREFILL, DECODE, DECODE, DECODE, DECODE)
    assert plan(engines, 14_000, 800) == ()


def test_engines_split_their_time_between_the_phases():
    prompts_only = WorkForecast(M, 9_000, 0)
    assert 0.99 < servable_ratio(fleet(MIXED), prompts_only) < 1.01
    assert 0.55 < servable_ratio(fleet(DECODE), prompts_only) < 0.56
    both = WorkForecast(M, 4_500, 450)
    assert 0.99 < servable_ratio(fleet(MIXED), both) < 1.01
    # All prefill on the prefill engine, all decode on the decode engine.
    assert 0.99 < servable_ratio(fleet(DECODE, PREFILL), WorkForecast(M, 1e4, 1e3))


@given(
    st.lists(st.sampled_from(EngineRole), min_size=1, max_size=6),
    st.floats(0, 100_000),
    st.floats(0, 10_000),
)
def test_no_change_leaves_a_phase_without_an_engine(roles, prompts, output):
    engines = fleet(*roles)
    for change in plan(engines, prompts, output):
        rest = [e.role for e in engines if e.upstream_id != change.upstream_id]
        assert any(role in (PREFILL, MIXED) for role in rest)
        assert any(role in (DECODE, MIXED) for role in rest)
