"""Short forecasts of the work that comes for each model."""

import math

from attrs import define, field, frozen

from waxwingwinch._types import ModelName
from waxwingwinch.contracts import DemandSample

#: Length of the steps in which arrivals are added up.
BUCKET_SECONDS = 1.0
#: Time constant of the level.
LEVEL_SECONDS = 5.0
#: Time constant of the trend.
TREND_SECONDS = 15.0
#: A trend is followed no further than this.
MAX_TREND_SECONDS = 15.0
#: Time constant of the mean answer length.
ANSWER_SECONDS = 60.0
#: Answer length assumed before any was seen.
FIRST_ANSWER_TOKENS = 100.0
#: Number of seen answers that the assumption weighs as much as.
FIRST_ANSWERS = 20.0
#: After a longer silence the smoothing starts again.
MAX_GAP_SECONDS = 60.0


@frozen
class WorkForecast:
    """
    Expected mean work of a model.

    :param model: The model.
    :param prompt_tokens_per_second: Prompt tokens that will arrive.
    :param output_tokens_per_second: Tokens that will have to be generated.
    """

    model: ModelName
    prompt_tokens_per_second: float
    output_tokens_per_second: float


@define
class _Series:
    """Holt's linear smoothing of one rate."""

    level: float | None = None
    trend: float = 0.0

    def add(self, rate: float) -> None:
        """Take in the rate of the next step."""
        if self.level is None:
            self.level = rate
            return
        level_weight = 1 - math.exp(-BUCKET_SECONDS / LEVEL_SECONDS)
        trend_weight = 1 - math.exp(-BUCKET_SECONDS / TREND_SECONDS)
        expected = self.level + self.trend * BUCKET_SECONDS
        level = expected + level_weight * (rate - expected)
        slope = (level - self.level) / BUCKET_SECONDS
        self.trend += trend_weight * (slope - self.trend)
        self.level = level

    def mean_over(self, horizon_seconds: float) -> float:
        """Return the expected mean over the horizon."""
        if self.level is None:
            return 0.0
        reach_seconds = min(horizon_seconds / 2, MAX_TREND_SECONDS)
        return max(0.0, self.level + self.trend * reach_seconds)


@define
class _ModelDemand:
    """Arrivals of one model in the running step, and the smoothed past."""

    step_end_seconds: float
    prompt_tokens: float = 0.0
    requests: float = 0.0
    prompts: _Series = field(factory=_Series)
    arrivals: _Series = field(factory=_Series)
    answers: float = FIRST_ANSWERS
    answers_tokens: float = FIRST_ANSWERS * FIRST_ANSWER_TOKENS

    @property
    def answer_tokens(self) -> float:
        """Mean length of the recent answers."""
        return self.answers_tokens / self.answers

    def add_answers(self, count: int, tokens: int) -> None:
        """Count answers and their tokens."""
        self.answers += count
        self.answers_tokens += tokens

    def fade_answers(self, seconds: float) -> None:
        """Let counted answers weigh less, the more the older they are."""
        kept_ratio = math.exp(-seconds / ANSWER_SECONDS)
        if self.answers * kept_ratio >= FIRST_ANSWERS:
            self.answers *= kept_ratio
            self.answers_tokens *= kept_ratio


class DemandForecaster:
    """Smooths the demand that entries report in their heartbeats."""

    def __init__(self) -> None:
        self._by_model: dict[ModelName, _ModelDemand] = {}

    def add(self, sample: DemandSample, now_seconds: float) -> None:
        """
        Take in what came to one instance.

        Output is forecast from arrivals and the mean answer length: what a
        saturated fleet generates would understate it.

        :param sample: The sample.
        :param now_seconds: Monotonic time of receipt.
        """
        demand = self._advance(sample.model, now_seconds)
        demand.prompt_tokens += sample.prompt_tokens
        demand.requests += sample.requests
        answered = sample.requests - sample.refused
        if answered > 0 and sample.output_tokens > 0:
            demand.add_answers(answered, sample.output_tokens)

    def forecast(
        self, horizon_seconds: float, now_seconds: float
    ) -> tuple[WorkForecast, ...]:
        """
        Return the expected work of each model that was asked for.

        :param horizon_seconds: Over which time.
        :param now_seconds: Monotonic time.
        """
        forecasts = []
        for model in sorted(self._by_model):
            demand = self._advance(model, now_seconds)
            prompts = demand.prompts.mean_over(horizon_seconds)
            arrivals = demand.arrivals.mean_over(horizon_seconds)
            output = arrivals * demand.answer_tokens
            forecasts.append(WorkForecast(model, prompts, output))
        return tuple(forecasts)

    def _advance(self, model: ModelName, now_seconds: float) -> _ModelDemand:
        """Close the steps that are over."""
        demand = self._by_model.get(model)
        if demand is None or now_seconds - demand.step_end_seconds > MAX_GAP_SECONDS:
            demand = _ModelDemand(now_seconds + BUCKET_SECONDS)
            self._by_model[model] = demand
        while now_seconds >= demand.step_end_seconds:
            demand.prompts.add(demand.prompt_tokens / BUCKET_SECONDS)
            demand.arrivals.add(demand.requests / BUCKET_SECONDS)
            demand.prompt_tokens = demand.requests = 0.0
            demand.fade_answers(BUCKET_SECONDS)
            demand.step_end_seconds += BUCKET_SECONDS
        return demand
