"""What relaying streams costs an entry."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen

from waxwing_testbed import free_addresses
from waxwing_testbed.capacity._completions import (
    READ_BYTES,
    TOKEN_MARK,
    open_completion,
)
from waxwing_testbed.capacity._idle import capacity_plan, quiet_defaults
from waxwing_testbed.capacity._meters import read_process_use
from waxwing_testbed.capacity._slopes import Point, Slope, fit_slope
from waxwing_testbed.history import CallKind, CallOutcome
from waxwing_testbed.load import CallSender, PlainRequest
from waxwing_testbed.proxy import FaultProxy
from waxwing_testbed.scenario import STATUS_PATH, WIDE, World, key_of
from waxwingwinch._types import Address
from waxwingwinch.adapters import HttpEngine

#: Streams open at one time.
STREAM_SIZES = (25, 50, 100, 200)
#: Calls of a plain service in a row.
CALL_SIZES = (100, 200, 300, 400)
ENGINES = 8
#: Time within which the streams are opened.
RAMP_SECONDS = 4.0
MEASURE_SECONDS = 8.0
#: Tokens of each stream; more than are sent until the end of a measurement.
STREAM_TOKENS = 400
#: Polls of an engine in a row.
POLL_SIZES = (10, 20, 40, 80)
MILLISECONDS_PER_SECOND = 1_000.0
BYTES_PER_MEGABYTE = 1_000_000


@frozen
class StreamUse:
    """
    What an entry used while streams were open.

    :param streams: How many were open.
    :param processor_seconds: Processor time of the entry.
    :param tokens: Tokens that callers received meanwhile.
    :param elapsed_seconds: Length of the measurement.
    :param resident_bytes: Memory of the entry.
    :param threads: Threads of the entry.
    """

    streams: int
    processor_seconds: float
    tokens: int
    elapsed_seconds: float
    resident_bytes: int
    threads: int


class TokenCounter:
    """Counts tokens over all callers."""

    def __init__(self) -> None:
        self._tokens = 0
        self._lock = threading.Lock()

    def add(self, tokens: int) -> None:
        """
        Count tokens.

        :param tokens: How many more.
        """
        with self._lock:
            self._tokens += tokens

    def total(self) -> int:
        """Return all counted so far."""
        with self._lock:
            return self._tokens


def measure_streams(note: Callable[[str], None]) -> list[Slope]:
    """
    Measure one entry with streams and calls.

    :param note: Told what is being done.
    """
    world = World(capacity_plan(1, ENGINES), quiet_defaults(ENGINES))
    try:
        world.start()
        note("calls of a plain service")
        slopes = [_call_slope(world), _poll_slope(world)]
        uses = []
        for streams in STREAM_SIZES:
            note(f"{streams} streams")
            uses.append(_measure(world, streams))
        return [*slopes, *_stream_slopes(uses)]
    finally:
        world.close()


def _measure(world: World, streams: int) -> StreamUse:
    instance = world.instance("i1")
    counter, closing = TokenCounter(), threading.Event()
    with ThreadPoolExecutor(streams) as pool:
        for _ in range(streams):
            pool.submit(_read_stream, instance.address, counter, closing)
            time.sleep(RAMP_SECONDS / streams)
        before, tokens = read_process_use(instance.entry.pid), counter.total()
        started_seconds = time.monotonic()
        time.sleep(MEASURE_SECONDS)
        after = read_process_use(instance.entry.pid)
        use = StreamUse(
            streams,
            after.processor_seconds - before.processor_seconds,
            counter.total() - tokens,
            time.monotonic() - started_seconds,
            after.resident_bytes,
            after.threads,
        )
        closing.set()
    return use


def _read_stream(
    address: Address, counter: TokenCounter, closing: threading.Event
) -> None:
    response = open_completion(address, STREAM_TOKENS)
    while not closing.is_set() and (part := response.read1(READ_BYTES)):
        counter.add(part.count(TOKEN_MARK))
    response.close()


def _stream_slopes(uses: list[StreamUse]) -> list[Slope]:
    processor = "user and system time of the entry from /proc/<pid>/stat"
    return [
        fit_slope(
            "relay_core_ms_per_token",
            "ms of processor time a second",
            "token relayed a second",
            processor,
            [
                Point(
                    use.tokens / use.elapsed_seconds,
                    use.processor_seconds
                    / use.elapsed_seconds
                    * MILLISECONDS_PER_SECOND,
                )
                for use in uses
            ],
        ),
        fit_slope(
            "stream_core_percent",
            "% of a core",
            "open stream at 56 ms a token",
            processor,
            [
                Point(use.streams, use.processor_seconds / use.elapsed_seconds * 100)
                for use in uses
            ],
        ),
        fit_slope(
            "stream_megabytes",
            "MB",
            "open stream",
            "resident pages of the entry from /proc/<pid>/stat",
            [
                Point(use.streams, use.resident_bytes / BYTES_PER_MEGABYTE)
                for use in uses
            ],
        ),
        fit_slope(
            "stream_threads",
            "threads",
            "open stream",
            "threads of the entry from /proc/<pid>/stat",
            [Point(use.streams, use.threads) for use in uses],
        ),
        fit_slope(
            "stream_tokens_per_second",
            "tokens/s",
            "open stream at 56 ms a token",
            "tokens that callers received; wall time, depends on the load",
            [Point(use.streams, use.tokens / use.elapsed_seconds) for use in uses],
        ),
    ]


def _call_slope(world: World) -> Slope:
    instance = world.instance("i1")
    sender = CallSender(WIDE, key_of(WIDE))
    call = PlainRequest(CallKind.READ, "GET", STATUS_PATH)
    points = []
    for calls in CALL_SIZES:
        before = read_process_use(instance.entry.pid)
        for _ in range(calls):
            event = sender.send(instance.address, call)
            if event.outcome is not CallOutcome.WHOLE:
                raise RuntimeError(f"a call ended {event.outcome}: {event.detail}")
        after = read_process_use(instance.entry.pid)
        used_seconds = after.processor_seconds - before.processor_seconds
        points.append(Point(calls, used_seconds * MILLISECONDS_PER_SECOND))
    return fit_slope(
        "call_ms",
        "ms of processor time",
        "call of a plain service on a new connection",
        "user and system time of the entry from /proc/<pid>/stat",
        points,
    )


def _poll_slope(world: World) -> Slope:
    """Count the bytes of polls of an engine through a proxy."""
    (address,) = free_addresses(1)
    target = world.deployment.standin_settings.engines[0].address
    proxy, engine = FaultProxy(address, target), HttpEngine()
    proxy.start()
    points = []
    try:
        for polls in POLL_SIZES:
            before_bytes = proxy.moved_bytes()
            for _ in range(polls):
                engine.load_report(address)
                engine.cache_events(address, 0)
            points.append(Point(polls, proxy.moved_bytes() - before_bytes))
    finally:
        proxy.stop()
    return fit_slope(
        "engine_poll_wire_bytes",
        "B",
        "poll of load and of no cache events",
        "bytes counted by a proxy, both directions, kept connection",
        points,
    )
