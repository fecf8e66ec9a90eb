"""Figures, targets and the page, from made-up calls."""

import pytest
from attrs import evolve

from waxwing_testbed.bench import (
    OURS,
    CustomerFigures,
    RunResult,
    broken_promise,
    customer_figures,
    goodput_by_second,
    scenarios,
)
from waxwing_testbed.bench._report import write_report
from waxwing_testbed.bench._result import read_results, write_result
from waxwing_testbed.bench._scenario import CustomerLoad
from waxwing_testbed.bench._targets import Verdict, check_targets
from waxwing_testbed.history import CallEvent, CallKind, CallOutcome

LOAD = CustomerLoad("panay", 1.0, 2.0, ())
RESULT = RunResult(
    scenario="flips",
    variant=OURS,
    seed=1,
    seconds=2.0,
    customers=(CustomerFigures("panay", 10, 10, 9, 9, 0),),
    goodput_by_second=(4, 5),
    shortfalls=(),
    lost=0,
    spend=0.0,
    role_changes_max=4,
    role_changes=4,
    cut_streams=0,
    cheap_ratio=0.0,
    bought=0,
    command="bench",
)


def call(at_seconds, outcome=CallOutcome.WHOLE, **changes):
    event = CallEvent(
        call_id=str(at_seconds),
        request_id="",
        kind=CallKind.CHAT,
        customer_id="panay",
        instance="",
        idempotency_key="",
        started_seconds=at_seconds,
        ended_seconds=at_seconds + 0.5,
        status=200,
        outcome=outcome,
        first_token_seconds=0.1,
        output_tokens=11,
    )
    return evolve(event, **changes)


def test_promises():
    assert broken_promise(call(0.0)) == ""
    assert broken_promise(call(0.0, first_token_seconds=0.9)) == "first token late"
    assert broken_promise(call(0.0, ended_seconds=1.3)) == "tokens slow"


def test_refusals_inside_the_rate_follow_one_bucket():
    refused = {"outcome": CallOutcome.NOT_RUN, "detail": "rate_limited"}
    events = [call(0.0), call(0.1, **refused), call(0.2, **refused), call(5.0)]
    figures = customer_figures(LOAD, events, 0.1)
    assert figures == CustomerFigures("panay", 3, 2, 1, 1, 1)
    noisy = customer_figures(evolve(LOAD, exceeds_rate=True), events, 0.1)
    assert noisy.refused_within_rate == 0


def test_goodput_by_second_of_the_call():
    late = call(1.2, first_token_seconds=2.0)
    events = [call(0.5), call(1.1), late, call(2.9), call(3.1)]
    assert goodput_by_second(events, 1.0, 2) == (1, 1)


@pytest.mark.parametrize(
    ("good", "changes", "expected"),
    [
        ((9, 9), (4, 4), (Verdict.MET, Verdict.MET)),
        ((9, 8), (4, 5), (Verdict.MISSED, Verdict.MISSED)),
        ((9, 9, 8), (4, 4, 5), (Verdict.MET_BY_MEDIAN, Verdict.MET_BY_MEDIAN)),
    ],
)
def test_targets_are_judged_by_median_and_worst_seed(good, changes, expected):
    results = []
    for seed, (count, change) in enumerate(zip(good, changes, strict=True)):
        ours = CustomerFigures("panay", 10, 10, count, count, 0)
        ours_run = evolve(RESULT, seed=seed, customers=(ours,), role_changes_max=change)
        best = CustomerFigures("panay", 10, 10, 10, 10, 0)
        worse = evolve(ours_run, variant="worse", role_changes_max=99)
        results += [
            ours_run,
            worse,
            evolve(worse, variant="hindsight", customers=(best,)),
        ]
    checks = {check.text.split()[0]: check for check in check_targets(results, 2)}
    assert (checks["goodput"].verdict, checks["role"].verdict) == expected


def test_page_is_written_from_the_raw_files(tmp_path):
    write_result(tmp_path, RESULT)
    write_result(tmp_path, evolve(RESULT, variant="all mixed"))
    results = read_results(tmp_path)
    assert RESULT in results
    write_report(tmp_path, scenarios(), results)
    page = (tmp_path / "README.md").read_text()
    assert "| all mixed | 1 | 4.50 (4.50) |" in page
    assert (tmp_path / "flips.svg").exists()


def test_each_scenario_begins_with_the_usual_policies():
    for scenario in scenarios():
        first = scenario.variants[0]
        assert first.name == OURS
        assert (first.entry_settings, first.control_settings) == ({}, {})
