"""The operators' published configuration, as the gateway uses it."""

import enum

from attrs import field, frozen

from waxwingwinch._types import CustomerId, RegionName, ZoneName


class RequestKind(enum.Enum):
    """Kind of a route's requests; determines whether they are retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class QuotaUnit(enum.Enum):
    """Unit in which a customer's quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@frozen
class WeightedService:
    """
    One target of a route.

    :param service: Name of the service.
    :param weight: Share of the route's requests relative to other targets.
    """

    service: str
    weight: float


@frozen
class Route:
    """
    A path prefix of a host and the rules for its requests.

    :param name: Name of the route.
    :param host: Host name in lower case.
    :param path_prefix: Begins and ends with a slash.
    :param kind: Kind of its requests; determines whether they are retried.
    :param timeout_seconds: Longest time that a caller waits for a response.
    :param target_seconds: Latency objective, up to the first event of a
        stream.
    :param priority: 0 is the most urgent.
    :param targets: The services, with their weights.
    :param max_attempts: Largest number of upstreams to which one request is
        sent.
    :param is_public: True if requests need no key.
    :param is_resumable: True if a broken stream may resume on another
        upstream.
    :param home_regions: Regions whose upstreams may run its requests; empty
        for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_seconds: float
    priority: int
    targets: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool = False
    is_resumable: bool = False
    home_regions: frozenset[RegionName] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Tell whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class EngineTraits:
    """
    Properties shared by all engines of a service.

    :param slots: Requests that one engine runs concurrently.
    :param kv_capacity_tokens: Capacity of one engine's KV cache.
    :param role_change_seconds: Duration of a change of role.
    """

    slots: int
    kv_capacity_tokens: int
    role_change_seconds: float


@frozen
class ScalingRules:
    """
    Bounds and prices for ordering upstreams of a service.

    :param min_per_zone: Minimum number in each availability zone.
    :param max_per_zone: Maximum number in each availability zone, spot and
        on-demand together.
    :param boot_seconds: Time from an order until the upstream serves.
    :param spot_price: Price of a spot upstream relative to an on-demand
        upstream; None if there is none.
    :param zone_prices: Price of an upstream-second by availability zone.
    """

    min_per_zone: int
    max_per_zone: int
    boot_seconds: float
    spot_price: float | None = None
    zone_prices: dict[ZoneName, float] = field(factory=dict)


@frozen
class ServiceRules:
    """
    A service that routes refer to.

    :param name: Name of the service.
    :param engine: Properties of its engines; None for a plain service.
    :param scaling: None if its upstreams can't be ordered.
    :param cold_start_seconds: Time for which an upstream is cold after a
        start during traffic; 0 if it isn't.
    :param cold_requests_per_second: Requests per second that a cold upstream
        can handle, from all instances together; 0 for no limit.
    """

    name: str
    engine: EngineTraits | None = None
    scaling: ScalingRules | None = None
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


@frozen
class CustomerRules:
    """
    A customer and its quota.

    :param customer_id: Id of the customer.
    :param keys: Keys that authenticate it.
    :param rate_per_second: Units per second over all instances; 0 for no
        limit.
    :param burst: Units that may be used at once above the rate.
    :param unit: Unit of the quota.
    :param plain_cost: Cost of a request that declares no prompt.
    :param priority: Overrides the priority of the route; None if not set.
    :param home_regions: Regions whose upstreams may run its requests; empty
        for all.
    """

    customer_id: CustomerId
    keys: frozenset[str] = field(repr=False)
    rate_per_second: float = 0.0
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_cost: float = 1.0
    priority: int | None = None
    home_regions: frozenset[RegionName] = frozenset()


@frozen
class CallerLimits:
    """
    Limits on the size and duration of callers' requests.

    :param max_header_bytes: Largest request head.
    :param max_body_bytes: Largest request body.
    :param header_timeout_seconds: Longest time for a request to arrive.
    :param idle_timeout_seconds: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@frozen
class GatewayConfiguration:
    """
    One published version of the operators' configuration.

    :param version: Increases with each change.
    :param routes: All routes.
    :param services: Services by name.
    :param customers: All customers.
    :param limits: Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceRules] = field(factory=dict)
    customers: tuple[CustomerRules, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
