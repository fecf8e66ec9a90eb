"""Seeded schedules of calls and faults."""

import enum
import random
import time
from collections.abc import Sequence

from attrs import frozen

from waxwing_testbed.history import CallEvent
from waxwing_testbed.load import Call
from waxwing_testbed.scenario._configuration import OTHER, WIDE
from waxwing_testbed.scenario._request_checks import instance_names
from waxwing_testbed.scenario._world import World
from waxwing_testbed.standins import Fault, Outage
from waxwingwinch._types import CustomerId

#: Calls of one schedule.
CALLS = 240
#: Time over which the calls are spread.
CALLS_SECONDS = 10.0
#: Different idempotency keys, so that each comes several times.
ORDER_KEYS = 40
#: Faults of one schedule, one after the other.
FAULTS = 9
#: Shortest and longest fault.
FAULT_SECONDS = (0.3, 1.5)


class FaultKind(enum.Enum):
    """What goes wrong for a while."""

    PAUSED_ENTRY = "paused entry"
    KILLED_ENTRY = "killed entry"
    LOG_OUTAGE = "log outage"
    LOST_APPENDS = "lost append answers"
    LOST_ANSWERS = "lost answers of plain services"
    CROSSED_ANSWERS = "crossed answers of plain services"
    CRASHED_ENGINE = "crashed engine"


@frozen
class PlannedCall:
    """
    A call of a schedule.

    :param seconds: When it is sent, from the begin of the schedule.
    :param call: What it asks for.
    :param instance: Name of the instance.
    :param customer_id: Whose key is sent.
    """

    seconds: float
    call: Call
    instance: str
    customer_id: CustomerId


@frozen
class PlannedFault:
    """
    A fault of a schedule.

    :param kind: What goes wrong.
    :param number: Chooses the process that it hits.
    :param duration_seconds: How long it lasts.
    """

    kind: FaultKind
    number: int
    duration_seconds: float


def plan_calls(world: World, seed: int) -> list[PlannedCall]:
    """
    Draw the calls of a schedule.

    :param world: Makes the calls.
    :param seed: Determines them.
    """
    draw = random.Random(f"calls-{seed}")
    names = instance_names(world)
    seconds = sorted(draw.uniform(0.0, CALLS_SECONDS) for _ in range(CALLS))
    return [_plan_call(world, draw, names, seed, at) for at in seconds]


def _plan_call(
    world: World, draw: random.Random, names: list[str], seed: int, seconds: float
) -> PlannedCall:
    number = draw.randrange(ORDER_KEYS)
    # A key belongs to one customer and one body.
    customer_id = WIDE if number % 2 else OTHER
    body = b'{"kit": %d}' % number
    name = f"{seed}-{draw.getrandbits(64)}"
    kind = draw.choices(("order", "payment", "read", "chat"), (5, 2, 1, 2))[0]
    match kind:
        case "order":
            call: Call = world.order(f"{seed}-{number}", body)
        case "payment":
            call = world.payment(body, name)
        case "read":
            call = world.status_check()
        case _:
            call = world.chat(draw.randint(4, 60), word=name)
    return PlannedCall(seconds, call, draw.choice(names), customer_id)


def plan_faults(seed: int) -> list[PlannedFault]:
    """
    Draw the faults of a schedule; each kind comes at least once.

    :param seed: Determines them.
    """
    draw = random.Random(f"faults-{seed}")
    kinds = list(FaultKind)
    kinds += draw.choices(kinds, k=FAULTS - len(kinds))
    draw.shuffle(kinds)
    return [
        PlannedFault(kind, draw.randrange(1_000), draw.uniform(*FAULT_SECONDS))
        for kind in kinds
    ]


def run_schedule(
    world: World, calls: Sequence[PlannedCall], faults: Sequence[PlannedFault]
) -> list[CallEvent]:
    """
    Send calls at their times while faults come and go.

    :param world: Where to run.
    :param calls: In order of their times.
    :param faults: Run one after the other beside the calls.
    :returns: What the callers saw.
    """
    started_seconds = time.monotonic()
    troubles = world.in_background(lambda: _run_faults(world, faults))
    sent = []
    for planned in calls:
        due_seconds = started_seconds + planned.seconds
        time.sleep(max(0.0, due_seconds - time.monotonic()))
        sent.append(
            world.send_in_background(
                planned.call, planned.instance, planned.customer_id
            )
        )
    troubles.result()
    return [call.result() for call in sent]


def _run_faults(world: World, faults: Sequence[PlannedFault]) -> None:
    for fault in faults:
        _run_fault(world, fault)


def _run_fault(world: World, fault: PlannedFault) -> None:
    instances = world.deployment.instances
    entry = instances[fault.number % len(instances)].entry
    engines = world.deployment.standin_settings.engines
    admin = world.deployment.admin
    match fault.kind:
        case FaultKind.PAUSED_ENTRY:
            entry.pause()
            time.sleep(fault.duration_seconds)
            entry.resume()
        case FaultKind.KILLED_ENTRY:
            entry.kill()
            entry.wait_for_exit(5.0)
            time.sleep(fault.duration_seconds)
            entry.start()
        case FaultKind.LOG_OUTAGE:
            world.set_log_outage(Outage.REFUSE)
            time.sleep(fault.duration_seconds)
            world.set_log_outage(Outage.NONE)
        case FaultKind.LOST_APPENDS:
            lost = Fault(lose_answers_probability=0.5)
            admin.set_fault("platform", "append", lost)
            time.sleep(fault.duration_seconds)
            admin.set_fault("platform", "append", Fault())
        case FaultKind.LOST_ANSWERS:
            world.set_plain_fault(Fault(lose_answers_probability=0.3))
            time.sleep(fault.duration_seconds)
            world.set_plain_fault(Fault())
        case FaultKind.CROSSED_ANSWERS:
            world.set_plain_fault(Fault(wrong_request_id_next=3))
            time.sleep(fault.duration_seconds)
            world.set_plain_fault(Fault())
        case FaultKind.CRASHED_ENGINE:
            admin.crash(engines[fault.number % len(engines)].name, 1.0)
            time.sleep(fault.duration_seconds)
