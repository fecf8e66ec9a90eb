"""What an entry has recorded, with the promises and prices to judge it by."""

from attrs import frozen

from waxwingwinch._types import CustomerId, InstanceId, PriceClass, UpstreamId
from waxwingwinch.configuration import Configuration, Defaults, Scope, ScopeKind
from waxwingwinch.contracts import ConfigurationSource, FleetView, ServiceName
from waxwingwinch.kernel import Clock, Registry
from waxwingwinch.observability import Metrics, MetricsSnapshot

#: Under which the callers of routes open to all are recorded.
OPEN_ROUTES = CustomerId("")


@frozen
class ServicePromise:
    """
    What one customer was promised.

    :param customer_id: The customer.
    :param first_token_seconds: Promised time to the first token.
    :param between_tokens_seconds: Promised time between tokens.
    :param promised_ratio: Share that keeps each promise.
    """

    customer_id: CustomerId
    first_token_seconds: float
    between_tokens_seconds: float
    promised_ratio: float


@frozen
class UpstreamPrice:
    """
    What one upstream costs.

    :param upstream_id: The upstream.
    :param price_class: How it is paid for.
    :param price_per_hour: Price in the platform's currency.
    """

    upstream_id: UpstreamId
    price_class: PriceClass
    price_per_hour: float


@frozen
class MetricsView:
    """
    What one instance has recorded since its start.

    :param instance_id: The instance.
    :param incarnation: Start of its process; another start counts anew.
    :param wall_seconds: Unix time of the snapshot.
    :param metrics: Times and results.
    :param promises: One for each customer, and one for open routes.
    :param upstreams: All upstreams that the instance knows.
    """

    instance_id: InstanceId
    incarnation: str
    wall_seconds: float
    metrics: MetricsSnapshot
    promises: tuple[ServicePromise, ...] = ()
    upstreams: tuple[UpstreamPrice, ...] = ()


@frozen
class MetricsReporter:
    """
    Makes the metrics view of this instance.

    :param instance_id: This instance.
    :param incarnation: This start of its process.
    :param clock: Source of the present time.
    :param metrics: What was recorded.
    :param configuration: The configuration in force.
    :param fleet: The upstreams.
    """

    instance_id: InstanceId
    incarnation: str
    clock: Clock
    metrics: Metrics
    configuration: ConfigurationSource
    fleet: FleetView

    def view(self) -> MetricsView:
        """Return the view at the present time."""
        listed = [upstream.listed for upstream in self.fleet.all()]
        prices = tuple(
            UpstreamPrice(item.upstream_id, item.price_class, item.price_per_hour)
            for item in listed
        )
        return MetricsView(
            self.instance_id,
            self.incarnation,
            self.clock.wall_seconds(),
            self.metrics.snapshot(),
            promises_of(self.configuration.current()),
            prices,
        )


def make_metrics_reporter(
    registry: Registry, instance_id: InstanceId, incarnation: str
) -> MetricsReporter:
    """
    Make the reporter of a process from its services.

    :param registry: Holds clock, metrics, configuration and fleet.
    :param instance_id: This instance.
    :param incarnation: This start of its process.
    """
    return MetricsReporter(
        instance_id,
        incarnation,
        registry.lookup(
            ServiceName.CLOCK,
            Clock,  # type: ignore[type-abstract]
        ),
        registry.lookup(ServiceName.METRICS, Metrics),
        registry.lookup(
            ServiceName.CONFIGURATION,
            ConfigurationSource,  # type: ignore[type-abstract]
        ),
        registry.lookup(
            ServiceName.FLEET,
            FleetView,  # type: ignore[type-abstract]
        ),
    )


def promises_of(configuration: Configuration) -> tuple[ServicePromise, ...]:
    """
    Return what each customer is promised, callers of open routes first.

    :param configuration: The configuration, with its exceptions.
    """
    customers = tuple(
        _promise(customer_id, configuration.defaults_for(_scope(customer_id)))
        for customer_id in sorted(configuration.customers)
    )
    return (_promise(OPEN_ROUTES, configuration.defaults), *customers)


def _scope(customer_id: CustomerId) -> Scope:
    return Scope(ScopeKind.CUSTOMER, customer_id)


def _promise(customer_id: CustomerId, defaults: Defaults) -> ServicePromise:
    return ServicePromise(
        customer_id,
        defaults.first_token_seconds,
        defaults.between_tokens_seconds,
        defaults.promised_ratio,
    )
