"""Measures each policy beside its baselines in real processes."""

from waxwing_testbed.bench._figures import (
    CustomerFigures,
    broken_promise,
    calls_within_rate,
    customer_figures,
    goodput_by_second,
    is_good,
)
from waxwing_testbed.bench._result import ReportFigures, RunResult
from waxwing_testbed.bench._run import RunPlan, report_figures, run
from waxwing_testbed.bench._scenario import OURS, Scenario, Variant
from waxwing_testbed.bench._scenarios import scenarios

__all__ = [
    "OURS",
    "CustomerFigures",
    "ReportFigures",
    "RunPlan",
    "RunResult",
    "Scenario",
    "Variant",
    "broken_promise",
    "calls_within_rate",
    "customer_figures",
    "goodput_by_second",
    "is_good",
    "report_figures",
    "run",
    "scenarios",
]
