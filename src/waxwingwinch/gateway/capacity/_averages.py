"""Moving averages of logarithms of durations, and their significance."""

import math

from attrs import define, field

#: Time constants of the averages of an upstream. The long one covers the
#: differences that last, such as those between availability zones; the short
#: one covers disturbances, of which the shortest take 0.6 s.
LASTING_SECONDS, PASSING_SECONDS = 30.0, 2.0
#: Samples that the short average counts for at most. Instances that choose
#: one idle upstream at once all meet the wait that they cause.
PASSING_MAX_WEIGHT = 4.0
#: Samples that the short average counts for when one is far slower.
SURPRISED_WEIGHT = 1.0
#: Standard errors beyond which a difference counts; waits have longer tails
#: than a normal distribution.
SIGNIFICANT_ERRORS = 3.0
#: Independent samples that an average rests on at most. Samples of one
#: disturbance or wait share their cause; with all of them counted, upstreams
#: with disturbances of 0.6 s seemed to differ lastingly.
MAX_INDEPENDENT = 8.0
#: Smallest differences that count, as logarithms. Lasting ones below 16 % gain
#: less than moving a prompt away from its cache costs; passing ones below 2
#: times come from waits.
LASTING_MIN, PASSING_MIN = 0.15, 0.7
#: Time between the first and the last of the slow samples of a row from which
#: an upstream counts as slow for the time being. Waits that instances cause at
#: once, and disturbances of 0.6 s, are over when they are known.
SLOW_SECONDS = 0.6
#: Largest deviation of a sample that enters the lasting average, in standard
#: deviations, so that a passing disturbance changes it little.
LASTING_CLIP = 2.0
#: Bounds of the logarithm of a single measurement. Work that isn't known here
#: yet looks like a slow upstream.
MIN_SAMPLE, MAX_SAMPLE = math.log(0.25), math.log(8.0)
#: Initial standard deviation of samples, as a logarithm; three times it is 2.5
#: times the usual duration.
INITIAL_SPREAD = 0.3
#: Samples that the initial standard deviation counts for.
INITIAL_SPREAD_WEIGHT = 5.0
#: Smallest standard deviation, so that a service with equal durations doesn't
#: take the delay of a thread for a difference.
MIN_SPREAD = 0.05
#: Samples of a mean at which differences from it count half.
MATURE_SAMPLES = 4.0
#: Samples over which the mean and the deviation of a service are formed.
BASELINE_SAMPLES = 200.0


@define
class Average:
    """
    An average whose samples lose weight with their age.

    :param span_seconds: Time in which the weight falls to 1/e.
    :param max_weight: Largest weight; bounds what many samples of one moment,
        which share their cause, count for.
    :param mean: The average.
    :param weight: Number of samples, at the time of the last.
    :param at_seconds: Monotonic time of the last sample.
    """

    span_seconds: float
    max_weight: float = math.inf
    mean: float = 0.0
    weight: float = 0.0
    at_seconds: float = 0.0

    def weight_at(self, now_seconds: float) -> float:
        """
        Return the number of samples that are left after their ageing.

        :param now_seconds: Monotonic time.
        """
        age_seconds = max(now_seconds - self.at_seconds, 0.0)
        return self.weight * math.exp(-age_seconds / self.span_seconds)

    def add(self, value: float, weight: float, now_seconds: float) -> None:
        """
        Add samples.

        :param value: Their mean.
        :param weight: Their number.
        :param now_seconds: Monotonic time at which they were taken.
        """
        if now_seconds < self.at_seconds:
            # Samples of a peer may be older than the last of this process.
            weight *= math.exp((now_seconds - self.at_seconds) / self.span_seconds)
            now_seconds = self.at_seconds
        total = self.weight_at(now_seconds) + weight
        if total > 0:
            self.mean += (value - self.mean) * weight / total
        self.weight, self.at_seconds = min(total, self.max_weight), now_seconds


