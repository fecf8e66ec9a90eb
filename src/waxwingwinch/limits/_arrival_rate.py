"""Arrival rate of requests as an exponential moving average."""

import math

#: Time constant of the moving average.
ARRIVALS_TIME_CONSTANT_SECONDS = 1.0


class ArrivalRate:
    """Estimates the recent arrival rate of requests."""

    def __init__(self) -> None:
        self._per_second = 0.0
        self._updated_seconds = -math.inf

    def record_arrival(self, now_seconds: float) -> None:
        """
        Record the arrival of one request.

        :param now_seconds: Monotonic time.
        """
        self._decay(now_seconds)
        self._per_second += 1 / ARRIVALS_TIME_CONSTANT_SECONDS

    def per_second(self, now_seconds: float) -> float:
        """
        Return the estimated arrivals per second.

        :param now_seconds: Monotonic time.
        """
        self._decay(now_seconds)
        return self._per_second

    def _decay(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._updated_seconds)
        self._per_second *= math.exp(-elapsed_seconds / ARRIVALS_TIME_CONSTANT_SECONDS)
        self._updated_seconds = max(self._updated_seconds, now_seconds)
