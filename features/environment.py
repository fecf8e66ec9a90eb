"""
Hooks of the scenarios.

Each feature runs in one deployment. A feature names its size by a tag
``@instances.N``; ``@plan.NAME`` picks its upstreams and its market, and
``@log_records.N`` says how many records the log keeps of each stream.
``@no_world`` is for a feature that starts its own programs.
"""

from attrs import evolve

from waxwing_testbed.scenario import BackgroundCallers, Takeover, World, named_plan
from waxwingwinch.configuration import Defaults

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
    context.world.restore()


def after_feature(context, feature):
    if context.world is not None:
        context.world.close()


def find_tag(feature, prefix, default):
    """Return what stands behind a prefix in the tags of a feature."""
    for tag in feature.tags:
        if tag.startswith(prefix):
            return tag.removeprefix(prefix)
    return default
