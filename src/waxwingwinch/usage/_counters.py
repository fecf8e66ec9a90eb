"""Counters of one process, its own and those kept for others."""

import threading

from waxwingwinch.usage._rows import CounterName, UsageCounts, UsageRow

#: How long counters are kept after the start of their window.
KEEP_SECONDS = 6 * 3_600


class Counters:
    """A set of counters of which each change has a version."""

    def __init__(self) -> None:
        self._counts: dict[CounterName, UsageCounts] = {}
        self._versions: dict[CounterName, int] = {}
        self._version = 0
        self._lock = threading.Lock()

    def add(self, name: CounterName, counts: UsageCounts) -> None:
        """
        Count.

        :param name: The counter.
        :param counts: What to add.
        """
        with self._lock:
            self._put(name, self._counts.get(name, UsageCounts()).plus(counts))

    def merge(self, rows: tuple[UsageRow, ...]) -> None:
        """
        Take over values; late and repeated ones change nothing.

        :param rows: Values from anywhere.
        """
        with self._lock:
            for row in rows:
                known = self._counts.get(row.name, UsageCounts())
                merged = known.merged(row.counts)
                if merged != known:
                    self._put(row.name, merged)

    def rows(self, from_seconds: int, before_seconds: int) -> tuple[UsageRow, ...]:
        """
        Return the counters of some windows.

        :param from_seconds: Start of the first window, Unix time.
        :param before_seconds: Windows that start here or later are left out.
        """
        with self._lock:
            return tuple(
                UsageRow(name, counts)
                for name, counts in self._counts.items()
                if from_seconds <= name.window_start_seconds < before_seconds
            )

    def changes(self, version: int) -> tuple[int, tuple[UsageRow, ...]]:
        """
        Return what changed after a version.

        :param version: A version returned earlier, 0 for all.
        :returns: The present version and the changed counters.
        """
        with self._lock:
            rows = tuple(
                UsageRow(name, self._counts[name])
                for name, changed in self._versions.items()
                if changed > version
            )
            return self._version, rows

    def drop_before(self, wall_seconds: float) -> None:
        """
        Forget old windows.

        :param wall_seconds: Unix time.
        """
        oldest_seconds = wall_seconds - KEEP_SECONDS
        with self._lock:
            for name in list(self._counts):
                if name.window_start_seconds < oldest_seconds:
                    del self._counts[name]
                    del self._versions[name]

    def _put(self, name: CounterName, counts: UsageCounts) -> None:
        self._version += 1
        self._counts[name] = counts
        self._versions[name] = self._version
