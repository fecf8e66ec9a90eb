"""Log lines about home regions."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("homes:refused")
class HomeRegionsRefused(LogLine):
    """
    A request was refused, as its home regions have no upstream for it.

    :param request_id: Id of the request.
    :param route: Name of the route.
    :param route_regions: Home regions of the route; empty for all.
    :param customer: Customer of the request; None on public routes.
    :param customer_regions: Home regions of the customer; empty for all.
    :param service: Name of the service.
    :param zones: Availability zones in the home regions of both.
    :param version: Version of the configuration in force.
    """

    request_id: str
    route: str
    route_regions: tuple[str, ...]
    customer: str | None
    customer_regions: tuple[str, ...]
    service: str
    zones: tuple[str, ...]
    version: int
