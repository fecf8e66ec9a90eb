"""Steps about orders and their idempotency keys."""

from behave import given, then, when

from waxwing_testbed.history import CallOutcome, check_same_answer
from waxwing_testbed.standins import Fault, Outage


@given("the plain services lose the answers of the next {count:d} calls")
def step_lose_answers(context, count):
    context.world.set_plain_fault(Fault(lose_answers_next=count))


@given("the log is down")
def step_log_down(context):
    context.world.set_log_outage(Outage.REFUSE)


@given("the log is up")
def step_log_up(context):
    context.world.set_log_outage(Outage.NONE)


@when("an order is sent to i1 and i2 at the same moment")
def step_race(context):
    world = context.world
    calls = [
        world.send_in_background(world.order("race"), name) for name in ("i1", "i2")
    ]
    context.events = [call.result() for call in calls]
    context.key = "race"


@when('the order "{key}" is sent to {instance}')
def step_order(context, key, instance):
    context.event = context.world.send(context.world.order(key), instance)


@when('the order "{key}" is sent until {instance} answers it')
def step_order_until(context, key, instance):
    def answered():
        event = context.world.send(context.world.order(key), instance)
        return event.outcome is CallOutcome.WHOLE

    context.world.wait_until(answered, "the order is answered")


@then("the order ran once")
def step_ran_once_any(context):
    assert count_runs(context, context.key) == 1


@then('the order "{key}" ran once')
def step_ran_once(context, key):
    assert count_runs(context, key) == 1, count_runs(context, key)


@then('the order "{key}" did not run')
def step_not_run(context, key):
    assert count_runs(context, key) == 0


@then("both callers hold the same answer or were told to ask again")
def step_same_answer(context):
    assert any(event.outcome is CallOutcome.WHOLE for event in context.events)
    assert not check_same_answer(context.events)
    for event in context.events:
        if event.outcome is not CallOutcome.WHOLE:
            assert event.outcome is CallOutcome.UNKNOWN, event
            assert event.retry_after_seconds is not None, event


@then('the caller is told "{outcome}"')
def step_told(context, outcome):
    assert context.event.outcome is CallOutcome(outcome), context.event


@then('the caller is told "{outcome}" with a time to come back')
def step_told_when(context, outcome):
    assert context.event.outcome is CallOutcome(outcome), context.event
    assert context.event.retry_after_seconds is not None, context.event


def count_runs(context, key):
    runs = context.world.executions()
    return sum(run.idempotency_key == key for run in runs)
