"""Steps about processes, links and the log."""

import time

from behave import when

from waxwing_testbed.proxy import ProxyFaults
from waxwing_testbed.scenario import CUT_BOTH, duty_holder
from waxwing_testbed.standins import Outage


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    time.sleep(seconds)


@when("instance {name:w} is paused")
def step_pause(context, name):
    context.world.instance(name).entry.pause()


@when("instance {name:w} is resumed")
def step_resume(context, name):
    context.world.instance(name).entry.resume()


@when("instance {name:w} is killed")
def step_kill(context, name):
    entry = context.world.instance(name).entry
    context.killed_seconds = time.monotonic()
    entry.kill()
    entry.wait_for_exit(5.0)


@when("instance {name:w} is started")
def step_start(context, name):
    context.world.instance(name).entry.start()


@when("instance {name:w} is started and serves")
def step_start_and_serve(context, name):
    instance = context.world.instance(name)
    instance.entry.start()
    context.world.wait_until(instance.is_serving, f"{name} serves")


@when("instance {name:w} serves")
def step_wait_serving(context, name):
    instance = context.world.instance(name)
    context.world.wait_until(instance.is_serving, f"{name} serves")


@when('the control that holds "{duty}" is paused')
def step_pause_control(context, duty):
    control = holding_control(context, duty)
    control.pause()


@when('another control holds "{duty}"')
def step_other_control(context, duty):
    def is_other():
        return duty_holder(context.world, duty) not in (None, context.holder)

    context.world.wait_until(is_other, f"another control holds {duty}")


@when('the control that holds "{duty}" is killed')
def step_kill_control(context, duty):
    control = holding_control(context, duty)
    control.kill()


@when("all controls are resumed")
def step_resume_controls(context):
    for instance in context.world.deployment.instances:
        instance.control.resume()


@when("the controls can't be reached by the entries")
def step_cut_controls(context):
    set_proxies(context, "control", CUT_BOTH)


@when("the controls can be reached again")
def step_join_controls(context):
    set_proxies(context, "control", ProxyFaults())


@when("the entries can't reach each other")
def step_cut_entries(context):
    set_proxies(context, "peer", CUT_BOTH)


@when("the entries can reach each other again")
def step_join_entries(context):
    set_proxies(context, "peer", ProxyFaults())


@when("{name:w} is cut from the log")
def step_cut_log(context, name):
    context.world.cut_platform(name)


@when("{name:w} reaches the log again")
def step_join_log(context, name):
    context.world.cut_platform(name, ProxyFaults())


@when("the log goes down")
def step_log_down(context):
    context.world.set_log_outage(Outage.REFUSE)


@when("the log comes back")
def step_log_up(context):
    context.world.set_log_outage(Outage.NONE)


def holding_control(context, duty):
    """Return the control that holds a duty, and note which it is."""

    def is_held():
        # The duty may be released between two readings; only one counts.
        context.holder = duty_holder(context.world, duty)
        return context.holder is not None

    context.world.wait_until(is_held, f"somebody holds {duty}")
    return context.world.instance(context.holder).control


def set_proxies(context, kind, faults):
    admin = context.world.deployment.admin
    for instance in context.world.deployment.instances:
        proxy = f"{kind}-{instance.instance_id}"
        admin.set_proxy(proxy, faults)
        admin.reset_proxy(proxy)
