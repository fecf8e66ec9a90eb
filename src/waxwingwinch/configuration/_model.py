"""Typed, immutable configuration."""

import enum

from attrs import evolve, field, frozen

from waxwingwinch._types import CustomerId, ModelName


@frozen
class Defaults:
    """
    Fleet-wide settings; exceptions override single fields.

    :param request_timeout_seconds: Deadline of a request.
    :param max_output_tokens: Upper bound of a caller's ``max_tokens``.
    :param max_body_bytes: Largest accepted request body.
    :param retry_budget_ratio: Retries allowed for each request served.
    :param floor_fraction: Part of each customer's rate that is spread over
        instances for ``floor_term_seconds``; the rest is moved by demand.
    :param floor_term_seconds: How long a floor lasts without the log.
    :param extra_term_seconds: How long moved rate lasts without renewal.
    :param freshness_seconds: An instance that reached neither the log nor
        enough peers for longer refuses keyed requests.
    :param first_token_seconds: Promised time to the first token.
    :param between_tokens_seconds: Promised time between tokens.
    :param promised_ratio: Share of requests that keep both promises.
    :param usage_window_seconds: Length of a usage window.
    :param role_horizon_seconds: Forecast length of a role change decision.
    :param role_hold_seconds: Shortest time between changes of one engine.
    :param drain_seconds: Longest drain before a planned change.
    :param min_engines_per_model: Engines kept for each model.
    :param max_engines_per_model: Engines bought at most for each model.
    :param cheap_ratio_max: Largest share of cheap engines.
    :param survive_zone_loss: True to keep enough engines that the loss of
        all cheap ones of a zone keeps the promised service.
    :param target_utilization: Utilization that buying aims at.
    :param spend_weight: Weight of cost in decisions, against service.
    :param fairness_weight: Weight of the worst-served customer.
    :param discovery_ttl_seconds: How long callers may cache a discovery
        answer.
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
    A caller's key, without the key.

    :param key_id: Public name of the key.
    :param salt: Random bytes that enter the digest.
    :param digest: SHA-256 of salt and key.
    :param withdrawn: True if the key was withdrawn; never undone.
    """

    key_id: str
    salt: bytes
    digest: bytes
    withdrawn: bool = False


@frozen
class Customer:
    """
    A customer.

    :param customer_id: Its name.
    :param rate_per_second: Requests a second over all instances together.
    :param burst_requests: Requests above the rate at one moment.
    :param weight: Share under overload relative to others.
    :param keys: Its keys.
    """

    customer_id: CustomerId
    rate_per_second: float
    burst_requests: float
    weight: float = 1.0
    keys: tuple[KeyRecord, ...] = ()


@frozen
class Model:
    """
    A model that the fleet serves.

    :param name: As callers name it.
    :param version: Version of the weights.
    :param adapters: Adapters that callers may name as ``model:adapter``.
    """

    name: ModelName
    version: str = "1"
    adapters: tuple[str, ...] = ()


class RouteAccess(enum.Enum):
    """Who may call a route."""

    #: A key is required, and the request runs for its customer.
    KEYED = "keyed"
    #: Open to all.
    OPEN = "open"


@frozen
class Route:
    """
    A path of a plain service.

    :param path: Path prefix, matched at segment bounds.
    :param service: Name of the plain service.
    :param methods: Accepted HTTP methods.
    :param idempotent: True if a call may be repeated.
    :param access: Who may call it.
    :param timeout_seconds: How long a call may take.
    """

    path: str
    service: str
    methods: tuple[str, ...]
    idempotent: bool
    access: RouteAccess = RouteAccess.KEYED
    timeout_seconds: float = 10.0


class ScopeKind(enum.Enum):
    """What an exception applies to."""

    CUSTOMER = "customer"
    MODEL = "model"
    ZONE = "zone"


@frozen
class Scope:
    """
    Where an exception applies.

    :param kind: What ``name`` names.
    :param name: Customer, model or availability zone.
    """

    kind: ScopeKind
    name: str


@frozen
class ExceptionRule:
    """
    An override of one default, with its reason.

    :param exception_id: Name given by the operator.
    :param scope: Where it applies.
    :param setting: Name of a field of :class:`Defaults`.
    :param value: The value there.
    :param reason: Why; never empty.
    """

    exception_id: str
    scope: Scope
    setting: str
    value: float
    reason: str


@frozen
class Configuration:
    """
    The whole configuration at one version.

    :param version: Number of accepted changes.
    :param defaults: Fleet-wide settings.
    :param customers: By name.
    :param models: By name.
    :param routes: Plain service routes.
    :param exceptions: By their names.
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

        :param scopes: Later ones override earlier ones.
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
    present = getattr(defaults, rule.setting)
    # Values travel as numbers; the field's own type is restored here.
    return evolve(defaults, **{rule.setting: type(present)(rule.value)})


def _matches(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
