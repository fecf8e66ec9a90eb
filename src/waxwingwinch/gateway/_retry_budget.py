"""A budget of repeated sends, kept by each instance for its share."""

import threading

from attrs import define

#: Instances that share the slack until their number is known; deployments
#: have a hundred or fewer.
ASSUMED_INSTANCES = 100
#: Part of the allowed ratio and slack that is used; the rest covers
#: processes that start anew with a full share.
BUDGET_FRACTION = 0.4


@define
class _ServiceAllowance:
    """
    Repeats that one service may still get.

    :param repeats: How many.
    :param filled_seconds: Monotonic time of the last refill.
    """

    retries: float
    refilled_seconds: float


class RetryBudget:
    """
    Limits the sends beyond the first of each request, by service.

    :param ratio: Repeats allowed for each request.
    :param slack: Repeats allowed besides, by all instances in one window.
    :param window_seconds: The window.
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
        Follow changed bounds.

        :param ratio: Repeats allowed for each request.
        :param slack: Repeats allowed besides, by all instances in one window.
        :param window_seconds: The window.
        """
        with self._lock:
            self._ratio = ratio
            self._slack = slack
            self._window_seconds = window_seconds

    def set_instances(self, count: int) -> None:
        """
        Note how many instances share the slack.

        :param count: Their number.
        """
        with self._lock:
            share_before = self._share()
            self._instances = max(count, 1)
            for allowance in self._allowances.values():
                allowance.retries += self._share() - share_before

    def record_request(self, service: str, now_seconds: float) -> None:
        """
        Count a request, which earns a part of a repeat.

        :param service: Its service.
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
        Return the repeats that are left.

        :param service: The service that they would go to.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._refill(service, now_seconds).retries

    def has_retry(self, service: str, now_seconds: float) -> bool:
        """
        Tell whether a repeat could be taken.

        :param service: The service that it would go to.
        :param now_seconds: Monotonic time.
        """
        return self.level(service, now_seconds) >= 1.0

    def spend(self, service: str, now_seconds: float) -> bool:
        """
        Take one repeat if there is one.

        :param service: The service that it goes to.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            allowance = self._refill(service, now_seconds)
            if allowance.retries < 1.0:
                return False
            allowance.retries -= 1.0
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
        allowance.retries = max(
            allowance.retries, min(allowance.retries + refill, self._share())
        )
        allowance.refilled_seconds = now_seconds
        return allowance
