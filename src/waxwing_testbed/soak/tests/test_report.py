"""The report of a soak in which a rule broke."""

import pathlib

from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._cases import Case
from waxwing_testbed.soak._events import Cause, Disruption, Ended, Published
from waxwing_testbed.soak._history import make_history
from waxwing_testbed.soak._report import format_report, write_plot
from waxwing_testbed.soak._run import SoakResult
from waxwing_testbed.soak._schedule import make_schedule

HISTORY = make_history(
    Bounds(),
    (
        Published(1, frozenset(), frozenset(), 8.0, 4.0, 0.0, 0.0),
        Disruption(Cause.START, "edge-0", 0.0, 0.0, "edge-0-1.log"),
        Disruption(Cause.START, "edge-1", 0.0, 0.0, "edge-1-1.log"),
        Disruption(Cause.TERM, "edge-0", 2.0, 10.0),
        Disruption(Cause.START, "edge-0", 9.0, 9.0, "edge-0-2.log"),
        Ended("edge-0", 8.5, 0, True, 1),
    ),
)
CASES = [
    Case("LOST", "c1-7", "edge-0", 8.0, "cut"),
    Case("FAULT", "", "edge-0", 12.0, "ended"),
]
RESULT = SoakResult(HISTORY, CASES, {7.5: 0.3, 6.0: 0.4})


def test_each_case_names_its_request_and_the_log_of_its_process():
    schedule = make_schedule(2, 2, 20.0)
    report = format_report(RESULT, schedule, "waxwing-soak", pathlib.Path("logs"))
    assert "broken: {'LOST': 1, 'FAULT': 1}" in report
    assert "largest lag of the soak's own threads: 0.400 s" in report
    lost, fault = report.splitlines()[-2:]
    assert lost.endswith(
        "edge-0, request c1-7: cut; own lag shortly before 0.300 s; logs/edge-0-1.log"
    )
    assert fault.endswith(
        "edge-0, request -: ended; own lag shortly before 0.000 s; logs/edge-0-2.log"
    )


def test_the_plot_is_written(tmp_path):
    path = tmp_path / "soak.svg"
    write_plot(RESULT, path)
    assert b"<svg" in path.read_bytes()
