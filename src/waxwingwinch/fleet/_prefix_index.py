"""Index of the prefixes that an engine has cached according to its events."""

from waxwingwinch.interfaces import CacheEvent, CacheEventKind, CacheEventPage

#: Largest number of indexed prefixes of one engine; older ones are dropped.
MAX_PREFIXES = 20_000


class PrefixIndex:
    """Index of cached prefixes, updated by the cache events of one engine."""

    def __init__(self) -> None:
        self._hashes: dict[str, None] = {}
        self._next_sequence = 0
        self._cached_hashes: frozenset[str] = frozenset()

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next event to read."""
        return self._next_sequence

    def hashes(self) -> frozenset[str]:
        """Return the hashes of the prefixes that count as cached."""
        return self._cached_hashes

    def apply(self, page: CacheEventPage) -> None:
        """
        Apply the next page of events.

        After a gap the earlier prefixes may have been evicted, so the index
        is cleared. A page whose sequence numbers go back comes from a
        restarted engine and clears the index as well.

        :param page: The page read from :attr:`next_sequence` on.
        """
        if not page.events and page.next_sequence == self._next_sequence:
            return
        if page.next_sequence < self._next_sequence:
            self._hashes.clear()
        for event in page.events:
            if event.sequence != self._next_sequence:
                self._hashes.clear()
            self._next_sequence = event.sequence + 1
            self._apply_event(event)
        if page.next_sequence != self._next_sequence:
            self._hashes.clear()
            self._next_sequence = page.next_sequence
        self._cached_hashes = frozenset(self._hashes)

    def _apply_event(self, event: CacheEvent) -> None:
        self._hashes.pop(event.prefix_hash, None)
        if event.kind is CacheEventKind.STORED:
            self._hashes[event.prefix_hash] = None
        if len(self._hashes) > MAX_PREFIXES:
            del self._hashes[next(iter(self._hashes))]
