"""The report of a soak: text and a plot."""

import math
import pathlib
from collections import Counter

from matplotlib.figure import Figure

from waxwing_testbed.soak._events import Cause
from waxwing_testbed.soak._history import History
from waxwing_testbed.soak._run import SoakResult
from waxwing_testbed.soak._schedule import Schedule

_SIZE_INCHES = (9.0, 4.0)


def format_report(
    result: SoakResult, schedule: Schedule, command: str, folder: pathlib.Path
) -> str:
    """
    Return the text of the report.

    :param result: What came of the soak.
    :param schedule: What was scheduled.
    :param command: The command that plays it again.
    :param folder: Where the logs are kept.
    """
    history = result.history
    kind = "planned work only" if schedule.is_planned else "planned work and faults"
    lines = [command, f"{kind}; {history.bounds}", "", "schedule:"]
    lines += [f"  {event}" for event in schedule.events]
    lines += ["", "done, by the soak's clock:"]
    lines += [
        f"  {one.started_seconds:7.3f} s {one.cause.value} {one.target} {one.detail}"
        for one in sorted(history.disruptions, key=lambda one: one.started_seconds)
    ]
    lines += [
        f"  {one.sent_seconds:7.3f} s version {one.version}"
        for one in history.published
    ]
    lines += [
        f"  {one.at_seconds:7.3f} s {one.instance} ended with {one.status},"
        f" peak {one.peak_bytes / 1_048_576:.0f} MB"
        for one in history.ends
    ]
    lines += ["", "requests by kind and result:"]
    counts = Counter(
        (call.kind.value, type(call.result).__name__, getattr(call.result, "status", 0))
        for call in history.calls
    )
    lines += [
        f"  {kind:9} {name:9} {status or '-':>4} {count:6}"
        for (kind, name, status), count in sorted(counts.items())
    ]
    lag_seconds = result.lag_seconds(0.0, math.inf)
    lines += ["", f"largest lag of the soak's own threads: {lag_seconds:.3f} s"]
    rules = Counter(case.rule for case in result.cases)
    lines.append(f"broken: {dict(rules)}" if rules else "no rule broken")
    lines += [
        f"  {case.rule} at {case.at_seconds:.3f} s, {case.instance},"
        f" request {case.request_id or '-'}: {case.detail}; own lag shortly before"
        f" {result.lag_seconds(case.at_seconds - 1.0, case.at_seconds):.3f} s;"
        f" {folder / _log_name(history, case.instance, case.at_seconds)}"
        for case in result.cases
    ]
    return "\n".join(lines) + "\n"


def _log_name(history: History, instance: str, at_seconds: float) -> str:
    """Return the log of the process that was an instance at a moment."""
    return history.disturbances((Cause.START,), 0.0, at_seconds, instance)[-1].detail


def write_plot(result: SoakResult, path: pathlib.Path) -> None:
    """
    Draw what was done and which rules broke over time.

    :param result: What came of the soak.
    :param path: File of the SVG.
    """
    figure = Figure(figsize=_SIZE_INCHES, layout="constrained")
    axes = figure.subplots()
    for one in result.history.disruptions:
        span = [one.started_seconds, one.ended_seconds]
        axes.plot(span, [one.cause.value] * 2, "|-", color="tab:blue")
    for version in result.history.published:
        axes.plot([version.sent_seconds], ["configuration"], "|", color="tab:blue")
    for case in result.cases:
        axes.plot([case.at_seconds], [case.rule], "x", color="tab:red")
    axes.set_xlabel("seconds of the soak")
    axes.set_title("events (blue) and broken rules (red)")
    figure.savefig(path, format="svg", metadata={"Date": None, "Creator": None})
