"""The configuration that operators publish, as the gateway uses it."""

import enum

from attrs import field, frozen

from waxwingwinch._types import CustomerId, ZoneName


class RequestKind(enum.Enum):
    """What may be repeated, by the kind of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class QuotaUnit(enum.Enum):
    """What a customer's rate counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@frozen
class WeightedService:
    """
    One target of a route.

    :param service: Name of the service.
    :param weight: Its share relative to the other targets.
    """

    service: str
    weight: float


@frozen
class Route:
    """
    A path prefix of a host and how its requests are served.

    :param name: Name of the route.
    :param host: Host name in lower case.
    :param path_prefix: Begins and ends with a slash.
    :param kind: What may be repeated.
    :param timeout_seconds: Longest time a caller is kept waiting.
    :param target_seconds: Latency objective, up to the first event of a
        stream.
    :param priority: 0 is the most urgent.
    :param targets: The services, with their weights.
    :param max_attempts: Upstreams that one request may be sent to.
    :param is_public: True if no key is needed.
    :param is_resumable: True if a broken stream may go on elsewhere.
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

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@frozen
class EngineTraits:
    """
    What the engines of a service have in common.

    :param slots: Requests that one engine runs at once.
    :param kv_capacity_tokens: Tokens of KV cache that one engine holds.
    :param stage_switch_seconds: How long a change of stage takes.
    """

    slots: int
    kv_capacity_tokens: int
    stage_switch_seconds: float


@frozen
class ScalingRules:
    """
    How many upstreams of a service may be ordered.

    :param min_per_zone: Fewest in each availability zone.
    :param max_per_zone: Most in each availability zone, of both kinds.
    :param boot_seconds: Time from an order until the upstream serves.
    :param spot_price: Price of a reclaimable upstream relative to others.
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
    A service that routes lead to.

    :param name: Its name.
    :param engine: Traits of its engines; None for a plain service.
    :param scaling: None if its upstreams can't be ordered.
    """

    name: str
    engine: EngineTraits | None = None
    scaling: ScalingRules | None = None


@frozen
class CustomerRules:
    """
    A customer and its quota.

    :param customer_id: Its name.
    :param keys: Keys that authenticate it.
    :param rate_per_second: Quota over all instances; 0 for none.
    :param burst: What may be used above the rate at one moment.
    :param unit: What the quota counts.
    :param plain_cost: Cost of a request that announces no tokens.
    :param priority: Takes precedence over the route's; None if not set.
    """

    customer_id: CustomerId
    keys: frozenset[str] = field(repr=False)
    rate_per_second: float = 0.0
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_cost: float = 1.0
    priority: int | None = None


@frozen
class CallerLimits:
    """
    What callers may send, and how long they may take.

    :param max_header_bytes: Largest request head.
    :param max_body_bytes: Largest request body.
    :param header_timeout_seconds: Longest time for a request to arrive.
    :param idle_timeout_seconds: How long an idle connection is kept.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@frozen
class GatewayConfiguration:
    """
    One published version of everything that operators decide.

    :param version: Grows with each change.
    :param routes: All routes.
    :param services: Services by name.
    :param customers: All customers.
    :param limits: Bounds on what callers send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceRules] = field(factory=dict)
    customers: tuple[CustomerRules, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
