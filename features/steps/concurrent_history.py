"""Steps about seeded schedules of calls and faults."""

from behave import then, when

from waxwing_testbed.history import CallKind, CallOutcome
from waxwing_testbed.scenario import (
    instance_names,
    plan_calls,
    plan_faults,
    run_schedule,
)


@when("the calls of seed {seed:d} are sent while its faults come and go")
def step_run(context, seed):
    calls = plan_calls(context.world, seed)
    assert len(calls) >= 200
    context.events = run_schedule(context.world, calls, plan_faults(seed))
    context.world.restore()


@when("every order of seed {seed:d} is sent again to each instance")
def step_again(context, seed):
    world = context.world
    orders = {
        planned.call.idempotency_key: planned
        for planned in plan_calls(world, seed)
        if getattr(planned.call, "idempotency_key", "")
    }
    sent = [
        world.send_in_background(planned.call, name, planned.customer_id)
        for planned in orders.values()
        for name in instance_names(world)
    ]
    context.events += [call.result() for call in sent]


@then("calls of every kind were answered")
def step_answered(context):
    kinds = {
        event.kind for event in context.events if event.outcome is CallOutcome.WHOLE
    }
    assert kinds == set(CallKind), kinds
