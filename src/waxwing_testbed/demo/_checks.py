"""The closing check of the demonstration."""

from waxwing_testbed.demo._script import DemoPlan, DemoResult
from waxwing_testbed.history import (
    CallOutcome,
    ReportedWindow,
    Violation,
    check_at_most_once,
    check_one_figure,
    check_rate_by_calls,
    check_refusals_are_true,
    check_same_answer,
    check_whole_answers,
)

#: Time within which a withdrawn key stops working.
WITHDRAWAL_SECONDS = 5.0


def check_demo(plan: DemoPlan, result: DemoResult) -> list[Violation]:
    """
    Return the broken promises.

    :param plan: What was run.
    :param result: What came of it.
    """
    return [
        *check_at_most_once(result.events, result.executions),
        *check_refusals_are_true(result.events, result.executions),
        *check_same_answer(result.events),
        *check_whole_answers(result.events),
        *_check_rates(result),
        *_check_reports(result),
        *_check_withdrawal(plan, result),
        *_check_cuts(result),
    ]


def _check_rates(result: DemoResult) -> list[Violation]:
    return [
        violation
        for customer in result.configuration.customers.values()
        for violation in check_rate_by_calls(
            result.events,
            customer.customer_id,
            customer.rate_per_second,
            customer.burst_requests,
        )
    ]


def _check_reports(result: DemoResult) -> list[Violation]:
    windows = [
        ReportedWindow(
            received.report.window_start_seconds, str(received.report.customers)
        )
        for received in result.platform.reports
    ]
    if not windows:
        return [Violation("one report a window", "no window was reported")]
    return check_one_figure(windows)


def _check_withdrawal(plan: DemoPlan, result: DemoResult) -> list[Violation]:
    deadline_seconds = result.withdrawn_at_seconds + WITHDRAWAL_SECONDS
    late = [
        event
        for event in result.events
        if event.customer_id == plan.withdrawn_customer
        and event.outcome is CallOutcome.WHOLE
        and event.started_seconds > deadline_seconds
    ]
    violations = []
    if late:
        detail = f"{len(late)} calls after {WITHDRAWAL_SECONDS} s"
        violations.append(Violation("withdrawn keys stop", detail))
    if not result.withdrawal_accepted:
        violations.append(Violation("withdrawn keys stop", "was not accepted"))
    return violations


def _check_cuts(result: DemoResult) -> list[Violation]:
    if result.cut_streams == 0:
        return []
    detail = f"{result.cut_streams} streams"
    return [Violation("no planned change cuts a request", detail)]
