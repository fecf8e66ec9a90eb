"""Tests of the runners over a log in memory."""

import pytest
from attrs import evolve

from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import EngineRole, Epoch, UpstreamId, UpstreamState
from waxwingwinch.contracts import DemandSample
from waxwingwinch.control._buying_runner import BuyingRunner
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._fleet_runner import FleetRunner
from waxwingwinch.control._market_orders import MarketOrders
from waxwingwinch.control.tests._world import E1, FakeWeights, World
from waxwingwinch.fleet import Directive, OrderIntent
from waxwingwinch.interfaces import GiveBack, OrderUpstream, SetRole
from waxwingwinch.reasons import MemoryDecisionLog
from waxwingwinch.settings import BuyingPolicyKind, RolePolicyKind

DECODE, MIXED, PREFILL = EngineRole.DECODE, EngineRole.MIXED, EngineRole.PREFILL


@pytest.fixture
def world():
    made = World([PREFILL, DECODE, DECODE, DECODE])
    made.start()
    yield made
    made.stop()


def fleet_runner(world, epoch, policy=RolePolicyKind.PLANNED):
    journal = world.journal("fleet-c", Epoch(epoch))
    runner = FleetRunner(
        "fleet-c",
        journal,
        EngineOrders(journal, world.observer, world.engines),
        world.drains(),
        world.observer,
        world.entries,
        FakeWeights(),
        lambda: world.configuration,
        MemoryDecisionLog(),
        world.clock,
        policy,
    )
    runner.begin(Epoch(epoch), world.clock.now_seconds())
    return runner


def buying_runner(world, epoch, policy=BuyingPolicyKind.PLANNED):
    journal = world.journal("buying-c", Epoch(epoch))
    runner = BuyingRunner(
        "fleet-c",
        journal,
        MarketOrders(journal, world.observer, world.market),
        world.drains(),
        world.observer,
        world.entries,
        lambda: world.configuration,
        MemoryDecisionLog(),
        world.clock,
        policy,
    )
    runner.begin(Epoch(epoch), world.clock.now_seconds())
    return runner


def drain(world, role=PREFILL, epoch=1):
    journal = world.journal("fleet-c", Epoch(epoch))
    assert journal.ready()
    state = UpstreamState.DRAINING
    target = UpstreamId("e2")
    assert journal.direct(Directive("fleet-c", Epoch(epoch), target, state, role))


def run(world, runner, seconds, in_flight=(), **beat):
    for _ in range(seconds):
        world.advance(1.0)
        world.beat(in_flight, **beat)
        runner.step(world.clock.now_seconds())


def test_drained_engine_is_ordered_once_and_put_back(world):
    drain(world)
    run(world, fleet_runner(world, 2), 12)
    assert [order.action for order in world.engines.orders] == [SetRole(PREFILL)]
    assert world.engines.orders[0].epoch == 2
    assert world.observer.directives_draining() == ()
    assert world.observer.open_intents() == ()


def test_lagging_report_brings_no_second_order(world):
    drain(world)
    runner = fleet_runner(world, 2)
    run(world, runner, 5)
    world.engines.lagging_reports[2] = world.engines.reports[2]
    run(world, runner, 12)
    assert len({order.order_id for order in world.engines.orders}) == 1
    world.engines.lagging_reports.clear()
    run(world, runner, 3)
    assert len({order.order_id for order in world.engines.orders}) == 1
    assert world.observer.directives_draining() == ()


def test_no_order_while_an_entry_has_work_and_the_change_is_given_up(world):
    drain(world)
    runner = fleet_runner(world, 2)
    run(world, runner, 20, in_flight=[("e2", 1)])
    assert world.engines.orders == []
    run(world, runner, 15, in_flight=[("e2", 1)])
    assert world.engines.orders == []
    assert world.observer.directives_draining() == ()


def test_no_order_while_an_entry_has_not_seen_the_drain(world):
    drain(world)
    run(world, fleet_runner(world, 2), 20, fleet_offset=0)
    assert world.engines.orders == []


def test_successor_repeats_the_open_order_and_no_other(world):
    drain(world)
    world.engines.answers = world.engines.obeys = False
    first = fleet_runner(world, 2)
    run(world, first, 9)
    [sent] = {order.order_id for order in world.engines.orders}
    world.engines.answers = world.engines.obeys = True
    run(world, fleet_runner(world, 7), 12)
    assert {order.order_id for order in world.engines.orders} == {sent}
    assert world.engines.orders[-1].epoch == 7
    assert world.observer.open_intents() == ()


def test_lost_answer_is_resolved_by_observing(world):
    drain(world)
    world.engines.answers = False
    run(world, fleet_runner(world, 2), 12)
    assert len(world.engines.orders) == 1
    assert world.observer.open_intents() == ()


