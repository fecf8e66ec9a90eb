"""What an entry has recorded, with the promises and prices to judge it by."""

from attrs import frozen

from waxwingwinch._types import CustomerId, InstanceId, PriceClass, UpstreamId
from waxwingwinch.configuration import Configuration, Scope, ScopeKind
from waxwingwinch.contracts import ConfigurationSource, FleetView
from waxwingwinch.kernel import Clock
from waxwingwinch.observability import Metrics, MetricsSnapshot


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
    :param wall_seconds: Unix time of the snapshot.
    :param metrics: Times and results.
    :param promises: One for each customer in the configuration.
    :param upstreams: All upstreams that the instance knows.
    """

    instance_id: InstanceId
    wall_seconds: float
    metrics: MetricsSnapshot
    promises: tuple[ServicePromise, ...] = ()
    upstreams: tuple[UpstreamPrice, ...] = ()


@frozen
class MetricsReporter:
    """
    Makes the metrics view of this instance.

    :param instance_id: This instance.
    :param clock: Source of the present time.
    :param metrics: What was recorded.
    :param configuration: The configuration in force.
    :param fleet: The upstreams.
    """

    instance_id: InstanceId
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
            self.clock.wall_seconds(),
            self.metrics.snapshot(),
            promises_of(self.configuration.current()),
            prices,
        )


def promises_of(configuration: Configuration) -> tuple[ServicePromise, ...]:
    """
    Return what each customer is promised.

    :param configuration: The configuration, with its exceptions.
    """
    return tuple(
        _promise(configuration, customer_id)
        for customer_id in sorted(configuration.customers)
    )


def _promise(configuration: Configuration, customer_id: CustomerId) -> ServicePromise:
    scope = Scope(ScopeKind.CUSTOMER, customer_id)
    defaults = configuration.defaults_for(scope)
    return ServicePromise(
        customer_id,
        defaults.first_token_seconds,
        defaults.between_tokens_seconds,
        defaults.promised_ratio,
    )
