"""Usage counters of this process, or replicas of other processes' counters."""

import threading

from waxwingwinch.usage._rows import CounterName, UsageCounts, UsageRow

#: How long counters are retained after the start of their window.
RETENTION_SECONDS = 6 * 3_600


class Counters:
    """A set of usage counters in which each change increments a version."""

    def __init__(self) -> None:
        self._counts: dict[CounterName, UsageCounts] = {}
        self._versions: dict[CounterName, int] = {}
        self._version = 0
        self._lock = threading.Lock()

    def add(self, name: CounterName, counts: UsageCounts) -> None:
        """
        Add to a counter.

        :param name: The counter.
        :param counts: The amounts to add.
        """
        with self._lock:
            self._put(name, self._counts.get(name, UsageCounts()).plus(counts))

    def merge(self, rows: tuple[UsageRow, ...]) -> None:
        """
        Merge counter values; stale and duplicate values have no effect.

        :param rows: Values from any process.
        """
        with self._lock:
            for row in rows:
                known = self._counts.get(row.name, UsageCounts())
                merged = known.merged(row.counts)
                if merged != known:
                    self._put(row.name, merged)

    def rows(self, from_seconds: int, before_seconds: int) -> tuple[UsageRow, ...]:
        """
        Return the counters of the windows that start in a time range.

        :param from_seconds: Start of the range, Unix time, inclusive.
        :param before_seconds: End of the range, Unix time, exclusive.
        """
        with self._lock:
            return tuple(
                UsageRow(name, counts)
                for name, counts in self._counts.items()
                if from_seconds <= name.window_start_seconds < before_seconds
            )

    def changes(self, version: int) -> tuple[int, tuple[UsageRow, ...]]:
        """
        Return the counters that changed after a version.

        :param version: A version returned earlier; 0 returns all counters.
        :returns: The current version and the changed counters.
        """
        with self._lock:
            rows = tuple(
                UsageRow(name, self._counts[name])
                for name, changed in self._versions.items()
                if changed > version
            )
            return self._version, rows

    def remove_expired(self, wall_seconds: float) -> None:
        """
        Remove counters of windows older than ``RETENTION_SECONDS``.

        :param wall_seconds: Current Unix time.
        """
        oldest_seconds = wall_seconds - RETENTION_SECONDS
        with self._lock:
            for name in list(self._counts):
                if name.window_start_seconds < oldest_seconds:
                    del self._counts[name]
                    del self._versions[name]

    def _put(self, name: CounterName, counts: UsageCounts) -> None:
        self._version += 1
        self._counts[name] = counts
        self._versions[name] = self._version
