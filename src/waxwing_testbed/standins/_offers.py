"""What a platform offers in its availability zones."""

from collections.abc import Iterable

from waxwing_testbed.standins._settings import CapacitySettings
from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import PriceClass, ZoneName
from waxwingwinch.interfaces import ListedUpstream, OrderUpstream


class Offers:
    """
    Prices and capacities by availability zone and price class.

    :param capacity: The settings.
    """

    def __init__(self, capacity: tuple[CapacitySettings, ...]) -> None:
        self._offers = {(row.zone, row.price_class): row for row in capacity}
        self._without_cheap: set[ZoneName] = set()

    def withdraw_cheap(self, zone: ZoneName) -> None:
        """
        End the cheap offer of a zone.

        :param zone: The zone.
        """
        self._without_cheap.add(zone)

    def restore_cheap(self, zone: ZoneName) -> None:
        """
        Offer cheap capacity in a zone again.

        :param zone: The zone.
        """
        self._without_cheap.discard(zone)

    def price_per_hour(self, zone: ZoneName, price_class: PriceClass) -> float:
        """
        Return a price; 0 if nothing is offered.

        :param zone: The zone.
        :param price_class: How it is paid for.
        """
        offer = self._offers.get((zone, price_class))
        return offer.price_per_hour if offer is not None else 0.0

    def check(self, action: OrderUpstream, running: Iterable[ListedUpstream]) -> None:
        """
        Check that an order fits the offers.

        :param action: The order.
        :param running: All upstreams.
        :raises PlatformRefused: If there is no capacity.
        """
        wanted = (action.zone, action.price_class)
        offer = self._offers.get(wanted)
        taken = sum((row.zone, row.price_class) == wanted for row in running)
        cheap = action.price_class is PriceClass.CHEAP
        if cheap and action.zone in self._without_cheap:
            offer = None
        if offer is None or taken >= offer.count:
            raise PlatformRefused(f"no capacity in {action.zone}")
