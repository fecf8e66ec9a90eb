"""
Hooks of the scenarios.

Each feature runs in one deployment. A feature names its size by a tag
``@instances.N``; ``@plan.NAME`` picks its upstreams and its market, and
``@log_records.N`` says how many records the log keeps of each stream.
``@no_world`` is for a feature that starts its own programs.
"""

from pathlib import Path

from attrs import evolve

from waxwing_testbed.scenario import (
    OTHER,
    WIDE,
    BackgroundCallers,
    Takeover,
    World,
    log_view,
    named_plan,
)
from waxwingwinch.configuration import Defaults
from waxwingwinch.limits import FloorGranted

#: Instances of a feature without a tag.
DEFAULT_INSTANCES = 3
#: Short, so that scenarios outlast it within seconds.
LEASE_SECONDS = 3.0
#: Settings that make faults show within seconds.
TEST_DEFAULTS = Defaults(
    usage_window_seconds=5,
    freshness_seconds=3.0,
    discovery_ttl_seconds=1.0,
    floor_term_seconds=30.0,
    survive_zone_loss=False,
    min_engines_per_model=9,
    max_engines_per_model=9,
)
#: Where the logs of the processes of failed scenarios are kept.
KEPT_LOGS = Path("build") / "failed-scenarios"
#: Outcomes of scenarios whose logs tell nothing of a fault.
HARMLESS_STATUSES = frozenset({"passed", "skipped", "untested"})


def before_feature(context, feature):
    context.world = None
    if "no_world" in feature.tags:
        return
    instances = int(find_tag(feature, "instances.", str(DEFAULT_INSTANCES)))
    plan = named_plan(find_tag(feature, "plan.", "tahi"))
    records = int(find_tag(feature, "log_records.", str(plan.log.max_records)))
    log = evolve(plan.log, max_records=records)
    plan = evolve(plan, instances=instances, log=log, lease_seconds=LEASE_SECONDS)
    context.world = World(plan, TEST_DEFAULTS)
    context.world.start()
    # Until then an instance gives out what it gets from the holder of the
    # limits within a third of a second, which a busy machine may take longer.
    context.world.wait_until(lambda: has_floors(context.world), "floors are granted")


def before_scenario(context, scenario):
    if context.world is None:
        return
    context.world.notes.clear()
    context.takeover = Takeover(context.world)
    context.callers = BackgroundCallers(context.world)


def after_scenario(context, scenario):
    if context.world is None:
        return
    context.callers.stop()
    if scenario.status.name not in HARMLESS_STATUSES:
        kept = context.world.keep_logs(
            KEPT_LOGS, f"{scenario.filename}-{scenario.line}"
        )
        print(f"The logs of the processes are kept in {kept}")
    context.world.restore()


def after_feature(context, feature):
    if context.world is not None:
        context.world.close()


def has_floors(world):
    """Tell whether each instance has its own part of the customers' rates."""
    granted = {
        (message.body.customer_id, message.body.holder.instance_id)
        for message in log_view(world).messages(f"limits-{world.deployment.plan.name}")
        if isinstance(message.body, FloorGranted)
    }
    return all(
        (customer_id, instance.instance_id) in granted
        for customer_id in (WIDE, OTHER)
        for instance in world.deployment.instances
    )


def find_tag(feature, prefix, default):
    """Return what stands behind a prefix in the tags of a feature."""
    for tag in feature.tags:
        if tag.startswith(prefix):
            return tag.removeprefix(prefix)
    return default
