"""What is believed to be in the prefix cache of one engine."""

from waxwingwinch.interfaces import CacheEvent, CacheEventKind, CacheEventPage

#: Most prefixes remembered of one engine.
MAX_PREFIXES = 20_000


class PrefixIndex:
    """Follows the published cache events of one engine."""

    def __init__(self) -> None:
        self._hashes: dict[str, None] = {}
        self._next_sequence = 0
        self._view: frozenset[str] = frozenset()

    @property
    def next_sequence(self) -> int:
        """Where to go on reading."""
        return self._next_sequence

    def hashes(self) -> frozenset[str]:
        """Return the prefixes believed to be cached."""
        return self._view

    def apply(self, page: CacheEventPage) -> None:
        """
        Apply the next events.

        A gap makes everything known before doubtful, so it is dropped. A
        page that goes back shows a restarted engine.

        :param page: The answer for :attr:`next_sequence`.
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
        self._view = frozenset(self._hashes)

    def _apply_event(self, event: CacheEvent) -> None:
        self._hashes.pop(event.prefix_hash, None)
        if event.kind is CacheEventKind.STORED:
            self._hashes[event.prefix_hash] = None
        if len(self._hashes) > MAX_PREFIXES:
            del self._hashes[next(iter(self._hashes))]
