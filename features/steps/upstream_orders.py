"""Steps about orders to the platform."""

from behave import given, then, when

from waxwing_testbed.history import check_order_names
from waxwing_testbed.standins import Fault, Outage
from waxwingwinch.configuration import SetDefault
from waxwingwinch.interfaces import OrderUpstream

#: Upper bound of engines, never reached.
MAX_ENGINES = 40


@given("the platform loses the answers of the next {count:d} upstream orders")
def step_lose_answers(context, count):
    set_place_fault(context, Fault(lose_answers_next=count))


@given("the platform carries out upstream orders {seconds:d} seconds late")
def step_delay(context, seconds):
    set_place_fault(context, Fault(delay_seconds=seconds))


@given("the platform answers no upstream orders")
def step_hold(context):
    set_place_fault(context, Fault(outage=Outage.HANG))


@given("the platform answers upstream orders")
def step_answer(context):
    set_place_fault(context, Fault())


@when("an operator asks for {count:d} more engine")
@when("an operator asks for {count:d} more engines")
def step_more(context, count):
    operator = context.world.operator()
    defaults = operator.configuration().configuration.defaults
    context.brought_before = len(brought(context))
    context.takeover.note_orders()
    operator.publish(
        [
            SetDefault("max_engines_per_model", MAX_ENGINES),
            SetDefault("min_engines_per_model", defaults.min_engines_per_model + count),
        ]
    )


@when("an upstream order is open")
def step_open(context):
    def bought():
        intents = context.takeover.new_intents()
        return any(intent.purchase is not None for intent in intents)

    context.world.wait_until(bought, "a purchase is open")


@then("the platform brought {count:d} engine")
@then("the platform brought {count:d} engines")
def step_brought(context, count):
    def complete():
        found = len(brought(context)) - context.brought_before
        return found >= count and not context.takeover.new_intents()

    context.world.wait_until(complete, "the engines are there")
    assert len(brought(context)) - context.brought_before == count


@then("every purchase ran once")
def step_once(context):
    arrivals = context.takeover.watch.platform_arrivals()
    violations = check_order_names(arrivals)
    assert arrivals and not violations, violations


def brought(context):
    orders = context.world.deployment.admin.platform_journal().orders
    return [
        one
        for one in orders
        if one.result == "done" and isinstance(one.order.action, OrderUpstream)
    ]


def set_place_fault(context, fault):
    context.world.deployment.admin.set_fault("platform", "place", fault)
