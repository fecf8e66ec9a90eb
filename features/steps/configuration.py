"""Steps about the configuration and its versions."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from waxwing_testbed.history import CallOutcome, check_monotone_versions
from waxwing_testbed.scenario import VersionWatch, log_view
from waxwing_testbed.standins import Fault
from waxwingwinch.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationChange,
    ConfigurationSnapshot,
    SetDefault,
    wrap_change,
)
from waxwingwinch.operators import AllUnreachable, RequestRefused

#: The setting that the scenarios change; it steers nothing while the number
#: of engines is fixed.
SETTING = "spend_weight"
#: Fewer changes than records that the log of the feature keeps: a reader that
#: misses records and finds no snapshot stays stale.
CHANGES_IN_BATCH = 100
#: Batches until all snapshots must have left the log.
MAX_BATCHES = 8


@given("the versions in force are watched")
def step_watch(context):
    context.watch = VersionWatch(context.world)
    context.watch.start()
    context.add_cleanup(context.watch.stop)


@when("two operators publish at i1 and i2 at once, {count:d} times")
def step_race(context, count):
    context.races = [race(context) for _ in range(count)]


@then("each time one was accepted and the other was told of the conflict")
def step_one_won(context):
    for results in context.races:
        accepted = [one for one in results if isinstance(one, int)]
        refused = [one for one in results if isinstance(one, RequestRefused)]
        assert (len(accepted), len(refused)) == (1, 1), results
        assert refused[0].status == 409, refused
        assert refused[0].findings


@when("an operator publishes {count:d} changes, one after the other")
def step_publish_many(context, count):
    context.in_force_seconds = []
    for number in range(count):
        version = context.world.operator().publish([change_to(2.0 + number / 100)])
        context.in_force_seconds.append(context.world.wait_in_force(version))
    context.expected = context.world.operator().configuration()


@when("an operator publishes at {instance:w}")
def step_publish(context, instance):
    operator = context.world.operator(instance)
    # Each scenario needs a value that is not in force yet.
    present = operator.configuration()
    value = 1.0 + (present.version % 50 + 1) / 100
    context.version = operator.publish([change_to(value)])
    context.expected = operator.configuration()


@then("each was in force everywhere within {seconds:d} seconds")
def step_in_force(context, seconds):
    times = sorted(context.in_force_seconds)
    print(f"in force after {', '.join(f'{one:.2f}' for one in times)} s")
    assert times[-1] <= seconds


@when("all records of the configuration are repeated in the log")
def step_repeat(context):
    log = log_view(context.world)
    for record in log.records(CONFIGURATION_STREAM):
        log.repeat(CONFIGURATION_STREAM, record)


@when("its changes and snapshots are written by another writer")
def step_rewrite(context):
    log = log_view(context.world)
    messages = log.messages(CONFIGURATION_STREAM)
    old = [
        message.body
        for message in messages
        if isinstance(message.body, ConfigurationChange | ConfigurationSnapshot)
    ]
    assert any(isinstance(body, ConfigurationSnapshot) for body in old)
    log.write(CONFIGURATION_STREAM, old)


@then("the configuration is unchanged at all instances")
def step_unchanged(context):
    for view in views(context):
        assert view.version == context.expected.version, view.version
        assert view.configuration == context.expected.configuration


@when("the log takes records after {seconds:d} seconds")
def step_delay_appends(context, seconds):
    fault = Fault(delay_seconds=seconds)
    context.world.deployment.admin.set_fault("platform", "append", fault)


@when(
    'an operator publishes "{name}" at {instance:w}, '
    "which is killed after {seconds:f} seconds"
)
def step_publish_and_kill(context, name, instance, seconds):
    operator = context.world.operator(instance)
    context.midway_version = operator.configuration().version
    with ThreadPoolExecutor(1) as pool:
        publishing = pool.submit(
            operator.publish, [change_to(3.0)], context.midway_version, name
        )
        time.sleep(seconds)
        entry = context.world.instance(instance).entry
        entry.kill()
        entry.wait_for_exit(5.0)
        error = publishing.exception()
    assert isinstance(error, AllUnreachable), error
    entry.start()


@when('the operator publishes "{name}" again at {instance:w}')
def step_publish_again(context, name, instance):
    operator = context.world.operator(instance)
    changes = [change_to(3.0)]
    context.again = operator.publish(changes, context.midway_version, name)


@then('the change "{name}" took effect once')
def step_once(context, name):
    assert context.again == context.midway_version + 1, context.again
    context.world.wait_in_force(context.again)
    assert context.world.operator("i2").configuration().version == context.again


@when("changes are written until the log holds no snapshot")
def step_write_changes(context):
    for _ in range(MAX_BATCHES):
        write_changes(context, CHANGES_IN_BATCH)
        # A holder that just took over the duty may have written one.
        if not snapshots(context):
            return
    raise AssertionError("the log always holds a snapshot")


@then("the log holds a snapshot of the configuration")
def step_snapshot(context):
    context.world.wait_until(lambda: bool(snapshots(context)), "there is a snapshot")


@then("all instances have the same configuration within {seconds:d} seconds")
def step_same(context, seconds):
    def is_same():
        found = views(context)
        return all(view == found[0] for view in found)

    took_seconds = context.world.wait_until(
        is_same, "all instances have the same configuration", seconds
    )
    print(f"the same everywhere after {took_seconds:.2f} s")


@then("{instance:w} serves an open call")
def step_serves_open(context, instance):
    world = context.world
    event = world.send(world.catalogue(), instance)
    assert event.outcome is CallOutcome.WHOLE, event


@then("{instance:w} serves a keyed call or refuses it as not run")
def step_serves_or_refuses(context, instance):
    # A new instance has no floor, and none can be recorded without the log.
    world = context.world
    event = world.send(world.status_check(), instance)
    print(f"keyed call at {instance}: {event.status} {event.outcome} {event.detail}")
    if event.outcome is not CallOutcome.WHOLE:
        assert event.outcome is CallOutcome.NOT_RUN, event
        assert event.retry_after_seconds is not None, event


@then("{instance:w} comes to serve a keyed call")
def step_comes_to_serve(context, instance):
    world = context.world

    def is_served():
        event = world.send(world.status_check(), instance)
        return event.outcome is CallOutcome.WHOLE

    world.wait_until(is_served, f"{instance} serves a keyed call")


@then("no version went back")
def step_monotone(context):
    sightings = context.watch.stop()
    assert sightings
    assert not check_monotone_versions(sightings)


def change_to(value):
    return SetDefault(SETTING, value)


def write_changes(context, count):
    version = context.world.operator().configuration().version
    changes = [
        ConfigurationChange(
            version + number,
            "tester",
            uuid.uuid4().hex,
            "for a test",
            (wrap_change(change_to(4.0 + number / 1_000)),),
        )
        for number in range(count)
    ]
    log_view(context.world).write(CONFIGURATION_STREAM, changes)
    context.world.wait_in_force(version + count)


def race(context):
    version = context.world.operator().configuration().version
    context.world.wait_in_force(version)
    operators = [context.world.operator(name) for name in ("i1", "i2")]
    with ThreadPoolExecutor(2) as pool:
        running = [
            pool.submit(operator.publish, [change_to(value)], version)
            for operator, value in zip(operators, (5.0, 6.0), strict=True)
        ]
    return [one.exception() or one.result() for one in running]


def views(context):
    instances = context.world.deployment.instances
    names = [str(instance.instance_id) for instance in instances]
    return [context.world.operator(name).configuration() for name in names]


def snapshots(context):
    messages = log_view(context.world).messages(CONFIGURATION_STREAM)
    return [
        message
        for message in messages
        if isinstance(message.body, ConfigurationSnapshot)
    ]
