"""Short-term forecasts of the work of each model."""

import math

from attrs import define, field, frozen

from waxwingwinch._types import ModelName
from waxwingwinch.contracts import DemandSample

#: Length of the time buckets in which arrivals are summed.
BUCKET_SECONDS = 1.0
#: Time constant of the smoothed level.
LEVEL_TIME_CONSTANT_SECONDS = 5.0
#: Time constant of the smoothed trend.
TREND_TIME_CONSTANT_SECONDS = 15.0
#: Maximum time over which a trend is extrapolated.
MAX_TREND_EXTRAPOLATION_SECONDS = 15.0
#: Time constant of the mean response length.
RESPONSE_LENGTH_TIME_CONSTANT_SECONDS = 60.0
#: Response length assumed before any response was seen.
PRIOR_RESPONSE_TOKENS = 100.0
#: Weight of the assumed response length, in number of seen responses.
PRIOR_RESPONSE_COUNT = 20.0
#: Gap without samples or forecasts after which smoothing starts afresh.
RESET_GAP_SECONDS = 60.0


@frozen
class WorkForecast:
    """
    Expected mean work of a model over the horizon.

    :param model: The model.
    :param prompt_tokens_per_second: Rate of arriving prompt tokens.
    :param output_tokens_per_second: Rate of output tokens to generate.
    """

    model: ModelName
    prompt_tokens_per_second: float
    output_tokens_per_second: float


@define
class _SmoothedRate:
    """A rate with Holt's linear exponential smoothing (level and trend)."""

    level: float | None = None
    trend: float = 0.0

    def add(self, rate: float) -> None:
        """Add the rate of the next bucket."""
        if self.level is None:
            self.level = rate
            return
        level_weight = 1 - math.exp(-BUCKET_SECONDS / LEVEL_TIME_CONSTANT_SECONDS)
        trend_weight = 1 - math.exp(-BUCKET_SECONDS / TREND_TIME_CONSTANT_SECONDS)
        predicted = self.level + self.trend * BUCKET_SECONDS
        level = predicted + level_weight * (rate - predicted)
        slope = (level - self.level) / BUCKET_SECONDS
        self.trend += trend_weight * (slope - self.trend)
        self.level = level

    def mean_over(self, horizon_seconds: float) -> float:
        """Return the expected mean over the horizon."""
        if self.level is None:
            return 0.0
        # The mean of a linear trend is its value at half the horizon.
        extrapolation_seconds = min(
            horizon_seconds / 2, MAX_TREND_EXTRAPOLATION_SECONDS
        )
        return max(0.0, self.level + self.trend * extrapolation_seconds)


@define
class _ModelDemand:
    """Arrivals of a model in the current bucket, and its smoothed rates."""

    bucket_end_seconds: float
    prompt_tokens: float = 0.0
    requests: float = 0.0
    prompts: _SmoothedRate = field(factory=_SmoothedRate)
    arrivals: _SmoothedRate = field(factory=_SmoothedRate)
    response_count: float = PRIOR_RESPONSE_COUNT
    total_response_tokens: float = PRIOR_RESPONSE_COUNT * PRIOR_RESPONSE_TOKENS

    @property
    def mean_response_tokens(self) -> float:
        """Mean length of the recent responses."""
        return self.total_response_tokens / self.response_count

    def add_responses(self, count: int, tokens: int) -> None:
        """Count responses and their tokens."""
        self.response_count += count
        self.total_response_tokens += tokens

    def decay_responses(self, seconds: float) -> None:
        """Decay the weight of counted responses, down to the prior weight."""
        decay_factor = math.exp(-seconds / RESPONSE_LENGTH_TIME_CONSTANT_SECONDS)
        if self.response_count * decay_factor >= PRIOR_RESPONSE_COUNT:
            self.response_count *= decay_factor
            self.total_response_tokens *= decay_factor


class DemandForecaster:
    """Forecasts demand from the samples in the heartbeats of entries."""

    def __init__(self) -> None:
        self._by_model: dict[ModelName, _ModelDemand] = {}

    def add(self, sample: DemandSample, now_seconds: float) -> None:
        """
        Add the demand that one instance received.

        Output is forecast from arrivals and the mean response length, because
        the output that a saturated fleet generates understates the demand.

        :param sample: Demand of one model at one instance.
        :param now_seconds: Monotonic time of receipt.
        """
        demand = self._advance(sample.model, now_seconds)
        demand.prompt_tokens += sample.prompt_tokens
        demand.requests += sample.requests
        answered_requests = sample.requests - sample.refused
        if answered_requests > 0 and sample.output_tokens > 0:
            demand.add_responses(answered_requests, sample.output_tokens)

    def forecast(
        self, horizon_seconds: float, now_seconds: float
    ) -> tuple[WorkForecast, ...]:
        """
        Return the expected work of each requested model.

        :param horizon_seconds: Time over which the work is averaged.
        :param now_seconds: Monotonic time.
        """
        forecasts = []
        for model in sorted(self._by_model):
            demand = self._advance(model, now_seconds)
            prompts = demand.prompts.mean_over(horizon_seconds)
            arrivals = demand.arrivals.mean_over(horizon_seconds)
            output = arrivals * demand.mean_response_tokens
            forecasts.append(WorkForecast(model, prompts, output))
        return tuple(forecasts)

    def _advance(self, model: ModelName, now_seconds: float) -> _ModelDemand:
        """Add the buckets that have ended to the smoothed rates."""
        demand = self._by_model.get(model)
        if (
            demand is None
            or now_seconds - demand.bucket_end_seconds > RESET_GAP_SECONDS
        ):
            demand = _ModelDemand(now_seconds + BUCKET_SECONDS)
            self._by_model[model] = demand
        while now_seconds >= demand.bucket_end_seconds:
            demand.prompts.add(demand.prompt_tokens / BUCKET_SECONDS)
            demand.arrivals.add(demand.requests / BUCKET_SECONDS)
            demand.prompt_tokens = demand.requests = 0.0
            demand.decay_responses(BUCKET_SECONDS)
            demand.bucket_end_seconds += BUCKET_SECONDS
        return demand
