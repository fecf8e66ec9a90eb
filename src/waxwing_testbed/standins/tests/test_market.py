import threading

import pytest

from waxwing_testbed.standins import CapacitySettings, EngineSettings, MarketSettings
from waxwing_testbed.standins._market import Market
from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import (
    Address,
    EngineRole,
    Epoch,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.interfaces import GiveBack, MarketOrder, OrderUpstream

ZONE = ZoneName("north")
SPARES = (Address("127.0.0.1", 1), Address("127.0.0.1", 2), Address("127.0.0.1", 3))
WAIT_SECONDS = 10.0


class Engines:
    """Stands in for started engines."""

    def __init__(self):
        self.started = threading.Semaphore(0)
        self.withdrawn = threading.Semaphore(0)

    def start(self, settings):
        self.started.release()
        return self

    def withdraw(self):
        self.withdrawn.release()


def make(lead_seconds=0.0, list_lag_seconds=0.0):
    engines = Engines()
    settings = MarketSettings(
        lead_seconds=lead_seconds,
        list_lag_seconds=list_lag_seconds,
        capacity=(
            CapacitySettings(ZONE, PriceClass.CHEAP, 1, 1.0),
            CapacitySettings(ZONE, PriceClass.ON_DEMAND, 1, 3.0),
        ),
        spares=SPARES,
        template=EngineSettings(UpstreamId("t"), SPARES[0], ZONE),
    )
    return Market(settings, engines.start), engines


def order(name="o", price_class=PriceClass.CHEAP):
    action = OrderUpstream(ZONE, price_class, ModelName("m"), EngineRole.MIXED)
    return MarketOrder(name, Epoch(1), action)


def test_a_repeated_order_is_carried_out_once():
    market, engines = make()
    market.place(order(), 0.0)
    market.place(order(), 0.0)
    assert engines.started.acquire(timeout=WAIT_SECONDS)
    assert [row.result for row in market.orders()] == ["done", "repeated"]
    assert len(market.list_upstreams(0.0)) == 1
    assert market.was_placed("o")


def test_a_zone_without_capacity_refuses():
    market, _ = make(lead_seconds=1_000.0)
    market.place(order("a"), 0.0)
    with pytest.raises(PlatformRefused):
        market.place(order("b"), 0.0)
    market.place(order("c", PriceClass.ON_DEMAND), 0.0)
    assert not market.was_placed("b")
    states = {row.state for row in market.list_upstreams(0.0)}
    assert states == {UpstreamState.STARTING}


def test_the_list_lags_behind():
    market, _ = make(lead_seconds=1_000.0, list_lag_seconds=2.0)
    market.place(order(), 0.0)
    assert market.list_upstreams(1.9) == ()
    assert len(market.list_upstreams(2.0)) == 1


def test_a_reclaimed_zone_leaves_with_notice_and_offers_no_more():
    market, _ = make(lead_seconds=1_000.0)
    market.place(order("a"), 0.0)
    market.place(order("b", PriceClass.ON_DEMAND), 0.0)
    assert len(market.reclaim(ZONE, 1_000.0, 10.0)) == 1
    leaving = [
        row for row in market.list_upstreams(15.0) if row.state is UpstreamState.LEAVING
    ]
    assert [row.price_class for row in leaving] == [PriceClass.CHEAP]
    assert leaving[0].leaves_in_seconds == 995.0
    with pytest.raises(PlatformRefused):
        market.place(order("c"), 15.0)


def test_reclaimed_upstreams_stop_after_the_notice():
    market, engines = make()
    market.place(order(), 0.0)
    assert engines.started.acquire(timeout=WAIT_SECONDS)
    market.reclaim(ZONE, 0.0, 0.0)
    assert engines.withdrawn.acquire(timeout=WAIT_SECONDS)
    market.restore(ZONE)
    market.place(order("again"), 0.0)


def test_a_returned_upstream_stops_and_frees_its_place():
    market, engines = make()
    for number in range(4):
        market.place(order(f"o{number}"), 0.0)
        assert engines.started.acquire(timeout=WAIT_SECONDS)
        upstream_id = market.orders()[-1].upstream_id
        market.place(MarketOrder(f"g{number}", Epoch(1), GiveBack(upstream_id)), 0.0)
        assert engines.withdrawn.acquire(timeout=WAIT_SECONDS)


def test_running_time_costs_its_price():
    market, _ = make(lead_seconds=1_000.0)
    market.place(order("a"), 0.0)
    market.place(order("b", PriceClass.ON_DEMAND), 1_800.0)
    assert market.spend(3_600.0) == pytest.approx(1.0 + 1.5)
