"""The callers of a run."""

import itertools
from collections.abc import Sequence

from waxwing_testbed.bench._fleet import MODEL, ZONES, key_of
from waxwing_testbed.bench._scenario import CustomerLoad
from waxwing_testbed.history import History
from waxwing_testbed.load import (
    Caller,
    CallSender,
    ChatMix,
    Discovery,
    Phase,
    TrafficSource,
)
from waxwingwinch._types import Address, ZoneName

#: Seeds of the customers of one run lie so far apart.
SEED_STRIDE = 1_000


class PinnedDiscovery(Discovery):
    """
    Names one instance, and from some time on another one.

    :param first: The first instance.
    :param second: The second instance.
    :param switch_seconds: Monotonic time from which the second is named.
    """

    def __init__(self, first: Address, second: Address, switch_seconds: float) -> None:
        super().__init__("", ())
        self._first = first
        self._second = second
        self._switch_seconds = switch_seconds

    def addresses(self, now_seconds: float) -> tuple[Address, ...]:
        """
        Return the one instance to use.

        :param now_seconds: Monotonic time.
        """
        return (self._first if now_seconds < self._switch_seconds else self._second,)


class SpreadDiscovery(Discovery):
    """
    Stands for callers in all zones, each with a cached answer of its own.

    :param key: The customer's key.
    :param seeds: Instances to ask first.
    :param zones: The zones; calls take their callers in turn.
    """

    def __init__(
        self, key: str, seeds: Sequence[Address], zones: Sequence[ZoneName]
    ) -> None:
        super().__init__(key, seeds)
        self._callers = [Discovery(key, seeds, zone) for zone in zones]
        self._turns = itertools.count()

    def addresses(self, now_seconds: float) -> tuple[Address, ...]:
        """
        Return the instances that the next caller uses, best first.

        :param now_seconds: Monotonic time.
        """
        turn = next(self._turns) % len(self._callers)
        return self._callers[turn].addresses(now_seconds)

    def forget(self) -> None:
        """Let all callers ask again."""
        for caller in self._callers:
            caller.forget()


def make_sources(
    customers: Sequence[CustomerLoad],
    entries: Sequence[Address],
    history: History,
    seed: int,
    begin_seconds: float,
    seconds: float,
    warm_up_seconds: float,
) -> list[TrafficSource]:
    """
    Make the callers of all customers; each call is tried once.

    :param customers: What they send.
    :param entries: The instances.
    :param history: Where calls are recorded.
    :param seed: Seed of the run.
    :param begin_seconds: Monotonic time at which the run begins.
    :param seconds: Length of the run.
    :param warm_up_seconds: Time before it with the load of the first phase.
    """
    sources = []
    for number, load in enumerate(customers):
        key = key_of(load.customer_id)
        discovery: Discovery = SpreadDiscovery(key, entries, ZONES)
        if load.pinned:
            middle_seconds = begin_seconds + seconds / 2
            discovery = PinnedDiscovery(entries[0], entries[1], middle_seconds)
        sender = CallSender(load.customer_id, key)
        caller = Caller(sender, discovery, history, max_tries=1)
        phases = _phases(load, seconds, warm_up_seconds)
        sources.append(TrafficSource(caller, phases, seed * SEED_STRIDE + number))
    return sources


def _phases(
    load: CustomerLoad, seconds: float, warm_up_seconds: float
) -> tuple[Phase, ...]:
    first = load.phases[0]
    parts = [(warm_up_seconds, first)]
    parts += [(phase.part * seconds, phase) for phase in load.phases]
    return tuple(
        Phase(
            length_seconds,
            phase.calls_per_second,
            ChatMix(MODEL, phase.prompt_words, phase.output_tokens),
        )
        for length_seconds, phase in parts
    )
