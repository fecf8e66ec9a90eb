"""A deterministic model of upstreams and of instances that choose."""

import heapq
import math
import random
from collections.abc import Callable
from functools import partial
from statistics import mean

from attrs import define, field, frozen

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._loads import NO_LOAD, LoadTracker
from waxwingwinch.gateway._placement import (
    FIRST_EVENT_SECONDS,
    EngineOption,
    PlainOption,
    PromptSize,
    RunSplit,
    estimate_prefill_seconds,
    place_plain,
    place_prompt,
    prefill_work_tokens,
    work_seconds,
)
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.capacity import (
    INITIAL_SLOWDOWN,
    NOMINAL_ESTIMATE,
    CapacityEstimate,
    CapacityTracker,
)

ZONES = [ZoneName(name) for name in ("a", "b", "c")]
REPORT_SECONDS = 0.3
NOISE = 0.15
#: Above this number instances form cells, which announce nothing.
ANNOUNCING_INSTANCES = 16
#: Returns how many times slower an upstream is than usual, from its number,
#: the time, and the part of its slots in use.
Slowness = Callable[[int, float, float], float]


class FixedEstimates:
    """The choices of before: slowdowns of prefills, from own measurements."""

    def __init__(self) -> None:
        self.slowdowns: dict[str, float] = {}

    def observe_prefill(self, upstream, expected, waiting, took, now):
        usual = self.slowdowns.get(upstream.upstream_id, INITIAL_SLOWDOWN)
        measured = min(max(took / (expected + waiting), 0.8), 3.0)
        self.slowdowns[upstream.upstream_id] = usual + 0.15 * (measured - usual)

    def observe_plain(self, *_):
        pass

    def estimate(self, upstream, _):
        usual = self.slowdowns.get(upstream.upstream_id, INITIAL_SLOWDOWN)
        return CapacityEstimate(prefill=usual)

    def rows(self, *_):
        return ()

    def apply(self, *_):
        pass


@define
class Server:
    """An upstream that runs what it gets in order, in its slots."""

    number: int
    entry: Upstream
    slowness: Slowness
    ends: list[float] = field(factory=list)

    def end_seconds(self, now, own_seconds):
        """Add a request, and return when it ends."""
        self.ends = [end for end in self.ends if end > now]
        slots = self.entry.slots
        waiting = sorted(self.ends)[-slots:] if len(self.ends) >= slots else [now]
        began, part = max(waiting[0], now), min(len(self.ends) / slots, 1.0)
        end = began + own_seconds * self.slowness(self.number, began, part)
        self.ends.append(end)
        return end


@frozen
class Waits:
    """Times from the arrival of requests to their answers."""

    seconds: list[float]

    @property
    def mean(self):
        return mean(self.seconds)

    @property
    def p99(self):
        return sorted(self.seconds)[int(0.99 * len(self.seconds))]


