"""Slowdown of each engine's prefill, learned from measured durations."""

import threading

from waxwingwinch._types import UpstreamId

#: Weight of a new measurement in the moving average; about the last ten
#: measurements count.
SMOOTHING_FACTOR = 0.15
#: Slowdown of an engine without measurements; covers the time that other work
#: on the engine takes from its prefills.
INITIAL_SLOWDOWN = 1.2
#: Bounds of a single measurement. Queueing behind work of other instances
#: that isn't known here yet looks like a slow engine.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.8, 3.0


class SlowdownTracker:
    """Tracks each engine's slowdown: measured over expected prefill time."""

    def __init__(self) -> None:
        self._slowdowns: dict[UpstreamId, float] = {}
        self._lock = threading.Lock()

    def observe(
        self, upstream_id: UpstreamId, expected_seconds: float, took_seconds: float
    ) -> None:
        """
        Record the duration of a prefill; ignored if none was expected.

        :param upstream_id: The engine.
        :param expected_seconds: Estimated duration at a slowdown of 1.
        :param took_seconds: Measured duration.
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
        Discard the measurements of an engine that restarted or was removed.

        :param upstream_id: The engine.
        """
        with self._lock:
            self._slowdowns.pop(upstream_id, None)

    def slowdown(self, upstream_id: UpstreamId) -> float:
        """
        Return the slowdown of an engine.

        :param upstream_id: The engine.
        """
        with self._lock:
            return self._slowdowns.get(upstream_id, INITIAL_SLOWDOWN)
