"""
Hooks of the scenarios.

Each feature runs in one deployment. A feature names its size by a tag
``@instances.N``, and by ``@log_records.N`` how many records the log keeps of
each stream.
"""

from attrs import evolve

from waxwing_testbed.deployment import tahi_plan
from waxwing_testbed.scenario import World
from waxwingwinch.configuration import Defaults

#: Instances of a feature without a tag.
DEFAULT_INSTANCES = 3
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
    plan = tahi_plan()
    records = find_number(feature, "log_records.", plan.log.max_records)
    plan = evolve(
        plan,
        instances=find_number(feature, "instances.", DEFAULT_INSTANCES),
        log=evolve(plan.log, max_records=records),
    )
    context.world = World(plan, TEST_DEFAULTS)
    context.world.start()


def before_scenario(context, scenario):
    context.world.notes.clear()


def after_scenario(context, scenario):
    context.world.restore()


def after_feature(context, feature):
    context.world.close()


def find_number(feature, prefix, default):
    """Return the number behind a prefix in the tags of a feature."""
    for tag in feature.tags:
        if tag.startswith(prefix):
            return int(tag.removeprefix(prefix))
    return default
