"""A limiter without coordination, a baseline for measurements."""

import threading
from collections.abc import Callable

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Configuration
from waxwingwinch.contracts import Admitted, LimitDecision, Limited
from waxwingwinch.limits._account import DEFAULT_RETRY_AFTER_SECONDS
from waxwingwinch.limits._bucket import TokenBucket
from waxwingwinch.limits._customer_limits import safe_rate_per_second


class StaticSplitLimiter:
    """
    Admits from an equal, fixed fraction of each customer's rate and burst.

    :param configuration: Returns the configuration in force.
    :param instance_count: Number of instances that share the limits.
    """

    def __init__(
        self, configuration: Callable[[], Configuration], instance_count: int
    ) -> None:
        self._configuration = configuration
        self._instance_count = instance_count
        self._buckets: dict[CustomerId, TokenBucket] = {}
        self._lock = threading.Lock()

    def admit(self, customer_id: CustomerId, now_seconds: float) -> LimitDecision:
        """
        Admit one request of a customer if a token is available.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """
        customer = self._configuration().customers.get(customer_id)
        if customer is None:
            return Limited(DEFAULT_RETRY_AFTER_SECONDS, over_rate=True)
        rate_per_second = customer.rate_per_second / self._instance_count
        cap_tokens = customer.burst_requests / self._instance_count
        with self._lock:
            bucket = self._buckets.get(customer_id)
            if bucket is None:
                bucket = TokenBucket(0.0, 0.0, 0.0, now_seconds)
            bucket = bucket.refilled(now_seconds)
            bucket = bucket.resized(safe_rate_per_second(rate_per_second), cap_tokens)
            is_admitted = bucket.level_tokens >= 1
            self._buckets[customer_id] = bucket.debited(1) if is_admitted else bucket
        if is_admitted:
            return Admitted()
        wait_seconds = bucket.seconds_until(1.0)
        return Limited(wait_seconds or DEFAULT_RETRY_AFTER_SECONDS, over_rate=False)
