"""Short soaks with real gateway processes."""

import pytest

from waxwing_testbed.soak._events import Answered, Cause, Kind
from waxwing_testbed.soak._report import format_report, write_plot
from waxwing_testbed.soak._run import run_soak
from waxwing_testbed.soak._schedule import make_schedule

INSTANCES = 2
CALLERS = 16
SECONDS = 12.0


@pytest.mark.parametrize("seed", [2, 3])
def test_no_rule_breaks_in_a_short_soak(seed, tmp_path):
    schedule = make_schedule(seed, INSTANCES, SECONDS)
    result = run_soak(schedule, seed, INSTANCES, CALLERS, SECONDS, tmp_path)
    report = format_report(result, schedule, f"seed {seed}", tmp_path)
    write_plot(result, tmp_path / "soak.svg")
    assert result.cases == [], report
    history = result.history
    assert history.disturbances((Cause.TERM,), 0.0, SECONDS), report
    answered = {
        call.kind
        for call in history.calls
        if isinstance(call.result, Answered) and call.result.status == 200
    }
    assert answered >= set(Kind) - {Kind.PROBE}, report
