"""Steps about who is in charge, and about orders to engines."""

import signal
import time

from attrs import evolve
from behave import given, then, when

from waxwing_testbed.history import (
    check_effects_by_epoch,
    check_epochs_of_orders,
    check_one_open_order,
    check_order_names,
)
from waxwing_testbed.proxy import ProxyFaults
from waxwing_testbed.scenario import AuthorityWatch
from waxwing_testbed.standins import Fault, Outage
from waxwingwinch.configuration import PutModel

#: Delay that lets a step between two calls to the platform be met.
SLOW_LINK_SECONDS = 0.3
#: How long late orders of an ended process are watched for.
WATCH_SECONDS = 3.0
#: How long a crashed engine stays away.
CRASH_SECONDS = 1.0


@given("the engines answer no orders")
def step_hold_orders(context):
    set_order_fault(context, Fault(outage=Outage.HANG))


@given("the engines answer orders")
def step_take_orders(context):
    set_order_fault(context, Fault())


@given("the engines take orders in {seconds:d} seconds late")
def step_delay_orders(context, seconds):
    set_order_fault(context, Fault(delay_seconds=seconds))


@given("the holder's link to the platform is slow")
def step_slow_link(context):
    note_holder(context)
    name = f"platform-{context.holder.instance_id}"
    faults = ProxyFaults(delay_seconds=SLOW_LINK_SECONDS)
    context.world.deployment.admin.set_proxy(name, faults)


@when('an operator asks for the adapter "{adapter}"')
def step_adapter(context, adapter):
    operator = context.world.operator()
    models = operator.configuration().configuration.models
    changes = [
        PutModel(evolve(model, adapters=(adapter,))) for model in models.values()
    ]
    context.known_orders = {one.order_id for one in watch(context).logged_orders()}
    operator.publish(changes)


@when("{count:d} engine orders are open")
def step_open_orders(context, count):
    wait(context, lambda: len(new_intents(context)) >= count, "orders are open")


@when("the holder's control is paused")
def step_pause(context):
    note_holder(context)
    context.holder.control.pause()


@when("the paused control goes on")
def step_resume(context):
    context.exits = len(context.holder.control.exit_statuses)
    context.holder.control.resume()


@when("the holder's control is killed once an intent is logged")
def step_kill_at_intent(context):
    note_holder(context)
    wait(context, lambda: new_intents(context), "an intent is logged")
    kill_holder(context)
    context.order_id = new_intents(context)[0].order_id
    assert context.order_id not in received(context), "the order was sent already"


@when("the holder's control is killed once an engine got an order")
def step_kill_at_order(context):
    note_holder(context)
    wait(context, lambda: received_new(context), "an engine got an order")
    kill_holder(context)
    context.order_id = received_new(context)[0]


@when("the holder's control is killed while an order is open")
def step_kill_open(context):
    note_holder(context)
    wait(context, lambda: new_intents(context), "an order is open")
    kill_holder(context)


@when("an engine crashes after it got an order")
def step_crash(context):
    wait(context, lambda: received_new(context), "an engine got an order")
    context.order_id = received_new(context)[0]
    arrivals = watch(context).engine_arrivals()
    engine = next(a.receiver for a in arrivals if a.order_id == context.order_id)
    context.world.deployment.admin.crash(engine, CRASH_SECONDS)


@then("the next holder's orders reach the engines")
def step_next_orders(context):
    wait(context, lambda: next_arrivals(context), "the next holder orders")
    report_takeover(context, next_arrivals(context)[0])


@then("the next holder carries out the same order")
def step_carried_out(context):
    def arrived():
        return [a for a in next_arrivals(context) if a.order_id == context.order_id]

    wait(context, arrived, "the order of the killed holder arrives")
    assert arrived()[0].is_run, arrived()
    report_takeover(context, arrived()[0])
    wait_settled(context)


@then("the next holder settles the same order")
@then("that order is settled")
def step_settled(context):
    wait_settled(context)


@then("the fence ends the paused control")
def step_fenced(context):
    statuses = context.holder.control.exit_statuses
    wait(context, lambda: len(statuses) > context.exits, "the paused control ends")
    assert statuses[context.exits] == -signal.SIGALRM, statuses


@then("no engine order of an older term came after a newer one")
def step_strict_epochs(context):
    time.sleep(WATCH_SECONDS)
    violations = check_epochs_of_orders(watch(context).engine_arrivals())
    assert not violations, violations


@then("no engine order of an older term took effect after a newer one")
def step_effects(context):
    time.sleep(WATCH_SECONDS)
    violations = check_effects_by_epoch(watch(context).engine_arrivals())
    assert not violations, violations


@then("no engine got conflicting orders")
def step_no_conflicts(context):
    arrivals = watch(context).engine_arrivals()
    violations = check_order_names(arrivals)
    violations += check_one_open_order(arrivals, watch(context).logged_orders())
    violations += check_effects_by_epoch(arrivals)
    assert arrivals and not violations, violations


def watch(context):
    if "watch" not in context:
        context.watch = AuthorityWatch(context.world)
    return context.watch


def wait(context, condition, what):
    context.world.wait_until(lambda: bool(condition()), what)


def wait_settled(context):
    def settled():
        return all(
            i.order_id != context.order_id for i in watch(context).open_intents()
        )

    wait(context, settled, "the order has an outcome")


def note_holder(context):
    wait(context, watch(context).has_holder, "the fleet duty is held")
    context.holder = watch(context).holder()
    context.epoch = watch(context).epoch()


def kill_holder(context):
    context.holder.control.kill()
    context.ended_seconds = time.time()


def set_order_fault(context, fault):
    for engine in context.world.deployment.standin_settings.engines:
        context.world.deployment.admin.set_fault(engine.name, "order", fault)


def new_intents(context):
    intents = watch(context).open_intents()
    return [one for one in intents if one.order_id not in context.known_orders]


def received(context):
    return [one.order_id for one in watch(context).engine_arrivals()]


def received_new(context):
    return [name for name in received(context) if name not in context.known_orders]


def next_arrivals(context):
    arrivals = watch(context).engine_arrivals()
    newer = [one for one in arrivals if one.epoch > context.epoch]
    return sorted(newer, key=lambda one: one.seconds)


def report_takeover(context, arrival):
    if "ended_seconds" in context:
        seconds = arrival.seconds - context.ended_seconds
        print(f"kill of the holder to the next holder's first order: {seconds:.2f} s")
