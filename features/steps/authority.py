"""Steps about who is in charge, and about orders to engines."""

import time

from attrs import evolve
from behave import given, then, when

from waxwing_testbed.history import (
    check_effects_by_epoch,
    check_one_open_order,
    check_order_names,
)
from waxwing_testbed.proxy import Direction, ProxyFaults
from waxwing_testbed.scenario import CUT_BOTH
from waxwing_testbed.standins import Fault, Outage
from waxwingwinch.configuration import PutModel

#: Delay that lets a step between two calls to the platform be met.
SLOW_LINK_SECONDS = 0.3
#: Time from the first send of an order to the middle of its repeat.
REPEAT_SECONDS = 3.5
#: How long late orders of a hindered process are watched for.
WATCH_SECONDS = 3.0
#: Longest time until an order is settled. One whose effect a crash undid
#: stays open for half of it.
SETTLE_SECONDS = 60.0
#: How long a crashed engine stays away.
CRASH_SECONDS = 1.0
#: Bytes from the platform are held, those to it pass.
CUT_ANSWERS = ProxyFaults(cut=(Direction.BACKWARD,))


@given("the engines answer no orders")
def step_hold_orders(context):
    set_order_fault(context, Fault(outage=Outage.HANG))


@given("the engines answer orders")
def step_take_orders(context):
    set_order_fault(context, Fault())


@given("the engines take in orders {seconds:d} seconds late")
def step_delay_orders(context, seconds):
    set_order_fault(context, Fault(delay_seconds=seconds))


@given("the holder's link to the platform is slow")
def step_slow_link(context):
    name = f"platform-{context.takeover.note_holder().instance_id}"
    faults = ProxyFaults(delay_seconds=SLOW_LINK_SECONDS)
    context.world.deployment.admin.set_proxy(name, faults)


@given("the log loses the answers of the next {count:d} appends")
def step_lose_appends(context, count):
    fault = Fault(lose_answers_next=count)
    context.world.deployment.admin.set_fault("platform", "append", fault)


@when('an operator asks for the adapter "{adapter}"')
def step_adapter(context, adapter):
    operator = context.world.operator()
    models = operator.configuration().configuration.models.values()
    context.takeover.note_orders()
    operator.publish([PutModel(evolve(one, adapters=(adapter,))) for one in models])


@when("{count:d} engine orders are open")
def step_open_orders(context, count):
    takeover = context.takeover
    wait(context, lambda: len(takeover.new_intents()) >= count, "orders are open")


@when("the holder's control is paused")
def step_pause(context):
    context.takeover.pause()


@when("the holder's control is paused while it repeats them")
def step_pause_repeating(context):
    time.sleep(REPEAT_SECONDS)
    context.takeover.pause()


@when("the paused control goes on")
def step_resume(context):
    context.takeover.resume()


@when("the holder is cut off from the platform")
def step_cut_holder(context):
    name = str(context.takeover.note_holder().instance_id)
    context.world.cut_platform(name, CUT_BOTH)


@when("the holder gets no answers from the platform")
def step_cut_answers(context):
    name = f"platform-{context.takeover.note_holder().instance_id}"
    context.world.deployment.admin.set_proxy(name, CUT_ANSWERS)


@when("the holder is connected again")
def step_connect_holder(context):
    name = f"platform-{context.takeover.holder.instance_id}"
    context.world.deployment.admin.set_proxy(name, ProxyFaults())


@when("the holder's control is killed")
def step_kill(context):
    context.takeover.kill()


@when("the controls of all instances are killed")
def step_kill_all(context):
    context.takeover.kill()
    for instance in context.world.deployment.instances:
        instance.control.kill()


@when("the holder's control is killed once an intent is logged")
def step_kill_at_intent(context):
    takeover = context.takeover
    # Looking for the holder takes time that the order would use.
    takeover.note_holder()
    wait(context, takeover.new_intents, "an intent is logged")
    takeover.kill_noted()
    context.order_id = takeover.new_intents()[0].order_id
    sent = [one.order_id for one in takeover.new_arrivals()]
    assert context.order_id not in sent, "the order was sent already"


@when("the holder's control is killed once an engine got an order")
def step_kill_at_order(context):
    wait(context, context.takeover.new_arrivals, "an engine got an order")
    context.takeover.kill()
    context.order_id = context.takeover.new_arrivals()[0].order_id


@when("the holder's control is killed while an order is open")
def step_kill_open(context):
    wait(context, context.takeover.new_intents, "an order is open")
    context.takeover.kill()
    context.order_id = context.takeover.new_intents()[0].order_id


@when("an engine crashes after it got an order")
def step_crash(context):
    wait(context, context.takeover.new_arrivals, "an engine got an order")
    arrival = context.takeover.new_arrivals()[0]
    context.order_id = arrival.order_id
    context.world.deployment.admin.crash(arrival.receiver, CRASH_SECONDS)


@then("another process takes the duty")
def step_taken_over(context):
    wait(context, context.takeover.is_taken_over, "another process has the duty")


@then("the next holder's orders reach the engines")
def step_next_orders(context):
    takeover = context.takeover
    wait(context, takeover.later_arrivals, "the next holder orders")
    takeover.print_gap(takeover.later_arrivals()[0])


@then("the next holder carries out the same order")
def step_carried_out(context):
    def arrived():
        later = context.takeover.later_arrivals()
        return [one for one in later if one.order_id == context.order_id]

    wait(context, arrived, "the order of the killed holder arrives")
    assert arrived()[0].is_run, arrived()
    context.takeover.print_gap(arrived()[0])
    wait_settled(context)


@then("engines get orders")
def step_any_orders(context):
    wait(context, context.takeover.new_arrivals, "an engine got an order")


@then("the next holder settles the order that was open")
def step_settled_by_next(context):
    # It repeats the order, or sees that it has taken effect by then.
    wait(context, context.takeover.is_taken_over, "the duty is taken over")
    wait_settled(context)


@then("the next holder settles the same order")
@then("that order is settled")
def step_settled(context):
    wait_settled(context)


@then("the fence ends the paused control")
def step_fenced(context):
    context.takeover.wait_fenced()


@then("no order of an older term came after a newer one")
def step_strict_epochs(context):
    time.sleep(WATCH_SECONDS)
    violations = context.takeover.late_orders()
    assert not violations, violations


@then("no engine got conflicting orders")
def step_no_conflicts(context):
    watch = context.takeover.watch
    arrivals = watch.engine_arrivals()
    violations = check_order_names(arrivals)
    violations += check_one_open_order(arrivals, watch.logged_orders())
    violations += check_effects_by_epoch(arrivals)
    assert arrivals and not violations, violations


def wait(context, condition, what):
    context.world.wait_until(lambda: bool(condition()), what)


def wait_settled(context):
    def settled():
        intents = context.takeover.watch.open_intents()
        return all(one.order_id != context.order_id for one in intents)

    what = "the order has an outcome"
    context.world.wait_until(settled, what, SETTLE_SECONDS)


def set_order_fault(context, fault):
    for engine in context.world.deployment.standin_settings.engines:
        context.world.deployment.admin.set_fault(engine.name, "order", fault)
