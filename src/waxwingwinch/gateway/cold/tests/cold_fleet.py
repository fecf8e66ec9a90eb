"""Instances before cold upstreams, in simulated time."""

from bisect import bisect_right
from typing import Any

from attrs import define, evolve, field

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._model import ServiceRules
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold import (
    ColdBroker,
    ColdKeeper,
    ColdPeriods,
    ColdPolicy,
    NoColdPermit,
)
from waxwingwinch.gateway.tests.limit_fleet import (
    Instance,
    LimitFleet,
)

RULES = ServiceRules("llm", None, None, 3.0, 7.3)
POLICY = ColdPolicy(1.5, 5.0)
#: Most that arrives within any second: 7.3 * 1.5 + 5.
BOUND = 15
#: Longest time until an entry has reached all instances.
FEED_SECONDS = 0.6
#: Longest time between the choice of an upstream and the sending.
CHOICE_SECONDS = 0.4


@define(eq=False)
class ColdInstance(Instance):
    """What one process knows of cold upstreams."""

    entries: dict[UpstreamId, Upstream] = field(factory=dict)
    periods: Any = None
    cold_keeper: Any = None


class ColdFleet(LimitFleet):
    """Instances, upstreams that are cold for a time, and callers."""

    def __init__(self, count, engines, seed, cold_seconds=1_000.0):
        self.instances: list[Any] = []
        self.entries: dict[UpstreamId, Upstream] = {}
        self.refused = self.sent = 0
        super().__init__(count, engines, seed)
        for engine in self.engines if cold_seconds is not None else ():
            self.announce(engine, cold_seconds)

    def announce(self, engine, cold_seconds):
        """Let the entry of an upstream reach the instances."""
        until_seconds = self.clock.seconds + cold_seconds if cold_seconds else 0.0
        entry = evolve(engine.upstream, cold_until_seconds=until_seconds)
        engine.upstream = self.entries[entry.upstream_id] = entry
        for instance in self.instances:
            delay = self.random.uniform(0.0, FEED_SECONDS)
            self.after(delay, self.learn, instance, entry)

    def learn(self, instance, entry):
        if instance in self.online():
            previous = instance.entries.get(entry.upstream_id)
            instance.periods.put_entry(entry, previous, None, self.clock.seconds)
            instance.entries[entry.upstream_id] = entry

    def online(self):
        return [
            instance
            for instance in self.instances
            if not (instance.is_frozen or instance.is_down or instance.group)
        ]

    def make_instance(self, number):
        base = super().make_instance(number)
        entries: dict[UpstreamId, Upstream] = {}
        periods = ColdPeriods(lambda _: RULES)
        keeper = ColdKeeper(periods, base.directory, POLICY, entries.get)
        cold = ColdBroker(keeper, base.directory, Telemetry(), self.clock)
        base.permits._cold = cold
        instance = ColdInstance(
            base.member,
            base.directory,
            base.quotas,
            base.limits,
            base.keeper,
            base.permits,
            entries=entries,
            periods=periods,
            cold_keeper=keeper,
        )
        base.permits.ask = lambda other, request, _: self.ask(instance, other, request)
        for entry in self.entries.values():
            self.after(0.2, self.learn, instance, entry)
        return instance

    def publish(self, published):
        super().publish(published)
        for instance in self.online():
            instance.cold_keeper.record_members(self.clock.seconds)

    def remove_record(self, number):
        instance_id = self.instances[number].member.instance_id
        for instance in self.online():
            instance.directory.remove(instance_id)
            instance.cold_keeper.record_members(self.clock.seconds)

    def report(self, number):
        sender = self.instances[number]
        if not (sender.is_frozen or sender.is_down):
            sender.cold_keeper.mark_active(self.clock.seconds)
        super().report(number)

    def ask(self, asking, keeper, request):
        other = self.instances[int(keeper.instance_id[1:])]
        if other.is_frozen or not self.are_linked(asking, other):
            raise PeerUnavailable("no reply")
        return other.cold_keeper.decide(request, self.clock.seconds)

    def call(self, number):
        instance = self.instances[number]
        if instance.is_frozen or instance.is_down:
            return
        engines = self.random.sample(self.engines, len(self.engines))
        request_id = f"r{next(self.order)}"
        for engine in engines:
            entry = instance.entries.get(engine.upstream.upstream_id)
            if entry is None:
                continue
            if instance.permits.acquire(request_id, entry, is_last=False) is None:
                delay = self.random.uniform(0.0, CHOICE_SECONDS)
                self.after(delay, self.transmit, instance, number, engine, request_id)
                return
        self.refused += 1

    def transmit(self, instance, number, engine, request_id):
        if instance.is_frozen:
            # What a thread had chosen is sent when the process resumes.
            self.after(0.01, self.transmit, instance, number, engine, request_id)
            return
        try:
            entry = instance.entries[engine.upstream.upstream_id]
            instance.permits.take_cold(request_id, entry)
        except NoColdPermit:
            self.refused += 1
            return
        self.sent += 1
        self.send(instance, number, engine)

    def answer(self, instance, engine, sent_seconds):
        """Answers name no limit."""


def most_in_a_second(engine, since_seconds=0.0):
    """Return the most arrivals within any second."""
    times = sorted(
        arrival.at_seconds
        for arrival in engine.arrivals
        if arrival.at_seconds >= since_seconds
    )
    return max(
        (place + 1 - bisect_right(times, end - 1.0) for place, end in enumerate(times)),
        default=0,
    )
