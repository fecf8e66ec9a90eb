"""Steps about late, crossed, cut and resumed answers."""

import uuid
from functools import partial

from behave import given, then, when

from waxwing_testbed.history import CallOutcome, check_whole_answers
from waxwing_testbed.load import ChatCall
from waxwing_testbed.scenario import (
    OTHER,
    WIDE,
    engines_of,
    instance_names,
    is_every_engine_up,
)
from waxwing_testbed.standins import Fault

CUSTOMERS = (WIDE, OTHER)


@given("the answers of the next {count:d} calls to the plain services are crossed")
def step_cross_plain(context, count):
    context.world.set_plain_fault(Fault(wrong_request_id_next=count))


@given("the answers of the next {count:d} calls to the plain services are cut short")
def step_cut_plain(context, count):
    context.world.set_plain_fault(Fault(short_body_next=count))


@given("the next {count:d} streams of each engine name another request")
def step_cross_streams(context, count):
    world = context.world
    for name in world.engine_journals():
        fault = Fault(wrong_request_id_next=count)
        world.deployment.admin.set_fault(name, "generate", fault)


@given("every engine serves")
def step_engines_serve(context):
    context.world.wait_until(
        partial(is_every_engine_up, context.world), "every engine serves"
    )
    for name in instance_names(context.world):
        context.world.wait_until(partial(answers_chat, context, name), "chats run")


@when("{count:d} reads are sent to all instances at once")
def step_reads(context, count):
    send_all(context, [context.world.status_check() for _ in range(count)])
    wait_for_calls(context)


@when('{count:d} payments named "{name}" are sent to all instances at once')
def step_payments(context, count, name):
    world = context.world
    calls = [
        world.payment(b'{"pesos": %d}' % number, f"{name}-{number}")
        for number in range(count)
    ]
    send_all(context, calls)
    wait_for_calls(context)


@when("{count:d} chats of {tokens:d} tokens are sent to all instances at once")
def step_chats(context, count, tokens):
    send_all(context, make_chats(context, count, tokens))
    wait_for_calls(context)


@when("{count:d} chats of {tokens:d} tokens are begun at all instances")
def step_begin_chats(context, count, tokens):
    world = context.world
    before = count_generations(world)
    context.earlier = generation_names(world)
    context.crashes = count_crashes(world)
    send_all(context, make_chats(context, count, tokens))
    world.wait_until(
        lambda: count_generations(world) >= before + count, "the streams run"
    )


@when("{count:d} engine that runs some of them crashes")
@when("{count:d} engines that run some of them crash")
def step_crash_busy(context, count):
    world = context.world
    begun = generation_names(world) - context.earlier
    busy = sorted(engines_of(world, begun))
    assert len(busy) >= count, busy
    for name in busy[:count]:
        world.deployment.admin.crash(name)


@when("every engine crashes")
def step_crash_all(context):
    world = context.world
    for name in world.engine_journals():
        world.deployment.admin.crash(name)


@when("a prompt that crashes engines is sent {count:d} times, one after the other")
def step_crash_prompt(context, count):
    world = context.world
    names = instance_names(world)
    chat = crashing_chat(context)
    for number in range(count):
        event = world.send(chat, names[number % len(names)])
        assert event.outcome is not CallOutcome.WHOLE, event


@when("a prompt that crashes engines is sent to all instances at once")
def step_crash_prompt_at_once(context):
    world = context.world
    chat = crashing_chat(context)
    calls = [world.send_in_background(chat, name) for name in instance_names(world)]
    for call in calls:
        assert call.result().outcome is not CallOutcome.WHOLE, call.result()


@then("every caller holds its own whole answer or a clear error")
def step_whole_or_clear(context):
    wait_for_calls(context)
    assert not check_whole_answers(context.events)
    for event in context.events:
        assert event.outcome is not CallOutcome.BROKEN, event


@then("at least {count:d} calls were answered")
def step_answered(context, count):
    whole = [one for one in context.events if one.outcome is CallOutcome.WHOLE]
    assert len(whole) >= count, summary(context.events)


@then('{low:d} to {high:d} calls were told "{outcome}"')
def step_told_between(context, low, high, outcome):
    told = [one for one in context.events if one.outcome is CallOutcome(outcome)]
    assert low <= len(told) <= high, summary(context.events)


@then("callers of {name:w} see a break and the others a whole answer")
def step_broken_at(context, name):
    wait_for_calls(context)
    address = str(context.world.instance(name).address)
    for event in context.events:
        is_there = event.instance == address
        expected = CallOutcome.BROKEN if is_there else CallOutcome.WHOLE
        assert event.outcome is expected, event


@then("the prompt crashed at most {count:d} engines")
def step_contained(context, count):
    crashed = count_crashes(context.world) - context.crashes
    assert 1 <= crashed <= count, crashed


def summary(events):
    """Return the ends of calls in a form that fits an error."""
    return [
        f"{event.instance} {event.status} {event.outcome.value} {event.detail}"
        f" {event.output_tokens} {event.message}"
        for event in events
    ]


def send_all(context, calls):
    """Send calls in the background, spread over instances and customers."""
    world = context.world
    names = instance_names(world)
    context.calls = [
        world.send_in_background(
            call, names[number % len(names)], CUSTOMERS[number % len(CUSTOMERS)]
        )
        for number, call in enumerate(calls)
    ]


def wait_for_calls(context):
    """Keep the events of the calls that were sent in the background."""
    context.events = [call.result() for call in context.calls]


def answers_chat(context, name):
    """Tell whether an instance answers a short chat."""
    [chat] = make_chats(context, 1, 2)
    return context.world.send(chat, name).outcome is CallOutcome.WHOLE


def make_chats(context, count, tokens):
    """Make chats with different prompts."""
    words = [uuid.uuid4().hex for _ in range(count)]
    return [context.world.chat(tokens, word=word) for word in words]


def crashing_chat(context):
    """Make a chat that no scenario has sent before."""
    plan = context.world.deployment.plan
    prompt = f"{plan.crash_word} {uuid.uuid4().hex}"
    return ChatCall(plan.engines[0].model, prompt, 8)


def generation_names(world):
    """Return the names of all generations that engines took."""
    return {
        row.request_id
        for journal in world.engine_journals().values()
        for row in journal.generations
    }


def count_generations(world):
    """Return how many different generations engines took."""
    return len(generation_names(world))


def count_crashes(world):
    """Return how often engines crashed."""
    return sum(journal.crashes for journal in world.engine_journals().values())
