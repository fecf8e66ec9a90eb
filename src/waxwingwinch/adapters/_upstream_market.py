"""Wire format of the interface for ordering upstreams."""

from urllib.parse import urlencode

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import (
    json_request,
    platform_exchange,
    platform_poll,
    platform_value,
)
from waxwingwinch.adapters._wire import make_wire_converter, structure_answer
from waxwingwinch.http import ORDER_SOCKET_OPTIONS
from waxwingwinch.interfaces import ListedUpstream, MarketOrder

UPSTREAMS_PATH = "/upstreams"
ORDERS_PATH = "/orders"


class HttpUpstreamMarket:
    """
    The platform's upstream orders over HTTP.

    :param address: Where the platform serves.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._converter = make_wire_converter()

    def list_upstreams(self) -> tuple[ListedUpstream, ...]:
        """Return the list, see ``UpstreamMarket`` in the interfaces."""
        reply = platform_poll(self._address, json_request("GET", UPSTREAMS_PATH))
        value = platform_value(reply)
        return structure_answer(self._converter, value, tuple[ListedUpstream, ...])

    def place(self, order: MarketOrder) -> None:
        """Send an order, see ``UpstreamMarket`` in the interfaces."""
        body = self._converter.unstructure(order)
        request = json_request("POST", ORDERS_PATH, body)
        reply = platform_exchange(
            self._address, request, socket_options=ORDER_SOCKET_OPTIONS
        )
        platform_value(reply)

    def was_placed(self, order_id: str) -> bool:
        """Look up an order, see ``UpstreamMarket`` in the interfaces."""
        query = urlencode({"order_id": order_id})
        request = json_request("GET", f"{ORDERS_PATH}?{query}")
        value = platform_value(platform_poll(self._address, request))
        placed = value.get("placed") if isinstance(value, dict) else None
        if not isinstance(placed, bool):
            raise PlatformUnavailable("malformed answer", may_have_taken_effect=True)
        return placed