class Fleet:
    """Instances that serve requests, and report to each other."""

    def __init__(self, slowness, is_learning, is_plain, seed=7, count=12, instances=6):
        self.random, self.is_plain, self.choices = random.Random(seed), is_plain, []
        role = None if is_plain else EngineRole.PREFILL
        self.servers = [
            Server(number, _entry(number, role, 6 if is_plain else 1), slowness)
            for number in range(count)
        ]
        make = CapacityTracker if is_learning else FixedEstimates
        self.trackers = [make() for _ in range(instances)]
        self.loads = [LoadTracker() for _ in range(instances)]
        if instances <= ANNOUNCING_INSTANCES:
            for index, loads in enumerate(self.loads):
                loads.announce = partial(self._announce, index)
        self.by_id = {server.entry.upstream_id: server for server in self.servers}
        self.row_count = 0

    def run(self, per_second, seconds, own_seconds=0.1, tokens=9_000):
        """Serve requests for a time; those of its second half are counted."""
        now, reported = 0.0, 0.0
        waits: list[float] = []
        ending: list[tuple[float, float, Callable[[float], None]]] = []
        while now < seconds:
            now += self.random.expovariate(per_second)
            while ending and ending[0][0] <= now:
                ended, _, observe = heapq.heappop(ending)
                observe(ended)
            if now >= reported + REPORT_SECONDS:
                reported = now
                self._report(now)
            index = self.random.randrange(len(self.trackers))
            serve = self._serve_plain if self.is_plain else self._serve_prompt
            end, observe = serve(index, now, own_seconds if self.is_plain else tokens)
            heapq.heappush(ending, (end, len(waits) + self.random.random(), observe))
            if now > seconds / 2:
                waits.append(end - now)
        return Waits(waits)

    def _report(self, now):
        for index, tracker in enumerate(self.trackers):
            rows = tracker.rows(len(self.trackers), now)
            self.row_count += len(rows)
            loads = self.loads[index].local_loads()
            for other in range(len(self.trackers)):
                if other != index:
                    self.loads[other].record_loads(f"i{index}", loads, True, now)
                    self.trackers[other].apply(f"i{index}", rows, self._find, now)

    def _announce(self, index, upstream_id, tokens):
        for other, loads in enumerate(self.loads):
            if other != index:
                loads.add_announced_work(f"i{index}", upstream_id, tokens)

    def _find(self, upstream_id):
        return self.by_id[upstream_id].entry

    def _serve_plain(self, index, now, own_seconds):
        tracker, totals = self.trackers[index], self.loads[index].totals(now)
        options = [
            PlainOption(
                server.entry.upstream_id,
                server.entry.zone,
                server.entry.slots,
                totals.get(server.entry.upstream_id, NO_LOAD).running,
                capacity=tracker.estimate(server.entry, now),
            )
            for server in self.servers
        ]
        chosen = place_plain(options, ZONES[index % len(ZONES)], request_id=str(now))
        server = self.by_id[chosen or options[0].upstream_id]
        tracked = self.loads[index].begin(server.entry.upstream_id, 0)
        running = totals.get(server.entry.upstream_id, NO_LOAD).running
        self.choices.append(server.number)

        def observe(ended):
            tracked.end()
            late = self.loads[index].total(server.entry.upstream_id, ended).running
            known = max(running, late)
            tracker.observe_plain(server.entry, "r", known, ended - now, ended)

        return server.end_seconds(now, own_seconds * self._noise()), observe

    def _serve_prompt(self, index, now, tokens):
        tracker, totals = self.trackers[index], self.loads[index].totals(now)
        options = [_decode_option()] + [
            EngineOption(
                server.entry.upstream_id,
                EngineRole.PREFILL,
                server.entry.zone,
                totals.get(server.entry.upstream_id, NO_LOAD),
                capacity=tracker.estimate(server.entry, now),
            )
            for server in self.servers
        ]
        size = PromptSize(tokens, f"book-{self.random.randrange(40)}", 0.4)
        placement = place_prompt(size, options, ZONES[index % len(ZONES)])
        assert isinstance(placement, RunSplit)
        server = self.by_id[placement.prefill_id]
        waiting = totals.get(placement.prefill_id, NO_LOAD).waiting_tokens
        tracked = self.loads[index].begin(placement.prefill_id, placement.read_tokens)
        self.choices.append(server.number)
        own_seconds = estimate_prefill_seconds(tokens, 0)
        assert prefill_work_tokens(own_seconds) == placement.read_tokens

        def observe(ended):
            tracked.end()
            late = self.loads[index].total(server.entry.upstream_id, ended)
            work = work_seconds(max(waiting, late.waiting_tokens))
            took = ended - now
            tracker.observe_prefill(server.entry, own_seconds, work, took, ended)

        return server.end_seconds(now, own_seconds * self._noise()), observe

    def _noise(self):
        return math.exp(self.random.gauss(0.0, NOISE))


def _entry(number, role, slots):
    return Upstream(
        UpstreamId(f"u{number}"),
        1,
        "service",
        Address("u", 1),
        ZONES[number % len(ZONES)],
        RegisteredState.READY,
        slots,
        role=role,
    )


def _decode_option():
    # Always far too busy for a whole prompt, so that each prompt is split.
    return EngineOption(
        UpstreamId("d"),
        EngineRole.DECODE,
        ZONES[0],
        evolve_load(),
        capacity=NOMINAL_ESTIMATE,
    )


def evolve_load():
    """Return the load of the decode engine."""
    return NO_LOAD.__class__(10_000_000, 0)


__all__ = ["FIRST_EVENT_SECONDS", "Fleet", "Waits"]
