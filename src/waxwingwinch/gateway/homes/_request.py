"""Zones that may get one request, also after a change of the configuration."""

from collections.abc import Mapping

from attrs import define, field

from waxwingwinch._types import RegionName, ZoneName
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._model import CustomerRules, Route
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._routes import RouteTable
from waxwingwinch.gateway.homes._zones import allowed_zones


@define(eq=False)
class RequestHomes:
    """
    The zones that may get the further calls of one request.

    They follow the configuration in force. A route or customer that a later
    configuration lacks keeps its last known home regions.

    :param current: The configuration in force.
    :param zone_regions: Region of each availability zone.
    :param request: The request.
    :param table: The configuration by which the request was accepted.
    :param route: Its route.
    :param customer: Its customer; None on public routes.
    """

    _current: CurrentTable = field(repr=False)
    _zone_regions: Mapping[ZoneName, RegionName]
    _request: GatewayRequest = field(repr=False)
    _table: RouteTable = field(repr=False)
    route: Route
    customer: CustomerRules | None
    _zones: frozenset[ZoneName] | None = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._zones = allowed_zones(self.route, self.customer, self._zone_regions)

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self._request.request_id

    @property
    def version(self) -> int:
        """Version of the configuration that the zones follow."""
        return self._table.configuration.version

    def zones(self) -> frozenset[ZoneName] | None:
        """Return the allowed zones; None if there is no restriction."""
        table = self._current.get()
        if table is not None and table is not self._table:
            self._table = table
            self.route = _same_route(table, self.route, self._request)
            if self.customer is not None:
                self.customer = _same_customer(table, self.customer, self._request)
            self._zones = allowed_zones(self.route, self.customer, self._zone_regions)
        return self._zones


def _same_route(table: RouteTable, known: Route, request: GatewayRequest) -> Route:
    """Return the route of the same name in a later configuration."""
    route = table.route(request.host, request.path)
    if route is not None and route.name == known.name:
        return route
    routes = table.configuration.routes
    return next((route for route in routes if route.name == known.name), known)


def _same_customer(
    table: RouteTable, known: CustomerRules, request: GatewayRequest
) -> CustomerRules:
    """Return the customer of the same id in a later configuration."""
    customer = table.customer(request.key) if request.key else None
    if customer is not None and customer.customer_id == known.customer_id:
        return customer
    customers = table.configuration.customers
    return next(
        (
            customer
            for customer in customers
            if customer.customer_id == known.customer_id
        ),
        known,
    )
