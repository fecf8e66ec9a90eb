"""Tests of the fleet and buying runners with an in-memory log."""

import pytest
from attrs import evolve

from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import EngineRole, Epoch, UpstreamId, UpstreamState
from waxwingwinch.contracts import DemandSample
from waxwingwinch.control._buying_runner import BuyingRunner
from waxwingwinch.control._engine_orders import EngineOrders
from waxwingwinch.control._fleet_runner import FleetRunner
from waxwingwinch.control._market_orders import MarketOrders
from waxwingwinch.control.tests._fleet_harness import E1, FakeWeightStore, FleetHarness
from waxwingwinch.fleet import Directive, OrderIntent
from waxwingwinch.interfaces import GiveBack, OrderUpstream, SetRole
from waxwingwinch.reasons import MemoryDecisionLog
from waxwingwinch.settings import BuyingPolicyKind, RolePolicyKind

DECODE, MIXED, PREFILL = EngineRole.DECODE, EngineRole.MIXED, EngineRole.PREFILL


@pytest.fixture
def harness():
    created = FleetHarness([PREFILL, DECODE, DECODE, DECODE])
    created.start()
    yield created
    created.stop()


def fleet_runner(harness, epoch, policy=RolePolicyKind.PLANNED):
    journal = harness.journal("fleet-c", Epoch(epoch))
    runner = FleetRunner(
        "fleet-c",
        journal,
        EngineOrders(journal, harness.observer, harness.engines),
        harness.drains(),
        harness.observer,
        harness.entries,
        FakeWeightStore(),
        lambda: harness.configuration,
        MemoryDecisionLog(),
        harness.clock,
        policy,
    )
    runner.begin(Epoch(epoch), harness.clock.now_seconds())
    return runner


def buying_runner(harness, epoch, policy=BuyingPolicyKind.PLANNED):
    journal = harness.journal("buying-c", Epoch(epoch))
    runner = BuyingRunner(
        "fleet-c",
        journal,
        MarketOrders(journal, harness.observer, harness.market),
        harness.drains(),
        harness.observer,
        harness.entries,
        lambda: harness.configuration,
        MemoryDecisionLog(),
        harness.clock,
        policy,
    )
    runner.begin(Epoch(epoch), harness.clock.now_seconds())
    return runner


def drain(harness, role=PREFILL, epoch=1):
    journal = harness.journal("fleet-c", Epoch(epoch))
    assert journal.announce_term()
    state = UpstreamState.DRAINING
    target = UpstreamId("e2")
    assert journal.append_directive(
        Directive("fleet-c", Epoch(epoch), target, state, role)
    )


def run(harness, runner, seconds, in_flight=(), **heartbeat):
    for _ in range(seconds):
        harness.advance(1.0)
        harness.send_heartbeat(in_flight, **heartbeat)
        runner.step(harness.clock.now_seconds())


def test_drained_engine_is_ordered_once_and_returned_to_service(harness):
    drain(harness)
    run(harness, fleet_runner(harness, 2), 12)
    assert [order.action for order in harness.engines.orders] == [SetRole(PREFILL)]
    assert harness.engines.orders[0].epoch == 2
    assert harness.observer.directives_draining() == ()
    assert harness.observer.open_intents() == ()


def test_lagging_report_causes_no_second_order(harness):
    drain(harness)
    runner = fleet_runner(harness, 2)
    run(harness, runner, 5)
    harness.engines.lagging_reports[2] = harness.engines.reports[2]
    run(harness, runner, 12)
    assert len({order.order_id for order in harness.engines.orders}) == 1
    harness.engines.lagging_reports.clear()
    run(harness, runner, 3)
    assert len({order.order_id for order in harness.engines.orders}) == 1
    assert harness.observer.directives_draining() == ()


def test_no_order_while_an_entry_has_work_and_change_is_abandoned(harness):
    drain(harness)
    runner = fleet_runner(harness, 2)
    run(harness, runner, 20, in_flight=[("e2", 1)])
    assert harness.engines.orders == []
    run(harness, runner, 15, in_flight=[("e2", 1)])
    assert harness.engines.orders == []
    assert harness.observer.directives_draining() == ()


def test_no_order_while_an_entry_has_not_seen_the_drain(harness):
    drain(harness)
    run(harness, fleet_runner(harness, 2), 20, fleet_offset=0)
    assert harness.engines.orders == []


def test_next_holder_resends_only_the_open_order(harness):
    drain(harness)
    harness.engines.is_answering = harness.engines.is_executing = False
    first = fleet_runner(harness, 2)
    run(harness, first, 9)
    [sent] = {order.order_id for order in harness.engines.orders}
    harness.engines.is_answering = harness.engines.is_executing = True
    run(harness, fleet_runner(harness, 7), 12)
    assert {order.order_id for order in harness.engines.orders} == {sent}
    assert harness.engines.orders[-1].epoch == 7
    assert harness.observer.open_intents() == ()


def test_lost_answer_is_resolved_by_load_reports(harness):
    drain(harness)
    harness.engines.is_answering = False
    run(harness, fleet_runner(harness, 2), 12)
    assert len(harness.engines.orders) == 1
    assert harness.observer.open_intents() == ()