@define
class Baseline:
    """
    The mean of a service's logarithmic measurements, and their spread.

    :param mean: The mean.
    :param weight: Samples that the mean counts for; 0 if it isn't known.
    """

    mean: float = 0.0
    weight: float = 0.0
    _variance: float = INITIAL_SPREAD**2
    _variance_weight: float = INITIAL_SPREAD_WEIGHT

    @property
    def spread(self) -> float:
        """Standard deviation of the samples of one upstream."""
        return max(math.sqrt(self._variance), MIN_SPREAD)

    @property
    def maturity(self) -> float:
        """Weight of differences from the mean; low while it is uncertain."""
        return self.weight / (self.weight + MATURE_SAMPLES)

    def add(self, sample: float, usual: float, weight: float) -> float:
        """
        Add a sample.

        :param sample: Logarithm of the measurement.
        :param usual: Lasting difference of its upstream from the mean.
        :param weight: Weight of the sample, at most 1.
        :returns: The difference of the sample from the mean.
        """
        if not self.weight:
            self.mean = sample
        difference = sample - self.mean
        limit = 3 * self.spread
        self.weight = min(self.weight + weight, BASELINE_SAMPLES)
        if self.weight > 0:
            clipped = min(max(difference, -limit), limit)
            self.mean += clipped * weight / self.weight
        residual = min(abs(difference - usual), limit)
        self._variance_weight = min(self._variance_weight + weight, BASELINE_SAMPLES)
        self._variance += (
            (residual**2 - self._variance) * weight / self._variance_weight
        )
        return difference


@define
class Signal:
    """
    Differences of an upstream's measurements from those of its service.

    :param lasting: The average of the long time.
    :param passing: The average of the short time.
    """

    lasting: Average = field(factory=lambda: Average(LASTING_SECONDS))
    passing: Average = field(
        factory=lambda: Average(PASSING_SECONDS, PASSING_MAX_WEIGHT)
    )
    _slow_from_seconds: float = math.inf
    _slow_until_seconds: float = 0.0

    def add(
        self, difference: float, spread: float, weight: float, now_seconds: float
    ) -> None:
        """
        Add samples.

        :param difference: Their mean difference.
        :param spread: Standard deviation of single samples.
        :param weight: Their number.
        :param now_seconds: Monotonic time at which they were taken.
        """
        mean = self.lasting.mean if self.lasting.weight else 0.0
        limit = LASTING_CLIP * spread
        clipped = min(max(difference, mean - limit), mean + limit)
        self.lasting.add(clipped, weight, now_seconds)
        limit = max(SIGNIFICANT_ERRORS * spread, PASSING_MIN)
        if difference < mean + limit / 2:
            self._slow_from_seconds = math.inf
        else:
            self._slow_from_seconds = min(self._slow_from_seconds, now_seconds)
            self._slow_until_seconds = now_seconds
        if difference > self.passing.mean + limit:
            # What the upstream did before says little now. After a return to
            # the usual speed, earlier samples keep their weight: one quick
            # answer doesn't bring all requests back.
            self.passing.weight = min(self.passing.weight, SURPRISED_WEIGHT)
        self.passing.add(difference, weight, now_seconds)

    def difference(self, spread: float, now_seconds: float) -> float:
        """
        Return the significant difference; 0 while it is within the noise.

        :param spread: Standard deviation of single samples.
        :param now_seconds: Monotonic time.
        """
        lasting = significant(
            self.lasting.mean,
            SIGNIFICANT_ERRORS * _error(spread, self.lasting, now_seconds),
            LASTING_MIN,
        )
        change = self.passing.mean - lasting
        noise = SIGNIFICANT_ERRORS * _error(spread, self.passing, now_seconds)
        if abs(change) <= max(noise, PASSING_MIN):
            return lasting
        slow_seconds = self._slow_until_seconds - self._slow_from_seconds
        return lasting + change if slow_seconds >= SLOW_SECONDS else lasting


def significant(difference: float, noise: float, minimum: float) -> float:
    """
    Return a difference without the part that noise may explain.

    Continuous: 0 up to the limit, and the difference itself far beyond it.

    :param difference: Mean difference of the samples.
    :param noise: Difference up to which it counts as noise.
    :param minimum: Difference up to which it is too small to count.
    """
    limit = max(noise, minimum)
    if abs(difference) <= limit:
        return 0.0
    return difference * (1.0 - (limit / difference) ** 4)


def _error(spread: float, average: Average, now_seconds: float) -> float:
    """Return the standard error of an average; infinite without samples."""
    weight = min(average.weight_at(now_seconds), MAX_INDEPENDENT)
    return spread / math.sqrt(weight) if weight > 0 else math.inf
