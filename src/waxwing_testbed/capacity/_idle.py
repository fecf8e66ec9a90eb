"""What the processes of a deployment use without traffic."""

import time
from collections.abc import Callable, Iterable

from attrs import evolve, frozen

from waxwing_testbed.capacity._meters import read_process_use
from waxwing_testbed.capacity._slopes import Point, Slope, fit_slope
from waxwing_testbed.deployment import (
    DeploymentPlan,
    EngineGroup,
    Instance,
    PlainGroup,
)
from waxwing_testbed.scenario import World
from waxwing_testbed.standins import EngineLimits, EngineSpeeds
from waxwingwinch._types import ModelName, ZoneName
from waxwingwinch.configuration import Defaults

#: Instances, with the engines of :data:`ENGINES_BESIDE`.
INSTANCE_SIZES = (3, 5, 7, 9)
#: Engines, with :data:`INSTANCES_BESIDE` instances.
ENGINE_SIZES = (2, 6, 12, 24)
ENGINES_BESIDE = 6
INSTANCES_BESIDE = 3
#: Time between the start of a deployment and the measurement.
SETTLE_SECONDS = 4.0
#: Length of a measurement.
MEASURE_SECONDS = 10.0
PERCENT = 100.0
BYTES_PER_KILOBYTE = 1_000
BYTES_PER_MEGABYTE = 1_000_000
MODEL = ModelName("capacity-model")
_ZONES = tuple(ZoneName(f"zone-{number}") for number in range(1, 4))
_STAT = "user and system time from /proc/<pid>/stat over 10 s, real processes"
_PROXY = "bytes counted by the proxies, both directions, real processes"


@frozen
class IdleUse:
    """
    What a deployment used without traffic, means over its instances.

    :param size: Instances or engines.
    :param entry_core_percent: Processor time of the entry.
    :param standby_core_percent: Processor time of a control without duties.
    :param holder_core_percent: Processor time of the control that holds the
        fleet's duty, or of the busiest one.
    :param entry_resident_megabytes: Memory of the entry.
    :param control_resident_megabytes: Memory of the control.
    :param platform_kilobytes_per_second: Traffic with the platform.
    :param peer_kilobytes_per_second: Traffic with peers, sent and received.
    """

    size: int
    entry_core_percent: float
    standby_core_percent: float
    holder_core_percent: float
    entry_resident_megabytes: float
    control_resident_megabytes: float
    platform_kilobytes_per_second: float
    peer_kilobytes_per_second: float


def capacity_plan(instances: int, engines: int) -> DeploymentPlan:
    """
    Return a deployment whose engines pace tokens as the target does.

    :param instances: Number of instances.
    :param engines: Number of engines.
    """
    return DeploymentPlan(
        name="capacity",
        zones=_ZONES,
        instances=instances,
        engines=(EngineGroup(MODEL, engines),),
        plain=(PlainGroup("shop", 2),),
        speeds=EngineSpeeds(decode_seconds_per_token=0.056),
        limits=EngineLimits(max_running=64, kv_pieces=512),
    )


def quiet_defaults(engines: int) -> Defaults:
    """
    Return settings under which engines stay as they are.

    :param engines: Number of engines; none is bought or given back.
    """
    return evolve(
        Defaults(),
        min_engines_per_model=engines,
        max_engines_per_model=engines,
        role_hold_seconds=3_600.0,
        survive_zone_loss=False,
    )


def measure_idle(note: Callable[[str], None]) -> list[Slope]:
    """
    Measure deployments of several sizes.

    :param note: Told what is being done.
    """
    by_instances, by_engines = [], []
    for instances in INSTANCE_SIZES:
        note(f"{instances} instances without traffic")
        use = _measure(instances, ENGINES_BESIDE)
        by_instances.append(evolve(use, size=instances))
        if instances == INSTANCES_BESIDE:
            by_engines.append(evolve(use, size=ENGINES_BESIDE))
    for engines in ENGINE_SIZES:
        if engines == ENGINES_BESIDE:
            continue
        note(f"{engines} engines without traffic")
        use = _measure(INSTANCES_BESIDE, engines)
        by_engines.append(evolve(use, size=engines))
    by_engines.sort(key=lambda use: use.size)
    return [
        *_slopes("instance", by_instances),
        *_slopes("engine", by_engines),
    ]


def _measure(instances: int, engines: int) -> IdleUse:
    world = World(capacity_plan(instances, engines), quiet_defaults(engines))
    try:
        world.start()
        time.sleep(SETTLE_SECONDS)
        return _observe(world)
    finally:
        world.close()


def _observe(world: World) -> IdleUse:
    rows = world.deployment.instances
    entries = [row.entry.pid for row in rows]
    controls = [row.control.pid for row in rows]
    moved_before = _moved(world, "platform"), _moved(world, "peer", "control")
    entry_before, control_before = _used(entries), _used(controls)
    started_seconds = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    elapsed_seconds = time.monotonic() - started_seconds
    entry_percent = _percent(entry_before, _used(entries), elapsed_seconds)
    control_percent = sorted(_percent(control_before, _used(controls), elapsed_seconds))
    moved_after = _moved(world, "platform"), _moved(world, "peer", "control")
    per_kilobyte = elapsed_seconds * BYTES_PER_KILOBYTE * len(rows)
    return IdleUse(
        size=len(rows),
        entry_core_percent=_mean(entry_percent),
        standby_core_percent=control_percent[0],
        holder_core_percent=control_percent[-1],
        entry_resident_megabytes=_resident(entries),
        control_resident_megabytes=_resident(controls),
        platform_kilobytes_per_second=(moved_after[0] - moved_before[0]) / per_kilobyte,
        # Each byte is sent by one instance and received by another.
        peer_kilobytes_per_second=2 * (moved_after[1] - moved_before[1]) / per_kilobyte,
    )


def _moved(world: World, *kinds: str) -> int:
    admin = world.deployment.admin
    return sum(
        admin.proxy_moved_bytes(f"{kind}-{_name(row)}")
        for row in world.deployment.instances
        for kind in kinds
    )


def _name(row: Instance) -> str:
    return str(row.instance_id)


def _used(pids: Iterable[int]) -> list[float]:
    return [read_process_use(pid).processor_seconds for pid in pids]


def _percent(
    before: list[float], after: list[float], elapsed_seconds: float
) -> list[float]:
    pairs = zip(before, after, strict=True)
    return [(end - start) / elapsed_seconds * PERCENT for start, end in pairs]


def _resident(pids: Iterable[int]) -> float:
    return _mean([read_process_use(p).resident_bytes for p in pids]) / (
        BYTES_PER_MEGABYTE
    )


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _slopes(per: str, uses: list[IdleUse]) -> list[Slope]:
    shown = [
        ("entry_core_percent", "% of a core", _STAT),
        ("standby_core_percent", "% of a core", f"{_STAT}; least busy control"),
        ("holder_core_percent", "% of a core", f"{_STAT}; busiest control"),
        ("entry_resident_megabytes", "MB", "resident pages from /proc/<pid>/stat"),
        ("control_resident_megabytes", "MB", "resident pages from /proc/<pid>/stat"),
        ("platform_kilobytes_per_second", "KB/s", _PROXY),
        ("peer_kilobytes_per_second", "KB/s", _PROXY),
    ]
    return [
        fit_slope(
            f"idle_{field}_per_{per}",
            unit,
            per,
            method,
            [Point(use.size, getattr(use, field)) for use in uses],
        )
        for field, unit, method in shown
    ]
