"""A budget of repeated sends, kept by each instance for its share."""

import threading

from attrs import define

#: Instances that share the slack until their number is known; deployments
#: have a hundred or fewer.
UNKNOWN_INSTANCES = 100
#: Part of the allowed ratio and slack that is used; the rest covers
#: processes that start anew with a full share.
BUDGET_SHARE = 0.4


@define
class _Account:
    """
    Repeats that one service may still get.

    :param repeats: How many.
    :param filled_seconds: Monotonic time of the last refill.
    """

    repeats: float
    filled_seconds: float


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
        self._instances = UNKNOWN_INSTANCES
        self._accounts: dict[str, _Account] = {}
        self._lock = threading.Lock()

    def set_terms(self, ratio: float, slack: float, window_seconds: float) -> None:
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
            for account in self._accounts.values():
                account.repeats += self._share() - share_before

    def requested(self, service: str, now_seconds: float) -> None:
        """
        Count a request, which earns a part of a repeat.

        :param service: Its service.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            account = self._filled(service, now_seconds)
            most = self._share() + self._ratio * self._window_seconds
            account.repeats = min(account.repeats + self._ratio * BUDGET_SHARE, most)

    def level(self, service: str, now_seconds: float) -> float:
        """
        Return the repeats that are left.

        :param service: The service that they would go to.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._filled(service, now_seconds).repeats

    def has_repeat(self, service: str, now_seconds: float) -> bool:
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
            account = self._filled(service, now_seconds)
            if account.repeats < 1.0:
                return False
            account.repeats -= 1.0
            return True

    def _share(self) -> float:
        return self._slack * BUDGET_SHARE / self._instances

    def _filled(self, service: str, now_seconds: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = _Account(self._share(), now_seconds)
            self._accounts[service] = account
        elapsed_seconds = now_seconds - account.filled_seconds
        refill = self._share() * elapsed_seconds / self._window_seconds
        account.repeats = max(
            account.repeats, min(account.repeats + refill, self._share())
        )
        account.filled_seconds = now_seconds
        return account
