"""The configuration of test deployments."""

from waxwing_testbed.deployment import DeploymentPlan
from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import (
    Configuration,
    Customer,
    Defaults,
    Model,
    Route,
    RouteAccess,
    build_key_record,
)

#: A customer whose rate is never reached by a test.
WIDE = CustomerId("wide")
#: A second one, to tell answers apart.
OTHER = CustomerId("other")
#: A customer whose rate is easily reached.
NARROW = CustomerId("narrow")
#: Rate of the narrow customer.
NARROW_RATE_PER_SECOND = 10.0
#: Burst of the narrow customer.
NARROW_BURST_REQUESTS = 20.0

ORDER_PATH = "/shop/orders"
PAYMENT_PATH = "/shop/payments"
STATUS_PATH = "/shop/status"
CATALOGUE_PATH = "/shop/catalogue"


def key_of(customer_id: CustomerId) -> str:
    """
    Return the key of a test customer.

    :param customer_id: The customer.
    """
    return f"key-of-{customer_id}-for-tests"


def key_id_of(customer_id: CustomerId) -> str:
    """
    Return the public name of a test customer's key.

    :param customer_id: The customer.
    """
    return f"{customer_id}-1"


def make_configuration(plan: DeploymentPlan, defaults: Defaults) -> Configuration:
    """
    Build the configuration of a test deployment.

    :param plan: Its upstreams.
    :param defaults: Its fleet-wide settings.
    """
    customers = (
        make_customer(WIDE, 2_000.0, 4_000.0),
        make_customer(OTHER, 2_000.0, 4_000.0),
        make_customer(NARROW, NARROW_RATE_PER_SECOND, NARROW_BURST_REQUESTS),
    )
    models = {group.model: Model(group.model) for group in plan.engines}
    return Configuration(
        defaults=defaults,
        customers={customer.customer_id: customer for customer in customers},
        models=models,
        routes=_routes(),
    )


def make_customer(
    customer_id: CustomerId, rate_per_second: float, burst_requests: float
) -> Customer:
    """
    Build a customer with one key.

    :param customer_id: Its name.
    :param rate_per_second: Its rate.
    :param burst_requests: Its burst.
    """
    key = build_key_record(key_id_of(customer_id), key_of(customer_id))
    return Customer(customer_id, rate_per_second, burst_requests, keys=(key,))


def _routes() -> tuple[Route, ...]:
    return (
        Route(ORDER_PATH, "shop", ("POST",), idempotent=False, timeout_seconds=4.0),
        Route(PAYMENT_PATH, "shop", ("POST",), idempotent=False, timeout_seconds=4.0),
        Route(STATUS_PATH, "shop", ("GET",), idempotent=True, timeout_seconds=4.0),
        Route(
            CATALOGUE_PATH,
            "shop",
            ("GET",),
            idempotent=True,
            access=RouteAccess.OPEN,
            timeout_seconds=4.0,
        ),
    )
