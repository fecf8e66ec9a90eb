"""Checks of the platform's rules over a recorded history."""

from collections.abc import Callable, Iterable

from waxwing_testbed.soak._cases import Case, make_case
from waxwing_testbed.soak._events import Answered, Cause, Kind
from waxwing_testbed.soak._history import History
from waxwing_testbed.soak._lost import check_lost
from waxwing_testbed.soak._requests import ONCE_ROUTE

#: Statuses that promise that a request has not run and won't.
REFUSALS = frozenset((408, 421, 429, 503))
#: Statuses that deny a route or key.
_DENIALS = frozenset((401, 403, 404))
#: An end of a process so soon after a disruption isn't its own.
_OWN_END_SECONDS = 1.0


def check_twice(history: History) -> list[Case]:
    """
    Check that no request ran twice that may run once at most.

    :param history: The history.
    """
    return [
        make_case("TWICE", call, f"{len(history.runs_of(call))} runs")
        for call in history.calls
        if call.route == ONCE_ROUTE and len(history.runs_of(call)) > 1
    ]


def check_refused(history: History) -> list[Case]:
    """
    Check that no request ran that was refused as not run.

    :param history: The history.
    """
    cases = []
    for call in history.calls:
        match call.result:
            case Answered(status=status) if status in REFUSALS:
                if call.route == ONCE_ROUTE and history.runs_of(call):
                    cases.append(
                        make_case("REFUSED", call, f"answered {status}, and ran")
                    )
    return cases


def check_mixed(history: History) -> list[Case]:
    """
    Check that each answer is the upstream's own whole answer.

    :param history: The history.
    """
    cases = []
    for call in history.calls:
        stamps = [run.stamp for run in history.runs_of(call)]
        match call.result:
            case Answered(status=status, stamp=stamp) if 200 <= status < 300:
                if stamp not in stamps:
                    cases.append(
                        make_case("MIXED", call, f"stamp {stamp!r}, not {stamps}")
                    )
        if call.flaw and call.kind is not Kind.STREAM:
            cases.append(make_case("MIXED", call, call.flaw))
    return cases


def check_order(history: History) -> list[Case]:
    """
    Check that the events of streams came in order and without gaps.

    :param history: The history.
    """
    return [
        make_case("ORDER", call, call.flaw)
        for call in history.calls
        if call.flaw and call.kind is Kind.STREAM
    ]


def check_fault(history: History) -> list[Case]:
    """
    Check that no process ended by itself or exceeded its memory.

    :param history: The history.
    """
    cases = []
    for end in history.ends:
        since_seconds = end.at_seconds - _OWN_END_SECONDS
        causes = (Cause.KILL, Cause.FREEZE)
        is_excused = end.is_expected or history.disturbances(
            causes, since_seconds, end.at_seconds, end.instance
        )
        if not is_excused:
            detail = f"the process ended by itself with {end.status}"
            cases.append(Case("FAULT", "", end.instance, end.at_seconds, detail))
        if end.peak_bytes > history.bounds.memory_bytes:
            detail = f"{end.peak_bytes} bytes resident"
            cases.append(Case("FAULT", "", end.instance, end.at_seconds, detail))
    return cases


def check_configuration(history: History) -> list[Case]:
    """
    Check that requests are handled as a version in force allows.

    :param history: The history.
    """
    cases = []
    for call in history.calls:
        if not history.is_in_touch(call.instance, call.started_seconds):
            continue
        allowed = [
            call.route in one.routes and call.key in one.keys
            for one in history.versions_between(
                call.started_seconds, call.ended_seconds
            )
        ]
        match call.result:
            case Answered(status=status) if status in _DENIALS and all(allowed):
                cases.append(
                    make_case("CONFIG", call, f"{call.route} denied by {status}")
                )
        if history.runs_of(call) and not any(allowed):
            cases.append(
                make_case("CONFIG", call, f"{call.route} or {call.key} served")
            )
    return cases


CHECKS: tuple[Callable[[History], list[Case]], ...] = (
    check_lost,
    check_twice,
    check_refused,
    check_mixed,
    check_order,
    check_fault,
    check_configuration,
)


def check_all(history: History) -> list[Case]:
    """
    Return all broken rules in order of time.

    :param history: The history.
    """
    cases: Iterable[Case] = (case for check in CHECKS for case in check(history))
    return sorted(cases, key=lambda case: case.at_seconds)
