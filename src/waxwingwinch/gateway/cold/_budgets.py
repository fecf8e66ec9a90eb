"""Divides what a cold upstream may get among the instances that decide."""

import math

from attrs import frozen

#: Time from asking for a permit until it expires unused. It covers the reply
#: of a keeper (0.15 s at most) and the choice of the other engine.
PERMIT_SECONDS = 0.3
#: Span within which the requests to a cold upstream are bounded.
BOUND_SECONDS = 1.0
#: Span in which grants are counted. Requests sent within the bound's span
#: were granted within this one.
GRANT_WINDOW_SECONDS = BOUND_SECONDS + PERMIT_SECONDS
#: Part of the bound that the first keeper leaves to the others at least.
RESERVED_FRACTION = 0.25
#: Largest number of reserve keepers of an upstream; with more, each of them
#: would be idle most of the time.
MAX_RESERVE_KEEPERS = 5


@frozen
class ColdPolicy:
    """
    What the settings say of cold upstreams.

    :param overshoot: Requests within a second, relative to the rate that a
        cold upstream can handle.
    :param slack: Additional requests within a second.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def budgets(self, requests_per_second: float) -> "ColdBudgets":
        """
        Return how the bound is divided.

        The first keeper gets what a cold upstream can handle. Half of the
        rest goes to reserve keepers, a request each. The other half stays
        unused for instances that were cut off before the keepers changed and
        still take themselves for reserve keepers.

        :param requests_per_second: The rate that a cold upstream can handle.
        """
        # A product such as 0.1 * 30.0 must not be rounded down to 2.
        bound = math.floor(requests_per_second * self.overshoot + self.slack + 1e-9)
        handled = math.floor(requests_per_second * GRANT_WINDOW_SECONDS + 1e-9)
        reserved = math.floor(bound * RESERVED_FRACTION)
        primary = min(max(handled, 1), bound - reserved)
        reserve_keepers = min(math.ceil((bound - primary) / 2), MAX_RESERVE_KEEPERS)
        return ColdBudgets(bound, primary, reserve_keepers)


@frozen
class ColdBudgets:
    """
    Requests to one cold upstream within :data:`GRANT_WINDOW_SECONDS`.

    :param bound: Most from all instances.
    :param primary: Most that its first keeper grants.
    :param reserve_keepers: Number of instances that grant one each.
    """

    bound: int
    primary: int
    reserve_keepers: int
