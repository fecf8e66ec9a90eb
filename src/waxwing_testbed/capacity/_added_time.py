"""Time that an entry adds to a call of an engine."""

import statistics
import time
from collections.abc import Callable

from attrs import evolve, frozen

from waxwing_testbed.capacity._completions import (
    PROMPT,
    READ_BYTES,
    TOKEN_MARK,
    open_completion,
)
from waxwing_testbed.capacity._figures import Figure
from waxwing_testbed.capacity._idle import capacity_plan, quiet_defaults
from waxwing_testbed.scenario import World
from waxwing_testbed.standins import EngineSpeeds
from waxwingwinch._types import Address, ModelName
from waxwingwinch.adapters import HttpEngine
from waxwingwinch.interfaces import GenerateCall, StreamPart

#: Pairs of a direct call and one through the entry.
PAIRS = 100
PAIR_TOKENS = 12
#: Pace of the engine.
FAST_DECODE_SECONDS_PER_TOKEN = 0.005
MILLISECONDS_PER_SECOND = 1_000.0


@frozen
class StreamTimes:
    """
    When the tokens of one answer came.

    :param first_seconds: Time to the first token.
    :param between_seconds: Mean time between tokens.
    """

    first_seconds: float
    between_seconds: float


def measure_added_time(note: Callable[[str], None]) -> list[Figure]:
    """
    Compare calls of an engine with calls through an entry.

    The engine is fast, so that its pace hides little of the difference.

    :param note: Told what is being done.
    """
    note("added time")
    plan = evolve(
        capacity_plan(1, 1), speeds=EngineSpeeds(FAST_DECODE_SECONDS_PER_TOKEN)
    )
    world = World(plan, quiet_defaults(1))
    try:
        world.start()
        return _compare_times(world)
    finally:
        world.close()


def _compare_times(world: World) -> list[Figure]:
    engine = world.deployment.standin_settings.engines[0]
    entry = world.instance("i1").address
    direct, through = [], []
    for number in range(PAIRS):
        direct.append(_direct_times(engine.address, engine.model, number))
        through.append(_entry_times(entry))
    method = (
        f"difference of medians of {PAIRS} alternating calls, wall time, quiet entry"
    )
    return [
        Figure(
            "added_first_token_ms",
            _added(
                [t.first_seconds for t in through], [t.first_seconds for t in direct]
            ),
            "ms",
            method,
        ),
        Figure(
            "added_between_tokens_ms",
            _added(
                [t.between_seconds for t in through],
                [t.between_seconds for t in direct],
            ),
            "ms",
            method,
        ),
    ]


def _added(through: list[float], direct: list[float]) -> float:
    difference = statistics.median(through) - statistics.median(direct)
    return difference * MILLISECONDS_PER_SECOND


def _direct_times(address: Address, model: ModelName, number: int) -> StreamTimes:
    call = GenerateCall(f"direct-{number}", model, PROMPT, PAIR_TOKENS)
    started_seconds = time.monotonic()
    stream = HttpEngine().generate(address, call)
    times = [time.monotonic() for item in stream if isinstance(item, StreamPart)]
    return _times(started_seconds, times)


def _entry_times(address: Address) -> StreamTimes:
    started_seconds = time.monotonic()
    response = open_completion(address, PAIR_TOKENS)
    times: list[float] = []
    while part := response.read1(READ_BYTES):
        times.extend([time.monotonic()] * part.count(TOKEN_MARK))
    return _times(started_seconds, times)


def _times(started_seconds: float, times: list[float]) -> StreamTimes:
    return StreamTimes(
        times[0] - started_seconds, (times[-1] - times[0]) / (PAIR_TOKENS - 1)
    )
