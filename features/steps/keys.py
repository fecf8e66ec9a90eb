"""Steps about keys and their withdrawal."""

import time

from behave import given, then, when

from waxwing_testbed.history import CallOutcome, check_refusals_are_true
from waxwing_testbed.scenario import WIDE, key_id_of, key_of, log_view
from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import (
    CONFIGURATION_STREAM,
    AddKey,
    KeyWithdrawal,
    PutCustomer,
    build_key_record,
)

#: Rate and burst that no scenario of keys reaches.
AMPLE_RATE_PER_SECOND = 2_000.0
AMPLE_BURST_REQUESTS = 4_000.0
#: Within which a withdrawn key must be refused everywhere.
BOUND_SECONDS = 5.0
#: How long a withdrawal may take to be accepted once nothing hinders it.
ACCEPTED_TIMEOUT_SECONDS = 20.0
#: Time in which a withdrawal heard from a peer must come into the log.
LOGGED_TIMEOUT_SECONDS = 30.0


@given('a customer "{name}" with a key of its own')
def step_customer(context, name):
    customer_id = CustomerId(name)
    key = build_key_record(key_id_of(customer_id), key_of(customer_id))
    customer = PutCustomer(customer_id, AMPLE_RATE_PER_SECOND, AMPLE_BURST_REQUESTS)
    version = context.world.operator().publish([customer, AddKey(customer_id, key)])
    context.world.wait_in_force(version)
    for instance in context.world.deployment.instances:
        wait_served(context, name, str(instance.instance_id))


@when('"{name}" opens a stream of {tokens:d} tokens at each instance')
def step_streams(context, name, tokens):
    context.streams = open_streams(context, CustomerId(name), tokens)


@when("another customer opens a stream of {tokens:d} tokens at each instance")
def step_other_streams(context, tokens):
    context.other_streams = open_streams(context, WIDE, tokens)
    time.sleep(1.0)
    assert not any(stream.done() for stream in context.streams)


@when('the key of "{name}" is withdrawn at {instance:w}')
def step_withdraw(context, name, instance):
    context.withdrawn_seconds = time.monotonic()
    context.world.operator(instance).withdraw(key_id_of(CustomerId(name)))


@when("{count:d} keys are withdrawn, one after the other")
def step_withdraw_many(context, count):
    context.refused_seconds = []
    for number in range(count):
        name = f"measured-{number}"
        step_customer(context, name)
        instances = context.world.deployment.instances
        taker = instances[number % len(instances)]
        step_withdraw(context, name, str(taker.instance_id))
        for instance in instances:
            wait_refused(context, name, str(instance.instance_id), BOUND_SECONDS)
        passed_seconds = time.monotonic() - context.withdrawn_seconds
        context.refused_seconds.append(passed_seconds)


@then("each was refused everywhere within {seconds:d} seconds")
def step_each_refused(context, seconds):
    times = sorted(context.refused_seconds)
    print(f"refused after {', '.join(f'{one:.2f}' for one in times)} s")
    assert times[-1] <= seconds


@when('{count:d} calls of "{name}" wait at {instance:w}')
def step_waiting(context, count, name, instance):
    world = context.world
    context.waiting = [
        world.send_in_background(world.status_check(), instance, CustomerId(name))
        for _ in range(count)
    ]
    time.sleep(0.5)


@then('all instances refuse the key of "{name}" within {seconds:d} seconds')
def step_refused_everywhere(context, name, seconds):
    for instance in context.world.deployment.instances:
        wait_refused(context, name, str(instance.instance_id), seconds)
    taken_seconds = time.monotonic() - context.withdrawn_seconds
    print(f"refused everywhere {taken_seconds:.2f} s after the withdrawal")


@then('i1 and i2 refuse the key of "{name}" within {seconds:d} seconds')
def step_refused_at_two(context, name, seconds):
    for instance in ("i1", "i2"):
        wait_refused(context, name, instance, seconds)


@then('{instance:w} refuses the key of "{name}"')
def step_refused_at(context, name, instance):
    event = call(context, name, instance)
    assert (event.status, event.outcome) == (401, CallOutcome.NOT_RUN), event


