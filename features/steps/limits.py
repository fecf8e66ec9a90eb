"""Steps about rate and burst."""

import time

from behave import given, then

from waxwing_testbed.history import (
    CallOutcome,
    check_rate,
    check_rate_by_calls,
    check_refusals_are_true,
    timely_admissions,
)
from waxwing_testbed.scenario import (
    NARROW,
    NARROW_BURST_REQUESTS,
    NARROW_RATE_PER_SECOND,
    WIDE,
    Pressure,
    PressurePlan,
    log_view,
)
from waxwingwinch.limits import FloorGranted

#: Calls that took longer don't enter the check by times of the upstreams.
RESOLUTION_SECONDS = 0.5
#: Callers whose calls together come at about four times the rate.
CALLERS = 9
#: Pause of each caller between two calls.
PAUSE_SECONDS = 0.2


@given("the narrow customer calls all instances at several times its rate")
def step_pressure(context):
    start_pressure(context, CALLERS)


@given("the narrow customer calls all instances at half its rate")
def step_half(context):
    start_pressure(context, 1)


@given("every instance has a floor of the wide customer")
def step_floors(context):
    # Before any entry was replaced: a killed one's floor stays counted for
    # its term, and its successor has none until then.
    world = context.world

    def has_floors():
        messages = log_view(world).messages(f"limits-{world.deployment.plan.name}")
        holders = {
            message.body.holder.instance_id
            for message in messages
            if isinstance(message.body, FloorGranted)
            and message.body.customer_id == WIDE
        }
        return len(holders) == len(world.deployment.instances)

    world.wait_until(has_floors, "every instance has a floor")


@then("most calls of the narrow customer were served")
def step_most_served(context):
    context.pressure.stop()
    events = [
        event
        for event in narrow_events(context)
        if event.started_seconds >= context.pressure_seconds
    ]
    whole = sum(event.outcome is CallOutcome.WHOLE for event in events)
    print(f"within the rate: {len(events) - whole} of {len(events)} not served")
    assert 2 * whole > len(events)


@then("the narrow customer got no more than its rate and burst")
def step_bound(context):
    context.pressure.stop()
    limit = (NARROW, NARROW_RATE_PER_SECOND, NARROW_BURST_REQUESTS)
    events = narrow_events(context)
    executions = context.world.executions()
    admissions = timely_admissions(events, executions, RESOLUTION_SECONDS)
    whole = [event for event in events if event.outcome is CallOutcome.WHOLE]
    print(f"narrow: {len(events)} calls, {len(whole)} whole, {len(admissions)} timed")
    assert whole
    assert admissions
    assert not check_rate_by_calls(events, *limit), check_rate_by_calls(events, *limit)
    late = check_rate(admissions, *limit, RESOLUTION_SECONDS)
    assert not late, late
    assert not check_refusals_are_true(events, executions)


@then("its calls beyond the rate were refused as not run")
def step_refused(context):
    refused = [one for one in narrow_events(context) if one.status == 429]
    assert refused
    for event in refused:
        assert event.outcome is CallOutcome.NOT_RUN, event
        assert event.retry_after_seconds is not None, event


@then("the narrow customer was served in the last {seconds:d} seconds")
def step_served(context, seconds):
    since_seconds = time.monotonic() - seconds
    assert any(
        event.outcome is CallOutcome.WHOLE and event.started_seconds >= since_seconds
        for event in narrow_events(context)
    )


@then("every instance serves the wide customer")
def step_wide_served(context):
    world = context.world
    for instance in world.deployment.instances:
        event = world.send(world.status_check(), str(instance.instance_id), WIDE)
        assert event.outcome is CallOutcome.WHOLE, event


def narrow_events(context):
    events = context.world.history.events()
    return [event for event in events if event.customer_id == NARROW]


def start_pressure(context, callers):
    call = context.world.status_check()
    plan = PressurePlan(NARROW, call, callers, PAUSE_SECONDS)
    context.pressure = Pressure(context.world, plan)
    context.pressure_seconds = time.monotonic()
    context.pressure.start()
    context.add_cleanup(context.pressure.stop)
