"""Tests of the demand forecast."""

import pytest

from waxwingwinch._types import ModelName
from waxwingwinch.contracts import DemandSample
from waxwingwinch.decisions import DemandForecaster

M = ModelName("m")


def sample(requests, prompt_tokens, output_tokens=0, refused=0):
    return DemandSample(M, 1.0, requests, prompt_tokens, output_tokens, refused, 0)


def feed(forecaster, rates, now_seconds=100.0):
    for rate in rates:
        forecaster.add(sample(1, rate), now_seconds)
        now_seconds += 1.0
    return now_seconds


def test_steady_demand_is_forecast_unchanged():
    forecaster = DemandForecaster()
    now_seconds = feed(forecaster, [500] * 120)
    [work] = forecaster.forecast(30.0, now_seconds)
    assert work.prompt_tokens_per_second == pytest.approx(500, rel=0.01)


def test_growing_demand_is_extrapolated_and_falling_demand_is_not_negative():
    forecaster = DemandForecaster()
    now_seconds = feed(forecaster, range(0, 1_000, 20))
    [work] = forecaster.forecast(30.0, now_seconds)
    assert work.prompt_tokens_per_second > 1_000
    now_seconds = feed(forecaster, [0] * 20, now_seconds)
    [work] = forecaster.forecast(60.0, now_seconds)
    assert work.prompt_tokens_per_second >= 0


def test_refused_requests_count_with_the_mean_response_length():
    forecaster = DemandForecaster()
    now_seconds = 100.0
    for _ in range(300):
        forecaster.add(sample(4, 400, 100, refused=2), now_seconds)
        now_seconds += 1.0
    [work] = forecaster.forecast(30.0, now_seconds)
    assert work.output_tokens_per_second == pytest.approx(200, rel=0.05)


def test_response_length_is_learned_within_seconds_of_a_start():
    forecaster = DemandForecaster()
    now_seconds = 100.0
    for _ in range(10):
        forecaster.add(sample(20, 2_000, 600), now_seconds)
        now_seconds += 1.0
    [work] = forecaster.forecast(0.0, now_seconds)
    assert work.output_tokens_per_second == pytest.approx(600, rel=0.25)
