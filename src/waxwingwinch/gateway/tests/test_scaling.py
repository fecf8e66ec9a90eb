"""Which upstreams are ordered under the patterns that the users named."""

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._model import ScalingRules
from waxwingwinch.gateway._scaling import (
    SPOT_RESERVED_UPSTREAMS,
    ZoneFleet,
    wanted_counts,
    wanted_stage_change,
)
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream

ZONE = ZoneName("north")
RULES = ScalingRules(1, 6, 4.0, 0.18)


def counts(on_demand, spot, is_spot_unavailable=False, rules=RULES, is_idle=False):
    wanted = wanted_counts(
        "llm", rules, ZoneFleet(ZONE, on_demand, spot), is_spot_unavailable, is_idle
    )
    return {wanted_count.is_spot: wanted_count.count for wanted_count in wanted}


def test_reclaimable_ones_fill_the_room_beside_the_present_ones():
    """Pattern: the day begins with lasting upstreams only."""
    assert counts(on_demand=3, spot=0) == {True: 3, False: 3}


def test_lasting_ones_are_given_back_before_anything_is_asked_for():
    assert counts(on_demand=3, spot=0, is_idle=True) == {True: 5, False: 1}


def test_lasting_ones_are_given_back_once_the_others_serve():
    assert counts(on_demand=3, spot=3) == {True: 3, False: 1}
    assert counts(on_demand=1, spot=3) == {True: 5, False: 1}
    assert counts(on_demand=1, spot=5) == {True: 5, False: 1}


def test_lasting_ones_fill_in_while_no_others_are_to_be_had():
    """Pattern: a zone's reclaimable upstreams are taken back and stay away."""
    assert counts(on_demand=1, spot=0, is_spot_unavailable=True) == {
        True: SPOT_RESERVED_UPSTREAMS,
        False: 5,
    }
    assert counts(on_demand=5, spot=0, is_spot_unavailable=True) == {
        True: SPOT_RESERVED_UPSTREAMS,
        False: 5,
    }


def test_reclaimable_ones_replace_them_step_by_step():
    assert counts(on_demand=4, spot=0) == {True: 2, False: 4}
    assert counts(on_demand=4, spot=2) == {True: 2, False: 1}


def test_services_without_reclaimable_upstreams_are_left_alone():
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


def test_stages_follow_the_wanted_shares():
    """Pattern: new engines come in any stage."""
    assert role_of(wanted_stage_change(engines(2, 10))) is EngineRole.PREFILL
    assert role_of(wanted_stage_change(engines(11, 1))) is EngineRole.DECODE
    assert wanted_stage_change(engines(7, 4)) is None


def test_stages_are_left_alone_when_little_is_amiss():
    """Pattern: a zone's engines are taken back in the middle of a rush."""
    assert wanted_stage_change(engines(6, 5)) is None
    assert wanted_stage_change(engines(6, 5), is_idle=True) is not None


def test_the_last_engine_of_a_stage_stays():
    assert wanted_stage_change(engines(0, 1)) is None
    assert wanted_stage_change(engines(1, 0)) is None
    assert wanted_stage_change([]) is None


def test_lasting_engines_generate():
    """Pattern: all reclaimable engines of two zones are taken back at once."""
    fleet = [
        engine("l0", EngineRole.PREFILL, is_spot=False),
        engine("l1", EngineRole.DECODE, is_spot=False),
        *engines(4, 4),
    ]
    change = wanted_stage_change(fleet, is_idle=True)
    assert change is not None
    assert (change.upstream_id, change.role) == ("l0", EngineRole.DECODE)


def test_reclaimable_engines_read():
    fleet = [
        engine("l0", EngineRole.DECODE, is_spot=False),
        engine("l1", EngineRole.DECODE, is_spot=False),
        *engines(1, 4),
    ]
    change = wanted_stage_change(fleet)
    assert change is not None
    assert change.upstream_id.startswith("d")
    assert change.role is EngineRole.PREFILL


def test_the_zone_with_most_of_a_stage_gives_one():
    fleet = engines(0, 3) + [engine("south", EngineRole.DECODE, "south")]
    change = wanted_stage_change(fleet)
    assert change is not None and change.upstream_id != "south"
