"""Steps about usage reports."""

import time

from behave import given, then, when

from waxwing_testbed.history import (
    AuthoritySpan,
    CallOutcome,
    ReportedWindow,
    check_one_figure,
    check_single_authority,
)
from waxwing_testbed.scenario import OTHER, Pressure, PressurePlan, log_view
from waxwing_testbed.standins import Fault, Outage
from waxwingwinch.usage import REPORT_DEADLINE_SECONDS, REPORTS_STREAM, WindowFixed

#: Callers of the other customer.
CALLERS = 3
#: Pause of each caller between two calls.
PAUSE_SECONDS = 0.1
#: How long a caller waits for its answer.
CALL_TIMEOUT_SECONDS = 10.0
#: How long the reports of the last calls may take once nothing hinders them.
REPORTED_TIMEOUT_SECONDS = 40.0


@given("the other customer calls all instances")
def step_calls(context):
    call = context.world.status_check()
    plan = PressurePlan(
        OTHER, call, CALLERS, PAUSE_SECONDS, timeout_seconds=CALL_TIMEOUT_SECONDS
    )
    context.started_wall_seconds = time.time()
    context.pressure = Pressure(context.world, plan)
    context.pressure.start()
    context.add_cleanup(context.pressure.stop)


@when("the intake loses the next {count:d} answers")
def step_lose_answers(context, count):
    set_intake_fault(context, Fault(lose_answers_next=count))


@when("the intake goes down")
def step_intake_down(context):
    set_intake_fault(context, Fault(outage=Outage.REFUSE))


@when("the intake hangs")
def step_intake_hangs(context):
    set_intake_fault(context, Fault(outage=Outage.HANG))


@when("the intake comes back")
def step_intake_up(context):
    set_intake_fault(context, Fault())


@when("a window is fixed that isn't reported")
def step_fixed(context):
    def is_fixed():
        reported = {one.report.window_start_seconds for one in received(context)}
        fixed = {
            message.body.window_start_seconds
            for message in log_view(context.world).messages(REPORTS_STREAM)
            if isinstance(message.body, WindowFixed)
        }
        return bool(fixed - reported)

    context.world.wait_until(is_fixed, "a window is fixed")


@then("the reports count all its calls and no others")
def step_all_counted(context):
    wait_reported(context)
    assert_counted(context, 0)


@then("the reports miss at most what i1 served in its last {seconds:d} seconds")
def step_few_missed(context, seconds):
    wait_reported(context)
    killed_seconds = context.killed_seconds
    loss = sum(
        event.instance == str(context.world.instance("i1").address)
        and event.outcome is CallOutcome.WHOLE
        and killed_seconds - seconds <= event.ended_seconds <= killed_seconds
        for event in other_events(context)
    )
    assert_counted(context, loss)


@then("some window was reported more than once")
def step_repeated(context):
    starts = [one.report.window_start_seconds for one in received(context)]
    assert len(starts) > len(set(starts))


@then("each window was reported in time")
def step_on_time(context):
    seen = set()
    for one in received(context):
        start_seconds = one.report.window_start_seconds
        if start_seconds in seen or start_seconds < context.started_wall_seconds:
            continue
        seen.add(start_seconds)
        late_seconds = one.at_seconds - start_seconds - one.report.window_seconds
        print(f"reported {late_seconds:.1f} s after the window's end")
        assert late_seconds <= REPORT_DEADLINE_SECONDS
    assert seen


@then("no window was reported with different figures or by an older reporter")
def step_one_figure(context):
    reports = received(context)
    figures = [
        ReportedWindow(one.report.window_start_seconds, repr(one.report.customers))
        for one in reports
    ]
    assert not check_one_figure(figures), check_one_figure(figures)
    spans = [
        AuthoritySpan("usage", one.report.epoch, str(one.report.epoch), one.at_seconds)
        for one in reports
    ]
    assert not check_single_authority(spans), check_single_authority(spans)
    windows = {
        (one.report.window_start_seconds, one.report.window_seconds) for one in reports
    }
    ends = {start + length for start, length in windows}
    starts = sorted(start for start, _ in windows)
    assert all(start in ends for start in starts[1:]), starts


def assert_counted(context, loss):
    """Compare all reports of the run with what callers saw."""
    outcomes = [event.outcome for event in other_events(context)]
    whole = outcomes.count(CallOutcome.WHOLE)
    refused = outcomes.count(CallOutcome.NOT_RUN)
    # A call without an answer may have run or not.
    unclear = len(outcomes) - whole - refused
    counted = sum(usage.requests for usage in other_usages(context))
    print(
        f"{whole} whole, {refused} refused, {unclear} unclear, "
        f"{counted} reported, {loss} may miss"
    )
    assert whole
    assert whole - loss <= counted <= whole + unclear


def set_intake_fault(context, fault):
    context.world.deployment.admin.set_fault("platform", "submit", fault)


def received(context):
    return context.world.deployment.admin.platform_journal().reports


def other_events(context):
    events = context.world.history.events()
    return [event for event in events if event.customer_id == OTHER]


def other_usages(context):
    """Return the usage of the other customer, each window once."""
    by_window = {
        one.report.window_start_seconds: one.report.customers
        for one in received(context)
    }
    return [
        usage
        for customers in by_window.values()
        for usage in customers
        if usage.customer == OTHER
    ]


def wait_reported(context):
    """End the calls and wait until the window of the last is reported."""
    context.pressure.stop()
    stopped_seconds = time.time()

    def is_reported():
        return any(
            one.report.window_start_seconds + one.report.window_seconds
            > stopped_seconds
            for one in received(context)
        )

    context.world.wait_until(
        is_reported, "the calls are reported", REPORTED_TIMEOUT_SECONDS
    )
