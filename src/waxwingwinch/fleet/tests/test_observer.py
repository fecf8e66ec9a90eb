"""Tests of the fleet observer without its threads."""

from attrs import evolve

from waxwing_testbed.fakes import ManualClock, MemoryLog
from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import (
    Address,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.adapters import HttpEngine
from waxwingwinch.fleet import FleetObserver
from waxwingwinch.interfaces import ListedUpstream

ROW = ListedUpstream(
    UpstreamId("p1"),
    UpstreamKind.PLAIN,
    Address("127.0.0.1", 1),
    ZoneName("z1"),
    PriceClass.ON_DEMAND,
    1.0,
    UpstreamState.ACTIVE,
    service="shop",
)


class FakeMarket:
    def __init__(self, *rows):
        self.rows = rows
        self.is_down = False

    def list_upstreams(self):
        if self.is_down:
            raise PlatformUnavailable("down", may_have_taken_effect=False)
        return self.rows


def observer(market, clock):
    return FleetObserver(market, HttpEngine(), MemoryLog(), clock, "c")


def test_keeps_the_last_list_while_the_platform_is_down():
    market = FakeMarket(ROW)
    fleet = observer(market, ManualClock())
    fleet.poll_list()
    market.is_down = True
    fleet.poll_list()
    assert [view.upstream_id for view in fleet.plain("shop")] == ["p1"]


def test_leaving_upstream_is_not_active():
    fleet = observer(
        FakeMarket(evolve(ROW, state=UpstreamState.LEAVING)), ManualClock()
    )
    fleet.poll_list()
    assert fleet.plain("shop")[0].state is UpstreamState.LEAVING
    assert fleet.leaving() == ("p1",)


def test_report_of_a_peer_expires_and_is_not_forwarded():
    clock = ManualClock()
    fleet = observer(FakeMarket(ROW), clock)
    fleet.poll_list()
    fleet.record_leaving(["p1"], clock.now_seconds())
    assert fleet.plain("shop")[0].state is UpstreamState.DRAINING
    assert fleet.leaving() == ()
    clock.advance(10.0)
    fleet.poll_list()
    assert fleet.plain("shop")[0].state is UpstreamState.ACTIVE
