"""The rate limit of the weight store."""

import threading

from waxwing_testbed.standins._settings import WeightStoreSettings
from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch.interfaces import WeightReservation


class WeightQueue:
    """
    Hands out turns that don't overlap.

    :param settings: The limits.
    """

    def __init__(self, settings: WeightStoreSettings) -> None:
        self._settings = settings
        self._free_at_seconds = 0.0
        self._lock = threading.Lock()

    def reserve(self, now_seconds: float) -> WeightReservation:
        """
        Hand out the next turn.

        :param now_seconds: Present time.
        :raises PlatformRefused: If too many are waiting.
        """
        takes_seconds = self._settings.load_seconds
        with self._lock:
            starts_at_seconds = max(now_seconds, self._free_at_seconds)
            wait_seconds = starts_at_seconds - now_seconds
            if wait_seconds > self._settings.max_waiting * takes_seconds:
                raise PlatformRefused("the store is busy", takes_seconds)
            self._free_at_seconds = starts_at_seconds + takes_seconds
        return WeightReservation(wait_seconds, takes_seconds)
