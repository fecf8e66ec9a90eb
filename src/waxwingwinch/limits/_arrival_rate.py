"""How often requests come, as an exponential average."""

import math

#: Time constant of the average.
ARRIVALS_TIME_CONSTANT_SECONDS = 1.0


class ArrivalRate:
    """Estimates the recent rate of arrivals."""

    def __init__(self) -> None:
        self._per_second = 0.0
        self._updated_seconds = -math.inf

    def record_arrival(self, now_seconds: float) -> None:
        """
        Count an arrival.

        :param now_seconds: Monotonic time.
        """
        self._decay(now_seconds)
        self._per_second += 1 / ARRIVALS_TIME_CONSTANT_SECONDS

    def per_second(self, now_seconds: float) -> float:
        """
        Return the estimate.

        :param now_seconds: Monotonic time.
        """
        self._decay(now_seconds)
        return self._per_second

    def _decay(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._updated_seconds)
        self._per_second *= math.exp(-elapsed_seconds / ARRIVALS_TIME_CONSTANT_SECONDS)
        self._updated_seconds = max(self._updated_seconds, now_seconds)
