"""The platform's upstreams: listing, ordering, giving back, reclaiming."""

import itertools
import threading
import time
from collections.abc import Callable
from typing import Protocol

from attrs import evolve

from waxwing_testbed.standins._journal import ReceivedMarketOrder
from waxwing_testbed.standins._lagged import Lagged
from waxwing_testbed.standins._market_rows import MarketRow, listed_engine
from waxwing_testbed.standins._offers import Offers
from waxwing_testbed.standins._settings import EngineSettings, MarketSettings
from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import Address, UpstreamId, UpstreamState, ZoneName
from waxwingwinch.interfaces import (
    GiveBack,
    ListedUpstream,
    MarketOrder,
    OrderUpstream,
)


class Withdrawable(Protocol):
    """A stand-in upstream that the market can switch off."""

    def withdraw(self) -> None:
        """Cut all work and stop to listen."""


class Market:
    """
    Runs the upstreams of one platform.

    :param settings: What can be ordered.
    :param start_engine: Starts an ordered engine under the settings given.
    """

    def __init__(
        self,
        settings: MarketSettings,
        start_engine: Callable[[EngineSettings], Withdrawable],
    ) -> None:
        self._settings = settings
        self._start_engine = start_engine
        self._lock = threading.RLock()
        self._rows: dict[UpstreamId, MarketRow] = {}
        self._upstreams: dict[UpstreamId, Withdrawable] = {}
        self._spares = list(settings.spares)
        self._offers = Offers(settings.capacity)
        self._journal: list[ReceivedMarketOrder] = []
        self._placed: set[str] = set()
        self._names = itertools.count(1)
        self._past_spend = 0.0
        empty: tuple[MarketRow, ...] = ()
        self._seen = Lagged(empty, settings.list_lag_seconds)
        for listed in settings.external_upstreams:
            self.add(listed, None, time.monotonic())
        self._seen = Lagged(self._snapshot(), settings.list_lag_seconds)

    def add(
        self,
        listed: ListedUpstream,
        upstream: Withdrawable | None,
        now_seconds: float,
    ) -> None:
        """
        List an upstream.

        :param listed: Its row.
        :param upstream: The running stand-in, or None.
        :param now_seconds: Present time.
        """
        with self._lock:
            price = self._offers.price_per_hour(listed.zone, listed.price_class)
            row = MarketRow(evolve(listed, price_per_hour=price), now_seconds)
            self._rows[listed.upstream_id] = row
            if upstream is not None:
                self._upstreams[listed.upstream_id] = upstream
            self._changed(now_seconds)

    def settle(self) -> None:
        """Show the present list at once, whatever the lag."""
        with self._lock:
            self._seen = Lagged(self._snapshot(), self._settings.list_lag_seconds)

    def list_upstreams(self, now_seconds: float) -> tuple[ListedUpstream, ...]:
        """
        Return the list as callers see it.

        :param now_seconds: Present time.
        """
        return tuple(
            row.with_notice(now_seconds) for row in self._seen.get(now_seconds)
        )

    def place(self, order: MarketOrder, now_seconds: float) -> None:
        """
        Carry out an order, once for each name.

        :param order: The order.
        :param now_seconds: Present time.
        :raises PlatformRefused: If it can't be carried out.
        """
        with self._lock:
            if order.order_id in self._placed:
                self._record(order, "repeated", UpstreamId(""))
                return
            try:
                upstream_id = self._carry_out(order, now_seconds)
            except PlatformRefused:
                self._record(order, "refused", UpstreamId(""))
                raise
            self._placed.add(order.order_id)
            self._record(order, "done", upstream_id)

    def was_placed(self, order_id: str) -> bool:
        """
        Tell whether an order was carried out.

        :param order_id: Its name.
        """
        with self._lock:
            return order_id in self._placed

    def reclaim(
        self, zone: ZoneName, notice_seconds: float, now_seconds: float
    ) -> tuple[UpstreamId, ...]:
        """
        Take back all cheap upstreams of an availability zone.

        :param zone: The zone, which then has no cheap capacity.
        :param notice_seconds: Time until they stop.
        :param now_seconds: Present time.
        :returns: The upstreams.
        """
        with self._lock:
            self._offers.withdraw_cheap(zone)
            leaving = []
            for upstream_id, row in self._rows.items():
                if row.listed.zone == zone and row.cheap:
                    row.listed = evolve(row.listed, state=UpstreamState.LEAVING)
                    row.leaves_at_seconds = now_seconds + notice_seconds
                    leaving.append(upstream_id)
            self._changed(now_seconds)
        for upstream_id in leaving:
            self._remove_after(notice_seconds, upstream_id)
        return tuple(leaving)

    def restore(self, zone: ZoneName) -> None:
        """
        Offer cheap capacity in an availability zone again.

        :param zone: The zone.
        """
        with self._lock:
            self._offers.restore_cheap(zone)

    def orders(self) -> tuple[ReceivedMarketOrder, ...]:
        """Return all received orders."""
        with self._lock:
            return tuple(self._journal)

    def spend(self, now_seconds: float) -> float:
        """
        Return the price of all running time so far.

        :param now_seconds: Present time.
        """
        with self._lock:
            running = sum(row.cost(now_seconds) for row in self._rows.values())
            return self._past_spend + running

    def _carry_out(self, order: MarketOrder, now_seconds: float) -> UpstreamId:
        match order.action:
            case OrderUpstream() as action:
                return self._order_engine(order.order_id, action, now_seconds)
            case GiveBack(upstream_id):
                if upstream_id not in self._rows:
                    raise PlatformRefused(f"no upstream {upstream_id!r}")
                self._remove_after(0.0, upstream_id)
                return upstream_id

    def _order_engine(
        self, order_id: str, action: OrderUpstream, now_seconds: float
    ) -> UpstreamId:
        self._offers.check(action, [row.listed for row in self._rows.values()])
        template = self._settings.template
        if template is None or not self._spares:
            raise PlatformRefused("no spare address")
        settings = evolve(
            template,
            name=UpstreamId(f"ordered-{next(self._names)}"),
            address=self._spares.pop(0),
            zone=action.zone,
            model=action.model,
            role=action.role,
            price_class=action.price_class,
        )
        listed = evolve(
            listed_engine(settings), state=UpstreamState.STARTING, order_id=order_id
        )
        self.add(listed, None, now_seconds)
        _after(self._settings.lead_seconds, lambda: self._started(settings))
        return settings.name

    def _started(self, settings: EngineSettings) -> None:
        """Start an ordered engine, unless it was given back meanwhile."""
        with self._lock:
            row = self._rows.get(settings.name)
            if row is None:
                return
            self._upstreams[settings.name] = self._start_engine(settings)
            if row.listed.state is UpstreamState.STARTING:
                row.listed = evolve(row.listed, state=UpstreamState.ACTIVE)
            self._changed(time.monotonic())

    def _remove_after(self, delay_seconds: float, upstream_id: UpstreamId) -> None:
        _after(delay_seconds, lambda: self._remove(upstream_id))

    def _remove(self, upstream_id: UpstreamId) -> None:
        with self._lock:
            now_seconds = time.monotonic()
            row = self._rows.pop(upstream_id, None)
            upstream = self._upstreams.pop(upstream_id, None)
            if row is None:
                return
            self._past_spend += row.cost(now_seconds)
            self._changed(now_seconds)
        if upstream is not None:
            upstream.withdraw()
        self._free(row.listed.address)

    def _free(self, address: Address) -> None:
        with self._lock:
            if address in self._settings.spares:
                self._spares.append(address)

    def _record(self, order: MarketOrder, result: str, name: UpstreamId) -> None:
        row = ReceivedMarketOrder(time.time(), order, result, name)
        self._journal.append(row)

    def _snapshot(self) -> tuple[MarketRow, ...]:
        return tuple(evolve(row) for row in self._rows.values())

    def _changed(self, now_seconds: float) -> None:
        self._seen.set(self._snapshot(), now_seconds)


def _after(delay_seconds: float, action: Callable[[], None]) -> None:
    timer = threading.Timer(delay_seconds, action)
    timer.daemon = True
    timer.start()
