"""What the upstreams cost."""

from collections.abc import Sequence
from itertools import pairwise

from attrs import frozen

from waxwingwinch._types import PriceClass
from waxwingwinch.operators_api import MetricsView, UpstreamPrice

_SECONDS_PER_HOUR = 3_600.0


@frozen
class PriceOverrides:
    """
    Prices that replace those of the snapshots; None keeps them.

    :param on_demand_per_hour: Price of an on-demand upstream.
    :param cheap_per_hour: Price of a cheap upstream.
    """

    on_demand_per_hour: float | None = None
    cheap_per_hour: float | None = None

    def price_per_hour(self, upstream: UpstreamPrice) -> float:
        """
        Return the price of an upstream.

        :param upstream: The upstream.
        """
        match upstream.price_class:
            case PriceClass.ON_DEMAND:
                override = self.on_demand_per_hour
            case PriceClass.CHEAP:
                override = self.cheap_per_hour
        return upstream.price_per_hour if override is None else override


@frozen
class Spend:
    """
    Upstream spend.

    :param seconds: Time that it covers.
    :param on_demand: Spend on on-demand upstreams, in the platform's
        currency.
    :param cheap: Spend on cheap upstreams.
    :param present_per_hour: Price of all upstreams of the last snapshot.
    """

    seconds: float = 0.0
    on_demand: float = 0.0
    cheap: float = 0.0
    present_per_hour: float = 0.0

    @property
    def total(self) -> float:
        """The whole spend."""
        return self.on_demand + self.cheap


def add_up_spend(views: Sequence[MetricsView], prices: PriceOverrides) -> Spend:
    """
    Integrate the price of the fleet over the snapshots.

    The fleet counts as unchanged from each snapshot to the next, whichever
    instance took it, as all instances list the same upstreams. A snapshot
    without upstreams comes from an instance that had not read the list yet,
    and is passed over.

    :param views: Snapshots of one cell, in any order.
    :param prices: Prices that replace those of the snapshots.
    """
    ordered = sorted(
        (view for view in views if view.upstreams), key=lambda view: view.wall_seconds
    )
    if not ordered:
        return Spend()
    on_demand = cheap = 0.0
    for earlier, later in pairwise(ordered):
        hours = (later.wall_seconds - earlier.wall_seconds) / _SECONDS_PER_HOUR
        on_demand += hours * _per_hour(earlier, PriceClass.ON_DEMAND, prices)
        cheap += hours * _per_hour(earlier, PriceClass.CHEAP, prices)
    last = ordered[-1]
    present_per_hour = sum(_per_hour(last, item, prices) for item in PriceClass)
    seconds = last.wall_seconds - ordered[0].wall_seconds
    return Spend(seconds, on_demand, cheap, present_per_hour)


def _per_hour(
    view: MetricsView, price_class: PriceClass, prices: PriceOverrides
) -> float:
    return sum(
        prices.price_per_hour(item)
        for item in view.upstreams
        if item.price_class is price_class
    )
