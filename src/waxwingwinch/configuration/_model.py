"""Immutable data model of the configuration."""

import enum

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, ModelName


@frozen
class Defaults:
    """
    Default settings of the fleet; exceptions override single fields.

    :param request_timeout_seconds: Deadline of a request.
    :param max_output_tokens: Upper bound of a caller's ``max_tokens``.
    :param max_body_bytes: Largest accepted request body.
    :param retry_budget_ratio: Retries allowed for each request served.
    :param floor_fraction: Fraction of each customer's rate that is divided
        among instances for ``floor_term_seconds``; the rest is assigned by
        demand.
    :param floor_term_seconds: How long a floor is valid while the log is
        unavailable.
    :param extra_term_seconds: How long an extra (rate assigned by demand) is
        valid without renewal.
    :param freshness_seconds: Time without contact to the log or, counting
        itself, to a majority of instances, after which an instance refuses
        requests on routes that need a key.
    :param first_token_seconds: Target time to the first token.
    :param between_tokens_seconds: Target time between tokens.
    :param promised_ratio: Target fraction of requests that meet both times.
    :param usage_window_seconds: Length of a usage window.
    :param role_horizon_seconds: Forecast horizon of role change decisions.
    :param role_hold_seconds: Shortest time between role changes of an engine.
    :param drain_seconds: Longest duration of a drain before a planned change.
    :param min_engines_per_model: Smallest number of engines kept for each
        model.
    :param max_engines_per_model: Largest number of engines bought for each
        model.
    :param cheap_ratio_max: Largest fraction of engines of price class
        ``cheap``.
    :param survive_zone_loss: True to keep enough engines to meet the service
        targets after the loss of all cheap engines of one zone.
    :param target_utilization: Utilization for which engines are bought.
    :param spend_weight: Weight of cost in purchase decisions; divides the time
        for which an engine must be surplus before it is returned.
    :param fairness_weight: Weight of the worst-served customer; no decision
        evaluates it at present.
    :param discovery_ttl_seconds: How long callers may cache a discovery
        response.
    """

    request_timeout_seconds: float = 120.0
    max_output_tokens: int = 4_096
    max_body_bytes: int = 1_048_576
    retry_budget_ratio: float = 0.1
    floor_fraction: float = 0.5
    floor_term_seconds: float = 600.0
    extra_term_seconds: float = 2.0
    freshness_seconds: float = 3.0
    first_token_seconds: float = 0.42
    between_tokens_seconds: float = 0.056
    promised_ratio: float = 0.95
    usage_window_seconds: int = 60
    role_horizon_seconds: float = 30.0
    role_hold_seconds: float = 20.0
    drain_seconds: float = 30.0
    min_engines_per_model: int = 2
    max_engines_per_model: int = 16
    cheap_ratio_max: float = 0.7
    survive_zone_loss: bool = True
    target_utilization: float = 0.7
    spend_weight: float = 1.0
    fairness_weight: float = 1.0
    discovery_ttl_seconds: float = 5.0


@frozen
class KeyRecord:
    """
    Stored form of a caller's key; doesn't contain the key itself.

    :param key_id: Public name of the key.
    :param salt: Random bytes included in the digest.
    :param digest: SHA-256 of salt and key.
    :param withdrawn: True if the key was withdrawn; can't be undone.
    """

    key_id: str
    salt: bytes
    digest: bytes
    withdrawn: bool = False


@frozen
class Customer:
    """
    A customer.

    :param customer_id: Id of the customer.
    :param rate_per_second: Requests per second, summed over all instances.
    :param burst_requests: Largest burst of requests above the rate.
    :param weight: Weight relative to other customers under overload.
    :param keys: Records of its keys.
    """

    customer_id: CustomerId
    rate_per_second: float
    burst_requests: float
    weight: float = 1.0
    keys: tuple[KeyRecord, ...] = ()


@frozen
class Model:
    """
    A model served by the fleet.

    :param name: Name that callers use.
    :param version: Version of the weights.
    :param adapters: Adapters that callers may name as ``model:adapter``.
    """

    name: ModelName
    version: str = "1"
    adapters: tuple[str, ...] = ()


class RouteAccess(enum.Enum):
    """Who may call a route."""

    #: A key is required; the request counts for the key's customer.
    KEYED = "keyed"
    #: No key is required.
    OPEN = "open"


@frozen
class Route:
    """
    A path of a plain service.

    :param path: Path prefix, matched at segment boundaries.
    :param service: Name of the plain service.
    :param methods: Accepted HTTP methods.
    :param idempotent: True if a call may be retried.
    :param access: Who may call the route.
    :param timeout_seconds: Time limit of a call.
    """

    path: str
    service: str
    methods: tuple[str, ...]
    idempotent: bool
    access: RouteAccess = RouteAccess.KEYED
    timeout_seconds: float = 10.0


class ScopeKind(enum.Enum):
    """Kind of object to which an exception applies."""

    CUSTOMER = "customer"
    MODEL = "model"
    ZONE = "zone"


@frozen
class Scope:
    """
    The object to which an exception applies.

    :param kind: Kind of the object.
    :param name: Name of the customer, model or availability zone.
    """

    kind: ScopeKind
    name: str


@frozen
class ExceptionRule:
    """
    An override of one default within a scope.

    :param exception_id: Id given by the operator.
    :param scope: Object to which it applies.
    :param setting: Name of a field of :class:`Defaults`.
    :param value: Value within the scope.
    :param reason: Reason for the exception; never empty.
    """

    exception_id: str
    scope: Scope
    setting: str
    value: float
    reason: str


@frozen
class Configuration:
    """
    The full configuration at one version.

    :param version: Number of accepted changes.
    :param defaults: Fleet-wide settings.
    :param customers: Customers by id.
    :param models: Models by name.
    :param routes: Routes of plain services.
    :param exceptions: Exceptions by id.
    """

    version: int = 0
    defaults: Defaults = Defaults()
    customers: dict[CustomerId, Customer] = field(factory=dict)
    models: dict[ModelName, Model] = field(factory=dict)
    routes: tuple[Route, ...] = ()
    exceptions: dict[str, ExceptionRule] = field(factory=dict)

    def defaults_for(self, *scopes: Scope) -> Defaults:
        """
        Return the defaults with the exceptions of the scopes applied.

        :param scopes: Later scopes override earlier scopes.
        """
        defaults = self.defaults
        for scope in scopes:
            for rule in self.exceptions.values():
                if rule.scope == scope:
                    defaults = _override(defaults, rule)
        return defaults

    def route_for(self, path: str) -> Route | None:
        """
        Return the route with the longest matching prefix.

        :param path: Path of a request, without the query.
        """
        matching = [route for route in self.routes if _matches(route.path, path)]
        return max(matching, key=lambda route: len(route.path), default=None)


def _override(defaults: Defaults, rule: ExceptionRule) -> Defaults:
    current = getattr(defaults, rule.setting)
    # Values are encoded as numbers; convert to the type of the field.
    return evolve(defaults, **{rule.setting: type(current)(rule.value)})


def _matches(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
