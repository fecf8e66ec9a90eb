"""Retry budget: each instance limits its share of the retries."""

import threading

from attrs import define

#: Number of instances assumed to share the slack until the actual number is
#: known; deployments have a hundred or fewer.
ASSUMED_INSTANCES = 100
#: Fraction of the allowed ratio and slack that is used; the rest covers
#: restarted processes, which begin with a full share.
BUDGET_FRACTION = 0.4


@define
class _ServiceAllowance:
    """
    Retries that are available for one service.

    :param retries: Number of retries; may be fractional.
    :param refilled_seconds: Monotonic time of the last refill.
    """

    retries: float
    refilled_seconds: float


class RetryBudget:
    """
    Limits the retries of requests by service.

    :param ratio: Retries allowed per request.
    :param slack: Additional retries allowed to all instances together in one
        window.
    :param window_seconds: Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._instances = ASSUMED_INSTANCES
        self._allowances: dict[str, _ServiceAllowance] = {}
        self._lock = threading.Lock()

    def set_limits(self, ratio: float, slack: float, window_seconds: float) -> None:
        """
        Change the limits.

        :param ratio: Retries allowed per request.
        :param slack: Additional retries allowed to all instances together in
            one window.
        :param window_seconds: Length of the window.
        """
        with self._lock:
            self._ratio = ratio
            self._slack = slack
            self._window_seconds = window_seconds

    def set_instances(self, count: int) -> None:
        """
        Set the number of instances that share the slack.

        :param count: Number of instances.
        """
        with self._lock:
            share_before = self._share()
            self._instances = max(count, 1)
            for allowance in self._allowances.values():
                allowance.retries += self._share() - share_before

    def record_request(self, service: str, now_seconds: float) -> None:
        """
        Record a request, which adds a fraction of a retry to the budget.

        :param service: The service of the request.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            allowance = self._refill(service, now_seconds)
            max_retries = self._share() + self._ratio * self._window_seconds
            allowance.retries = min(
                allowance.retries + self._ratio * BUDGET_FRACTION, max_retries
            )

    def level(self, service: str, now_seconds: float) -> float:
        """
        Return the available retries of a service.

        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._refill(service, now_seconds).retries

    def has_retry(self, service: str, now_seconds: float) -> bool:
        """
        Tell whether a retry is available for a service.

        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        """
        return self.level(service, now_seconds) >= 1.0

    def spend(self, service: str, now_seconds: float, cost: int = 1) -> bool:
        """
        Consume retries of a service if they are available.

        :param service: Name of the service.
        :param now_seconds: Monotonic time.
        :param cost: Number of retries; either all or none are consumed.
        :returns: False if fewer are available.
        """
        with self._lock:
            allowance = self._refill(service, now_seconds)
            if allowance.retries < cost:
                return False
            allowance.retries -= cost
            return True

    def _share(self) -> float:
        return self._slack * BUDGET_FRACTION / self._instances

    def _refill(self, service: str, now_seconds: float) -> _ServiceAllowance:
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = _ServiceAllowance(self._share(), now_seconds)
            self._allowances[service] = allowance
        elapsed_seconds = now_seconds - allowance.refilled_seconds
        refill = self._share() * elapsed_seconds / self._window_seconds
        # The refill raises the budget up to the share; requests may raise it
        # further.
        allowance.retries = max(
            allowance.retries, min(allowance.retries + refill, self._share())
        )
        allowance.refilled_seconds = now_seconds
        return allowance