def test_holder_of_an_older_term_sends_nothing(world):
    drain(world)
    old = fleet_runner(world, 2)
    old.step(world.clock.now_seconds())
    new = world.journal("fleet-c", Epoch(9))
    assert new.ready()
    intent = OrderIntent.of("fleet-c", Epoch(2), "late", E1, SetRole(DECODE))
    old._orders.begin(intent, world.clock.now_seconds())
    assert world.engines.orders == []


def test_lost_market_answer_buys_once(world):
    world.market.lose_answers = True
    runner = buying_runner(world, 3)
    work = DemandSample(world.market.rows[0].model, 1.0, 100, 60_000, 3_000, 0, 0)
    run(world, runner, 30, demand=(work,))
    bought = [
        order
        for order in world.market.placed.values()
        if isinstance(order.action, OrderUpstream)
    ]
    names = [order.order_id for order in world.market.sent]
    assert bought
    assert len(names) == len(set(names)) == len(bought)
    wanted = world.configuration.defaults.max_engines_per_model
    assert len(bought) + len(world.market.rows) <= wanted


def test_successor_counts_purchases_that_are_not_listed_yet(world):
    work = DemandSample(world.market.rows[0].model, 1.0, 10, 35_000, 300, 0, 0)
    run(world, buying_runner(world, 3), 60, demand=(work,))
    bought = len(world.market.placed)
    assert bought
    run(world, buying_runner(world, 8), 30, demand=(work,))
    assert len(world.market.placed) == bought


def test_refused_purchase_is_closed_and_tried_elsewhere(world):
    world.market.refusal = PlatformRefused("no capacity", 600.0)
    runner = buying_runner(world, 3)
    work = DemandSample(world.market.rows[0].model, 1.0, 10, 35_000, 300, 0, 0)
    run(world, runner, 30, demand=(work,))
    assert world.observer.open_intents() == ()
    tried = {
        (order.action.zone, order.action.price_class) for order in world.market.sent
    }
    assert len(tried) > 1


def test_engine_is_given_back_once_while_the_list_lags(world):
    journal = world.journal("buying-c", Epoch(3))
    assert journal.ready()
    state = UpstreamState.DRAINING
    assert journal.direct(Directive("buying-c", Epoch(3), UpstreamId("e2"), state))
    runner = buying_runner(world, 5)
    run(world, runner, 15)
    assert [order.action for order in world.market.sent] == [GiveBack(UpstreamId("e2"))]
    assert len(world.observer.open_intents()) == 1
    world.market.rows = [row for row in world.market.rows if row.upstream_id != "e2"]
    run(world, runner, 3)
    assert world.observer.open_intents() == ()
    assert world.observer.directives_draining() == ()


def test_one_refusal_of_a_zone_ends_its_orders_of_that_plan(world):
    world.market.refusal = PlatformRefused("no capacity", 600.0)
    world.configuration = evolve(
        world.configuration,
        defaults=evolve(
            world.configuration.defaults,
            min_engines_per_model=len(world.market.rows) + 12,
            max_engines_per_model=len(world.market.rows) + 12,
        ),
    )
    run(world, buying_runner(world, 3), 30)
    asked = [
        (order.action.zone, order.action.price_class) for order in world.market.sent
    ]
    assert asked
    assert len(asked) == len(set(asked))


def test_refused_return_puts_the_engine_back(world):
    world.market.refusal = PlatformRefused("not now")
    journal = world.journal("buying-c", Epoch(3))
    assert journal.ready()
    state = UpstreamState.DRAINING
    assert journal.direct(Directive("buying-c", Epoch(3), UpstreamId("e2"), state))
    run(world, buying_runner(world, 5), 15)
    assert len(world.market.sent) == 1
    assert world.observer.directives_draining() == ()


def test_a_model_without_demand_keeps_its_least_engines(world):
    least = len(world.market.rows) + 1
    world.configuration = evolve(
        world.configuration,
        defaults=evolve(
            world.configuration.defaults,
            min_engines_per_model=least,
            survive_zone_loss=False,
        ),
    )
    run(world, buying_runner(world, 3), 30)
    assert len(world.market.placed) == 1


def test_policies_that_plan_nothing_still_end_what_is_under_way(world):
    drain(world)
    work = DemandSample(world.market.rows[0].model, 1.0, 100, 60_000, 3_000, 0, 0)
    fleet = fleet_runner(world, 2, RolePolicyKind.STATIC)
    buying = buying_runner(world, 2, BuyingPolicyKind.FIXED)
    for _ in range(40):
        run(world, fleet, 1, demand=(work,))
        buying.step(world.clock.now_seconds())
    assert [order.action for order in world.engines.orders] == [SetRole(PREFILL)]
    assert world.observer.directives_draining() == ()
    assert world.market.sent == []
