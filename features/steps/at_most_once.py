"""Steps about orders, payments and idempotency keys."""

import time

from behave import given, then, when

from waxwing_testbed.history import CallOutcome, check_same_answer
from waxwing_testbed.proxy import Direction, ProxyFaults
from waxwing_testbed.scenario import (
    WIDE,
    count_order_runs,
    count_payment_runs,
    is_claimed,
)
from waxwing_testbed.standins import Fault, Outage

HELD_ANSWERS = ProxyFaults(cut=(Direction.BACKWARD,))


@given("the plain services lose the answers of the next {count:d} calls")
def step_lose_answers(context, count):
    context.world.set_plain_fault(Fault(lose_answers_next=count))


@given("the plain services drop the next {count:d} calls before they run")
def step_drop_before(context, count):
    context.world.set_plain_fault(Fault(drop_before_next=count))


@given("the plain services answer after {seconds:d} s")
def step_answer_late(context, seconds):
    context.world.set_plain_fault(Fault(answer_delay_seconds=seconds))


@given("the plain services run calls after {seconds:d} s")
def step_run_late(context, seconds):
    context.world.set_plain_fault(Fault(delay_seconds=seconds))


@given("the plain services hang")
def step_hang(context):
    context.world.set_plain_fault(Fault(outage=Outage.HANG))


@given("the log is down")
def step_log_down(context):
    context.world.set_log_outage(Outage.REFUSE)


@given("the log is up")
def step_log_up(context):
    context.world.set_log_outage(Outage.NONE)


@given("the log loses the answers of all appends")
def step_lose_appends(context):
    fault = Fault(lose_answers_probability=1.0)
    context.world.deployment.admin.set_fault("platform", "append", fault)


@given("the platform's answers to {instance} are held")
def step_hold_platform(context, instance):
    admin = context.world.deployment.admin
    admin.set_proxy(f"platform-{instance}", HELD_ANSWERS)


@when("the platform's answers to {instance} pass again")
def step_release_platform(context, instance):
    admin = context.world.deployment.admin
    admin.set_proxy(f"platform-{instance}", ProxyFaults())


@when("an order is sent to i1 and i2 at the same moment")
def step_race(context):
    world = context.world
    calls = [
        world.send_in_background(world.order("race"), name) for name in ("i1", "i2")
    ]
    context.events = [call.result() for call in calls]
    context.key = "race"


@when('the orders "{one}", "{two}" and "{three}" are sent to {instance:w} at once')
def step_orders(context, one, two, three, instance):
    world = context.world
    calls = [
        world.send_in_background(world.order(key), instance)
        for key in (one, two, three)
    ]
    context.events = [call.result() for call in calls]


@when('the order "{key}" is sent to {instance:w}')
def step_order(context, key, instance):
    context.event = context.world.send(context.world.order(key), instance)


@when('the order "{key}" is sent to {instance:w} in the background')
def step_order_background(context, key, instance):
    world = context.world
    context.background = world.send_in_background(world.order(key), instance)


@when('the order "{key}" is sent to {instance:w} until an answer comes')
def step_order_until(context, key, instance):
    def answered():
        event = context.world.send(context.world.order(key), instance)
        return event.outcome is CallOutcome.WHOLE

    context.world.wait_until(answered, "the order is answered")


@when('the order "{key}" has run')
def step_wait_ran(context, key):
    world = context.world
    world.wait_until(lambda: count_order_runs(world, key) > 0, "the order ran")


@when('the claim on "{key}" is in the log')
def step_wait_claim(context, key):
    world = context.world
    world.wait_until(lambda: is_claimed(world, WIDE, key), "the claim is in the log")


@when('the payment "{name}" is sent to {instance:w}')
def step_payment(context, name, instance):
    context.event = context.world.send(context.world.payment(name=name), instance)


@when('the payment "{name}" has run')
def step_wait_paid(context, name):
    world = context.world
    world.wait_until(lambda: count_payment_runs(world, name) > 0, "the payment ran")


@when("the entry of {instance:w} is killed")
def step_kill_entry(context, instance):
    entry = context.world.instance(instance).entry
    entry.kill()
    context.world.wait_until(lambda: not entry.is_running(), "the entry has ended")


@when("the entry of {instance:w} is paused")
def step_pause_entry(context, instance):
    context.world.instance(instance).entry.pause()
    context.paused_seconds = time.monotonic()


@when("the entry of {instance:w} goes on after the bound of {seconds:d} s")
def step_resume_entry(context, instance, seconds):
    end_seconds = context.paused_seconds + seconds + 0.5
    time.sleep(max(0.0, end_seconds - time.monotonic()))
    context.world.instance(instance).entry.resume()


@then("the order ran once")
def step_ran_once_any(context):
    assert count_order_runs(context.world, context.key) == 1


@then('the order "{key}" ran once')
def step_ran_once(context, key):
    runs = count_order_runs(context.world, key)
    assert runs == 1, runs


@then('the order "{key}" did not run')
def step_not_run(context, key):
    runs = count_order_runs(context.world, key)
    assert runs == 0, runs


@then('the payment "{name}" ran at most once')
def step_paid_once(context, name):
    runs = count_payment_runs(context.world, name)
    assert runs <= 1, runs


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


@then('all of them are told "{outcome}"')
def step_all_told(context, outcome):
    for event in context.events:
        assert event.outcome is CallOutcome(outcome), event


@then('the caller is told "{outcome}" for good')
def step_told_for_good(context, outcome):
    assert context.event.outcome is CallOutcome(outcome), context.event
    assert context.event.retry_after_seconds is None, context.event


@then('the caller in the background is told "{outcome}"')
def step_told_background(context, outcome):
    event = context.background.result()
    assert event.outcome is CallOutcome(outcome), event


@then('the caller is told "{outcome}" with a time to come back')
def step_told_when(context, outcome):
    assert context.event.outcome is CallOutcome(outcome), context.event
    assert context.event.retry_after_seconds is not None, context.event
