"""Tests of purchase planning."""

from collections import Counter

from attrs import evolve
from hypothesis import given, strategies as st

from waxwingwinch._types import ModelName, PriceClass, UpstreamId, ZoneName
from waxwingwinch.configuration import Defaults
from waxwingwinch.decisions import (
    BuyingState,
    CapacityRefusal,
    ModelNeed,
    OwnedEngine,
    Purchase,
    Return,
    plan_purchases,
)

M = ModelName("m")
ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
CHEAP, ON_DEMAND = PriceClass.CHEAP, PriceClass.ON_DEMAND
DEFAULTS = Defaults()
NOW_SECONDS = 1_000.0


def engine(name, zone, price_class):
    return OwnedEngine(UpstreamId(name), ZoneName(zone), price_class, M)


def plan(engines, work, defaults=DEFAULTS, surplus_since=None, **fields):
    needs = (ModelNeed(M, work, surplus_since),)
    state = BuyingState(ZONES, tuple(engines), needs, **fields)
    return plan_purchases(state, defaults, NOW_SECONDS)


def with_purchases(engines, purchases):
    added = [
        OwnedEngine(UpstreamId(f"n{n}"), p.zone, p.price_class, M)
        for n, p in enumerate(purchases)
    ]
    return [*engines, *added]


@given(st.floats(0, 9))
def test_the_remaining_engines_suffice_after_loss_of_a_zones_cheap_ones(work):
    whole = with_purchases([], plan([], work))
    cheap = Counter(e.zone for e in whole if e.price_class is CHEAP)
    survivors = len(whole) - max(cheap.values(), default=0)
    assert survivors >= max(work, DEFAULTS.min_engines_per_model)
    assert sum(cheap.values()) <= DEFAULTS.cheap_ratio_max * len(whole)
    assert plan(whole, work) == ()


def test_buys_cheap_engines_up_to_the_allowed_ratio():
    bought = plan([], 6.0)
    assert any(p.price_class is CHEAP for p in bought)
    defaults = evolve(DEFAULTS, cheap_ratio_max=0.0)
    assert all(p.price_class is ON_DEMAND for p in plan([], 6.0, defaults))


def test_no_engine_is_ordered_in_a_zone_that_refused():
    refusals = tuple(CapacityRefusal(zone, CHEAP, NOW_SECONDS + 1.0) for zone in ZONES)
    bought = plan([], 6.0, refusals=refusals)
    assert bought
    assert all(isinstance(p, Purchase) for p in bought)
    assert all(p.price_class is ON_DEMAND for p in bought)


def test_engine_bounds_are_respected():
    assert len(plan([], 0.0)) >= DEFAULTS.min_engines_per_model
    defaults = evolve(DEFAULTS, max_engines_per_model=3)
    assert len(plan([], 50.0, defaults)) <= 3


def test_buys_up_to_the_maximum_if_no_addition_suffices():
    defaults = evolve(DEFAULTS, max_engines_per_model=6)
    engines = [engine(f"e{n}", "a", CHEAP) for n in range(4)]
    assert len(plan(engines, 50.0, defaults)) == 2


def test_surplus_is_returned_only_after_it_lasted():
    engines = [engine(f"e{n}", "abc"[n % 3], ON_DEMAND) for n in range(5)]
    assert plan(engines, 1.0, surplus_since=None) == ()
    assert plan(engines, 1.0, surplus_since=NOW_SECONDS - 10.0) == ()
    [returned] = plan(engines, 1.0, surplus_since=NOW_SECONDS - 500.0)
    assert isinstance(returned, Return)
    busy = frozenset({M})
    assert plan(engines, 1.0, surplus_since=0.0, busy_models=busy) == ()
