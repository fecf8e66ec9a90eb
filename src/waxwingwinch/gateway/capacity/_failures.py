"""Recent failures of an upstream."""

from attrs import define, field

from waxwingwinch.gateway.capacity._averages import Average

#: Time constants of failure rates, of an upstream and of its service. The
#: first is several times the longest ejection, so that an upstream that fails
#: a part of its requests isn't forgotten between them.
FAILURE_SECONDS, SERVICE_FAILURE_SECONDS = 12.0, 30.0
#: Successes that an upstream without requests is assumed to have had, so that
#: one failure counts as a third.
ASSUMED_SUCCESSES = 2.0
#: Failure rate above that of the service from which it counts; an upstream
#: that fails less often costs less than a longer way.
MIN_EXCESS = 0.1


@define
class FailureRate:
    """
    Fraction of requests that failed.

    :param average: Average with a sample of 1 for each failure, 0 for each
        success.
    """

    average: Average = field(factory=lambda: Average(FAILURE_SECONDS))

    def add(self, requests: int, failures: int, now_seconds: float) -> None:
        """
        Count requests that ended.

        :param requests: Their number.
        :param failures: Number of those that failed or were refused.
        :param now_seconds: Monotonic time.
        """
        if requests > 0:
            self.average.add(failures / requests, requests, now_seconds)

    def rate(self, now_seconds: float) -> float:
        """
        Return the rate; it falls while there are no requests.

        :param now_seconds: Monotonic time.
        """
        weight = self.average.weight_at(now_seconds)
        return self.average.mean * weight / (weight + ASSUMED_SUCCESSES)

    def excess(self, service: "FailureRate", now_seconds: float) -> float:
        """
        Return the rate if it is clearly above that of the service, else 0.

        :param service: The rate of the service.
        :param now_seconds: Monotonic time.
        """
        rate = self.rate(now_seconds)
        return rate if rate > service.rate(now_seconds) + MIN_EXCESS else 0.0


def service_failure_rate() -> FailureRate:
    """Return the rate of a service without requests."""
    return FailureRate(Average(SERVICE_FAILURE_SECONDS))
