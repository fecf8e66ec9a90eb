"""Scaling decisions under the load patterns described by the users."""

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._scaling import (
    SPOT_RESERVED_UPSTREAMS,
    ZoneCounts,
    wanted_counts,
    wanted_role_change,
)
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

ZONE = ZoneName("north")
RULES = ScalingRules(1, 6, 4.0, 0.18)


def counts(on_demand, spot, is_spot_unavailable=False, rules=RULES, is_unused=False):
    wanted = wanted_counts(
        "llm", rules, ZoneCounts(ZONE, on_demand, spot), is_spot_unavailable, is_unused
    )
    return {wanted_count.is_spot: wanted_count.count for wanted_count in wanted}


def test_spot_upstreams_are_ordered_up_to_the_maximum():
    """Pattern: the day begins with on-demand upstreams only."""
    assert counts(on_demand=3, spot=0) == {True: 3, False: 3}


def test_on_demand_upstreams_are_released_before_the_first_request():
    assert counts(on_demand=3, spot=0, is_unused=True) == {True: 5, False: 1}


def test_on_demand_upstreams_are_released_once_spot_upstreams_are_ready():
    assert counts(on_demand=3, spot=3) == {True: 3, False: 1}
    assert counts(on_demand=1, spot=3) == {True: 5, False: 1}
    assert counts(on_demand=1, spot=5) == {True: 5, False: 1}


def test_on_demand_upstreams_replace_unavailable_spot_upstreams():
    """Pattern: a zone's spot upstreams are reclaimed and not replaced."""
    assert counts(on_demand=1, spot=0, is_spot_unavailable=True) == {
        True: SPOT_RESERVED_UPSTREAMS,
        False: 5,
    }
    assert counts(on_demand=5, spot=0, is_spot_unavailable=True) == {
        True: SPOT_RESERVED_UPSTREAMS,
        False: 5,
    }


def test_spot_upstreams_replace_on_demand_upstreams_stepwise():
    assert counts(on_demand=4, spot=0) == {True: 2, False: 4}
    assert counts(on_demand=4, spot=2) == {True: 2, False: 1}


def test_services_without_spot_upstreams_are_not_scaled():
    assert counts(on_demand=3, spot=0, rules=ScalingRules(1, 6, 4.0)) == {}


def role_of(change):
    return None if change is None else change.role


def engine(name, role, zone="north", is_spot=True):
    return Upstream(
        UpstreamId(name),
        1,
        "llm",
        Address("10.0.0.1", 80),
        ZoneName(zone),
        RegisteredState.READY,
        64,
        role=role,
        is_spot=is_spot,
    )


def engines(prefill, decode):
    return [engine(f"p{n}", EngineRole.PREFILL) for n in range(prefill)] + [
        engine(f"d{n}", EngineRole.DECODE) for n in range(decode)
    ]


def test_roles_follow_the_wanted_fractions():
    """Pattern: new engines start in either role."""
    assert role_of(wanted_role_change(engines(2, 10))) is EngineRole.PREFILL
    assert role_of(wanted_role_change(engines(11, 1))) is EngineRole.DECODE
    assert wanted_role_change(engines(7, 4)) is None


def test_roles_within_the_tolerance_are_not_changed():
    """Pattern: a zone's engines are reclaimed during a load peak."""
    assert wanted_role_change(engines(6, 5)) is None
    assert wanted_role_change(engines(6, 5), is_unused=True) is not None


def test_the_last_engine_of_a_role_is_not_changed():
    assert wanted_role_change(engines(0, 1)) is None
    assert wanted_role_change(engines(1, 0)) is None
    assert wanted_role_change([]) is None


def test_on_demand_engines_move_to_decode():
    """Pattern: all spot engines of two zones are reclaimed at once."""
    ready_engines = [
        engine("l0", EngineRole.PREFILL, is_spot=False),
        engine("l1", EngineRole.DECODE, is_spot=False),
        *engines(4, 4),
    ]
    change = wanted_role_change(ready_engines, is_unused=True)
    assert change is not None
    assert (change.upstream_id, change.role) == ("l0", EngineRole.DECODE)


def test_spot_engines_move_to_prefill():
    ready_engines = [
        engine("l0", EngineRole.DECODE, is_spot=False),
        engine("l1", EngineRole.DECODE, is_spot=False),
        *engines(1, 4),
    ]
    change = wanted_role_change(ready_engines)
    assert change is not None
    assert change.upstream_id.startswith("d")
    assert change.role is EngineRole.PREFILL


def test_the_zone_with_the_largest_surplus_gives_up_an_engine():
    ready_engines = engines(0, 3) + [engine("south", EngineRole.DECODE, "south")]
    change = wanted_role_change(ready_engines)
    assert change is not None and change.upstream_id != "south"
