"""Limits of customers, and the clock drift that they allow for."""

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Configuration, Scope, ScopeKind

#: Largest rate error of a monotonic clock against true time, as a ratio.
CLOCK_DRIFT_RATIO = 0.0005
#: Factor by which the grantor extends each term, so that the term ends at the
#: grantor after it ends at the holder even if the grantor's clock is the
#: fastest and the holder's the slowest.
EXPIRY_MARGIN_FACTOR = 1 + 3 * CLOCK_DRIFT_RATIO


@frozen
class CustomerLimit:
    """
    Rate limit of a customer over all instances together.

    :param rate_per_second: Requests per second.
    :param burst_requests: Requests above the rate at one moment.
    :param floor_fraction: Fraction of rate and burst granted as floors.
    :param floor_term_seconds: Validity of a floor.
    :param extra_term_seconds: Validity of extra tokens.
    """

    rate_per_second: float
    burst_requests: float
    floor_fraction: float
    floor_term_seconds: float
    extra_term_seconds: float


def limits_of(configuration: Configuration) -> dict[CustomerId, CustomerLimit]:
    """
    Return the limits of all customers, with configured exceptions applied.

    :param configuration: The configuration in force.
    """
    limits = {}
    for customer_id, customer in configuration.customers.items():
        scope = Scope(ScopeKind.CUSTOMER, customer_id)
        defaults = configuration.defaults_for(scope)
        limits[customer_id] = CustomerLimit(
            customer.rate_per_second,
            customer.burst_requests,
            defaults.floor_fraction,
            defaults.floor_term_seconds,
            defaults.extra_term_seconds,
        )
    return limits


def safe_rate_per_second(rate_per_second: float) -> float:
    """
    Return the refill rate to use with the local clock.

    The rate is reduced by the largest drift, so that the given rate in true
    time isn't exceeded even if the local clock is fast.

    :param rate_per_second: The rate in true time.
    """
    return rate_per_second / (1 + CLOCK_DRIFT_RATIO)
