"""Instances before cold upstreams, in simulated time."""

from bisect import bisect_right
from typing import Any

from attrs import define, evolve, field

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address, InstanceId, UpstreamId
from waxwingwinch.gateway._limit_keeper import LimitKeeper
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._model import ServiceRules
from waxwingwinch.gateway._named_limits import NamedLimits
from waxwingwinch.gateway._permits import PermitBroker
from waxwingwinch.gateway._quota import QuotaTracker
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.cold import (
    ColdBroker,
    ColdKeeper,
    ColdPeriods,
    ColdPolicy,
    NoColdPermit,
)
from waxwingwinch.gateway.tests.limit_fleet import (
    ZONES,
    Engine,
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
    """
    Instances, upstreams and callers; one event after the other.

    :param count: Number of instances.
    :param engines: Number of upstreams.
    :param seed: Seed of the callers.
    :param cold_seconds: Time for which the upstreams are cold.
    """

    def __init__(self, count, engines, seed, cold_seconds=1_000.0):
        self.rules = RULES
        self.instances: list[Any] = []
        self.refused = 0
        self.sent = 0
        super().__init__(count, 0, seed)
        self.engines = []
        for number in range(engines):
            self.add_upstream(number, cold_seconds)

    def add_upstream(self, number, cold_seconds, started_ms=1):
        """Let the entry of an upstream reach the instances."""
        upstream = Upstream(
            UpstreamId(f"e{number}"),
            started_ms,
            "llm",
            Address("10.0.0.1", number),
            ZONES[number % len(ZONES)],
            RegisteredState.READY,
            64,
        )
        if number >= len(self.engines):
            self.engines.append(Engine(upstream))
        self.announce(number, upstream, cold_seconds)

    def announce(self, number, upstream, cold_seconds):
        until_seconds = self.clock.seconds + cold_seconds if cold_seconds else 0.0
        entry = evolve(upstream, cold_until_seconds=until_seconds)
        self.engines[number].upstream = entry
        for instance in self.instances:
            delay = self.random.uniform(0.0, FEED_SECONDS)
            self.after(delay, self.learn, instance, entry)

    def learn(self, instance, entry):
        if instance.is_frozen or instance.is_down or instance.group:
            return
        previous = instance.entries.get(entry.upstream_id)
        instance.periods.put_entry(entry, previous, None, self.clock.seconds)
        instance.entries[entry.upstream_id] = entry

    def make_instance(self, number):
        instance_id = InstanceId(f"i{number}")
        member = Member(
            instance_id,
            f"start-{next(self.starts)}",
            ZONES[number % len(ZONES)],
            Address("10.0.1.1", number),
            Address("10.0.1.2", number),
        )
        directory, limits = MemberDirectory(member), NamedLimits()
        quotas = QuotaTracker(member.incarnation, 0.0, False, self.clock.seconds)
        keeper = LimitKeeper(limits, quotas.share, self.clock.seconds)
        entries: dict[UpstreamId, Upstream] = {}
        periods = ColdPeriods(lambda _: self.rules)
        cold_keeper = ColdKeeper(periods, directory, POLICY, entries.get)
        cold = ColdBroker(cold_keeper, directory, Telemetry(), self.clock)
        permits = PermitBroker(
            limits, keeper, directory, Telemetry(), lambda: True, self.clock, cold
        )
        instance = ColdInstance(
            member, directory, quotas, limits, keeper, permits, False, False, 0
        )
        instance.entries, instance.periods = entries, periods
        instance.cold_keeper = cold_keeper
        permits.ask = lambda other, request, wait: self.ask(instance, other, request)
        for engine in self.engines if hasattr(self, "engines") else ():
            self.after(0.2, self.learn, instance, engine.upstream)
        return instance

    def publish(self, published):
        super().publish(published)
        for instance in self.instances:
            if not (instance.is_frozen or instance.is_down or instance.group):
                instance.cold_keeper.record_members(self.clock.seconds)

    def withdraw(self, number):
        """End an instance and remove its record where the store is reached."""
        self.kill(number)
        instance_id = self.instances[number].member.instance_id
        for instance in self.instances:
            if not (instance.is_frozen or instance.is_down or instance.group):
                instance.directory.remove(instance_id)
                instance.cold_keeper.record_members(self.clock.seconds)

    def report(self, number):
        sender = self.instances[number]
        if not (sender.is_frozen or sender.is_down):
            sender.cold_keeper.mark_active(self.clock.seconds)
        super().report(number)

    def ask(self, asking, keeper, request):
        for other in self.instances:
            if other.member.instance_id == keeper.instance_id:
                if other.is_frozen or not self.are_linked(asking, other):
                    break
                return other.cold_keeper.decide(request, self.clock.seconds)
        raise PeerUnavailable("no reply")

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

    def cut_from_all(self, numbers, group):
        """Cut instances from the others and from the store."""
        self.cut(numbers, group)


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