@then('{instance:w} comes to refuse the key of "{name}" for good')
def step_refused_in_time(context, name, instance):
    wait_refused(context, name, instance, ACCEPTED_TIMEOUT_SECONDS, since_now=True)


@then('{instance:w} serves no call of "{name}" after {seconds:d} seconds')
def step_served_no_more(context, name, instance, seconds):
    bound_seconds = context.withdrawn_seconds + seconds
    while time.monotonic() < bound_seconds:
        call(context, name, instance)
    for _ in range(5):
        event = call(context, name, instance)
        assert event.outcome is CallOutcome.NOT_RUN, event


@then("{instance:w} refuses keyed and open calls as not run with a time to come back")
def step_stale(context, instance):
    world = context.world
    for made in (world.status_check(), world.catalogue(), world.chat()):
        event = world.send(made, instance)
        assert event.status == 503, event
        assert event.outcome is CallOutcome.NOT_RUN, event
        assert event.retry_after_seconds is not None, event
    assert not check_refusals_are_true(world.history.events(), world.executions())


@then('the streams of "{name}" end within {seconds:d} seconds of the withdrawal')
def step_streams_end(context, name, seconds):
    for stream in context.streams:
        event = stream.result()
        taken_seconds = event.ended_seconds - context.withdrawn_seconds
        print(
            f"stream ended {taken_seconds:.2f} s after the withdrawal: {event.detail}"
        )
        assert event.outcome not in (CallOutcome.WHOLE, CallOutcome.WRONG), event
        assert taken_seconds <= seconds, event


@then("the streams of the other customer are whole")
def step_other_whole(context):
    for stream in context.other_streams:
        assert stream.result().outcome is CallOutcome.WHOLE, stream.result()


@then('the withdrawal for "{name}" at {instance:w} is accepted')
def step_accepted(context, name, instance):
    operator = context.world.operator(instance)
    key_id = key_id_of(CustomerId(name))

    def is_accepted():
        return operator.withdrawal(key_id).is_accepted

    context.world.wait_until(
        is_accepted, "the withdrawal is accepted", ACCEPTED_TIMEOUT_SECONDS
    )


@then('the withdrawal for "{name}" at {instance:w} isn\'t accepted yet')
def step_not_accepted(context, name, instance):
    view = context.world.operator(instance).withdrawal(key_id_of(CustomerId(name)))
    assert not view.is_accepted, view
    assert 2 * len(view.confirmed) < view.expected_instances, view


@then('the withdrawal for "{name}" is in the log')
def step_logged(context, name):
    key_id = key_id_of(CustomerId(name))

    def is_logged():
        messages = log_view(context.world).messages(CONFIGURATION_STREAM)
        return any(
            isinstance(message.body, KeyWithdrawal) and key_id in message.body.key_ids
            for message in messages
        )

    context.world.wait_until(
        is_logged, "the withdrawal is in the log", LOGGED_TIMEOUT_SECONDS
    )


@then("none of the waiting calls is served")
def step_none_served(context):
    events = [waiting.result() for waiting in context.waiting]
    assert all(event.outcome is CallOutcome.NOT_RUN for event in events), events
    world = context.world
    assert not check_refusals_are_true(events, world.executions())


def open_streams(context, customer_id, tokens):
    world = context.world
    return [
        world.send_in_background(
            world.chat(tokens), str(instance.instance_id), customer_id
        )
        for instance in world.deployment.instances
    ]


def call(context, name, instance):
    world = context.world
    return world.send(world.status_check(), instance, CustomerId(name))


def wait_served(context, name, instance):
    def is_served():
        return call(context, name, instance).outcome is CallOutcome.WHOLE

    context.world.wait_until(is_served, f"{name} is served at {instance}")


def wait_refused(context, name, instance, seconds, since_now=False):
    """Wait for a 401, at most some time since the withdrawal or from now."""
    passed_seconds = 0.0 if since_now else time.monotonic() - context.withdrawn_seconds

    def is_refused():
        event = call(context, name, instance)
        return event.status == 401 and event.outcome is CallOutcome.NOT_RUN

    context.world.wait_until(
        is_refused, f"{instance} refuses {name}", max(0.1, seconds - passed_seconds)
    )
