"""The prefix cache of an engine and the events that it publishes."""

import collections
import random

from attrs import frozen

from waxwing_testbed.standins._settings import EngineLags
from waxwingwinch.interfaces import CacheEvent, CacheEventKind, CacheEventPage
from waxwingwinch.prefixes import WORDS_PER_PREFIX_BLOCK

#: Events that can still be fetched.
_KEPT_EVENTS = 10_000
#: Events in one page at most.
_PAGE_EVENTS = 1_000


@frozen
class _Published:
    at_seconds: float
    event: CacheEvent


class PrefixCache:
    """
    Holds the hashes of the most recently used prefixes.

    :param capacity: Number of blocks held.
    :param lags: How late and incomplete the events are.
    :param seed: Seed of the lost events.
    """

    def __init__(self, capacity: int, lags: EngineLags, seed: int) -> None:
        self._capacity = capacity
        self._lags = lags
        self._random = random.Random(seed)
        self._hashes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[_Published] = collections.deque(
            maxlen=_KEPT_EVENTS
        )
        self._next_sequence = 0

    def cached_tokens(self, hashes: tuple[str, ...]) -> int:
        """
        Return how many leading tokens of a prompt are cached.

        :param hashes: The hash chain of the prompt.
        """
        blocks = 0
        for prefix_hash in hashes:
            if prefix_hash not in self._hashes:
                break
            self._hashes.move_to_end(prefix_hash)
            blocks += 1
        return blocks * WORDS_PER_PREFIX_BLOCK

    def store(self, hashes: tuple[str, ...], now_seconds: float) -> None:
        """
        Keep the prefixes of a prompt that was read.

        :param hashes: The hash chain of the prompt.
        :param now_seconds: Present time.
        """
        for prefix_hash in hashes:
            if prefix_hash not in self._hashes:
                self._publish(CacheEventKind.STORED, prefix_hash, now_seconds)
            self._hashes[prefix_hash] = None
            self._hashes.move_to_end(prefix_hash)
        while len(self._hashes) > self._capacity:
            evicted, _ = self._hashes.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted, now_seconds)

    def clear(self, now_seconds: float) -> None:
        """
        Evict everything.

        :param now_seconds: Present time.
        """
        for prefix_hash in self._hashes:
            self._publish(CacheEventKind.EVICTED, prefix_hash, now_seconds)
        self._hashes.clear()

    def page(self, from_sequence: int, now_seconds: float) -> CacheEventPage:
        """
        Return the published events from a sequence number on.

        :param from_sequence: The first wanted event.
        :param now_seconds: Present time.
        """
        visible = [row.event for row in self._events if row.at_seconds <= now_seconds]
        wanted = [event for event in visible if event.sequence >= from_sequence]
        events = tuple(wanted[:_PAGE_EVENTS])
        if events:
            return CacheEventPage(events[-1].sequence + 1, events)
        newest = visible[-1].sequence + 1 if visible else 0
        return CacheEventPage(min(from_sequence, newest), ())

    def _publish(
        self, kind: CacheEventKind, prefix_hash: str, now_seconds: float
    ) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._random.random() < self._lags.cache_event_gap_probability:
            return
        at_seconds = now_seconds + self._lags.cache_event_lag_seconds
        event = CacheEvent(sequence, kind, prefix_hash)
        self._events.append(_Published(at_seconds, event))
