"""When this process first saw the present history of the store."""

import threading

from attrs import frozen

from waxwingwinch.gateway._positions import era_of
from waxwingwinch.kernel import Clock


@frozen
class HistorySight:
    """
    The first sight of a history of the store.

    :param era: Its era.
    :param seen_seconds: Monotonic time of the first read in it.
    :param seen_wall_seconds: Unix time of that read.
    """

    era: int
    seen_seconds: float
    seen_wall_seconds: float


class HistoryWatch:
    """
    Remembers when the newest history was first seen; used by all threads.

    :param clock: Source of the present time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sight: HistorySight | None = None
        self._lock = threading.Lock()

    def observe(self, offset: int) -> HistorySight:
        """
        Record that an offset was read; return the sight of the newest history.

        :param offset: The offset.
        """
        era = era_of(offset)
        with self._lock:
            if self._sight is None or era > self._sight.era:
                self._sight = HistorySight(
                    era, self._clock.now_seconds(), self._clock.wall_seconds()
                )
            return self._sight
