"""How fast each engine reads prompts, learned from its readings."""

import threading

from waxwingwinch._types import UpstreamId

#: Weight of a new reading; about the last ten count.
SMOOTHING_FACTOR = 0.15
#: Pace of an engine that was not seen yet; the time that other work on the
#: engine takes from its readings.
INITIAL_SLOWDOWN = 1.2
#: Smallest and largest pace that one reading may show. Waiting behind work
#: of other instances that isn't known yet looks like a slow engine.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.8, 3.0


class SlowdownTracker:
    """Keeps a pace for each engine: its time relative to the expected one."""

    def __init__(self) -> None:
        self._slowdowns: dict[UpstreamId, float] = {}
        self._lock = threading.Lock()

    def observe(
        self, upstream_id: UpstreamId, expected_seconds: float, took_seconds: float
    ) -> None:
        """
        Take in a reading.

        :param upstream_id: The engine.
        :param expected_seconds: Time at a pace of 1.
        :param took_seconds: Time that it took.
        """
        if expected_seconds <= 0:
            return
        measured = took_seconds / expected_seconds
        measured = min(max(measured, MIN_SLOWDOWN), MAX_SLOWDOWN)
        with self._lock:
            current = self._slowdowns.get(upstream_id, INITIAL_SLOWDOWN)
            self._slowdowns[upstream_id] = current + SMOOTHING_FACTOR * (
                measured - current
            )

    def remove_engine(self, upstream_id: UpstreamId) -> None:
        """
        Note that an engine has started anew or is gone.

        :param upstream_id: The engine.
        """
        with self._lock:
            self._slowdowns.pop(upstream_id, None)

    def slowdown(self, upstream_id: UpstreamId) -> float:
        """
        Return the pace of an engine.

        :param upstream_id: The engine.
        """
        with self._lock:
            return self._slowdowns.get(upstream_id, INITIAL_SLOWDOWN)