def test_holder_of_an_older_term_sends_nothing(harness):
    drain(harness)
    old = fleet_runner(harness, 2)
    old.step(harness.clock.now_seconds())
    new = harness.journal("fleet-c", Epoch(9))
    assert new.announce_term()
    intent = OrderIntent.of("fleet-c", Epoch(2), "late", E1, SetRole(DECODE))
    old._orders.submit(intent, harness.clock.now_seconds())
    assert harness.engines.orders == []


def test_lost_market_answer_buys_once(harness):
    harness.market.lose_answers = True
    runner = buying_runner(harness, 3)
    work = DemandSample(harness.market.rows[0].model, 1.0, 100, 60_000, 3_000, 0, 0)
    run(harness, runner, 30, demand=(work,))
    bought = [
        order
        for order in harness.market.placed.values()
        if isinstance(order.action, OrderUpstream)
    ]
    names = [order.order_id for order in harness.market.sent]
    assert bought
    assert len(names) == len(set(names)) == len(bought)
    wanted = harness.configuration.defaults.max_engines_per_model
    assert len(bought) + len(harness.market.rows) <= wanted


def test_next_holder_counts_purchases_that_are_not_listed_yet(harness):
    work = DemandSample(harness.market.rows[0].model, 1.0, 10, 35_000, 300, 0, 0)
    run(harness, buying_runner(harness, 3), 60, demand=(work,))
    bought = len(harness.market.placed)
    assert bought
    run(harness, buying_runner(harness, 8), 30, demand=(work,))
    assert len(harness.market.placed) == bought


def test_refused_purchase_is_closed_and_tried_elsewhere(harness):
    harness.market.refusal = PlatformRefused("no capacity", 600.0)
    runner = buying_runner(harness, 3)
    work = DemandSample(harness.market.rows[0].model, 1.0, 10, 35_000, 300, 0, 0)
    run(harness, runner, 30, demand=(work,))
    assert harness.observer.open_intents() == ()
    tried_markets = {
        (order.action.zone, order.action.price_class) for order in harness.market.sent
    }
    assert len(tried_markets) > 1


def test_engine_is_returned_once_while_the_list_lags(harness):
    journal = harness.journal("buying-c", Epoch(3))
    assert journal.announce_term()
    state = UpstreamState.DRAINING
    assert journal.append_directive(
        Directive("buying-c", Epoch(3), UpstreamId("e2"), state)
    )
    runner = buying_runner(harness, 5)
    run(harness, runner, 15)
    assert [order.action for order in harness.market.sent] == [
        GiveBack(UpstreamId("e2"))
    ]
    assert len(harness.observer.open_intents()) == 1
    harness.market.rows = [
        listed_engine
        for listed_engine in harness.market.rows
        if listed_engine.upstream_id != "e2"
    ]
    run(harness, runner, 3)
    assert harness.observer.open_intents() == ()
    assert harness.observer.directives_draining() == ()


def test_one_refusal_of_a_zone_ends_its_orders_of_that_plan(harness):
    harness.market.refusal = PlatformRefused("no capacity", 600.0)
    harness.configuration = evolve(
        harness.configuration,
        defaults=evolve(
            harness.configuration.defaults,
            min_engines_per_model=len(harness.market.rows) + 12,
            max_engines_per_model=len(harness.market.rows) + 12,
        ),
    )
    run(harness, buying_runner(harness, 3), 30)
    sent_orders = [
        (order.action.zone, order.action.price_class) for order in harness.market.sent
    ]
    assert sent_orders
    assert len(sent_orders) == len(set(sent_orders))


def test_refused_return_puts_the_engine_back_into_service(harness):
    harness.market.refusal = PlatformRefused("not now")
    journal = harness.journal("buying-c", Epoch(3))
    assert journal.announce_term()
    state = UpstreamState.DRAINING
    assert journal.append_directive(
        Directive("buying-c", Epoch(3), UpstreamId("e2"), state)
    )
    run(harness, buying_runner(harness, 5), 15)
    assert len(harness.market.sent) == 1
    assert harness.observer.directives_draining() == ()


def test_model_without_demand_keeps_its_minimum_of_engines(harness):
    min_engines = len(harness.market.rows) + 1
    harness.configuration = evolve(
        harness.configuration,
        defaults=evolve(
            harness.configuration.defaults,
            min_engines_per_model=min_engines,
            survive_zone_loss=False,
        ),
    )
    run(harness, buying_runner(harness, 3), 30)
    assert len(harness.market.placed) == 1


def test_policies_without_planning_complete_changes_in_progress(harness):
    drain(harness)
    work = DemandSample(harness.market.rows[0].model, 1.0, 100, 60_000, 3_000, 0, 0)
    fleet = fleet_runner(harness, 2, RolePolicyKind.STATIC)
    buying = buying_runner(harness, 2, BuyingPolicyKind.FIXED)
    for _ in range(40):
        run(harness, fleet, 1, demand=(work,))
        buying.step(harness.clock.now_seconds())
    assert [order.action for order in harness.engines.orders] == [SetRole(PREFILL)]
    assert harness.observer.directives_draining() == ()
    assert harness.market.sent == []
