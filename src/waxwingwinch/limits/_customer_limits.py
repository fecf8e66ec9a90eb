"""Limits of customers, and the clock drift that terms allow for."""

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Configuration, Scope, ScopeKind

#: Largest deviation of a monotonic clock from true time, as a ratio.
CLOCK_DRIFT_RATIO = 0.0005
#: A grantor waits longer than a holder by this factor, so that its wait ends
#: later even if its clock is the fastest and the holder's the slowest.
EXPIRY_MARGIN_FACTOR = 1 + 3 * CLOCK_DRIFT_RATIO


@frozen
class CustomerLimit:
    """
    What a customer may use over all instances together.

    :param rate_per_second: Requests a second.
    :param burst_requests: Requests above the rate at one moment.
    :param floor_fraction: Part that is given out as floors.
    :param floor_term_seconds: How long a floor lasts.
    :param extra_term_seconds: How long short-term tokens last.
    """

    rate_per_second: float
    burst_requests: float
    floor_fraction: float
    floor_term_seconds: float
    extra_term_seconds: float


def limits_of(configuration: Configuration) -> dict[CustomerId, CustomerLimit]:
    """
    Return the limits of all customers, with exceptions applied.

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
    Return the rate by a local clock that never exceeds a true rate.

    :param rate_per_second: The rate in true time.
    """
    return rate_per_second / (1 + CLOCK_DRIFT_RATIO)
