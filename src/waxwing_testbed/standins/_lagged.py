"""A value that readers see late."""

import collections
import threading
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """
    Gives out a value some time after it was set.

    :param value: The value from the start.
    :param lag_seconds: How late changes are seen.
    """

    def __init__(self, value: T, lag_seconds: float) -> None:
        self._lag_seconds = lag_seconds
        self._seen = value
        self._coming: collections.deque[tuple[float, T]] = collections.deque()
        self._lock = threading.Lock()

    def set(self, value: T, now_seconds: float) -> None:
        """
        Change the value.

        :param value: The new value.
        :param now_seconds: Present time.
        """
        with self._lock:
            self._coming.append((now_seconds + self._lag_seconds, value))

    def get(self, now_seconds: float) -> T:
        """
        Return the value as seen by readers.

        :param now_seconds: Present time.
        """
        with self._lock:
            while self._coming and self._coming[0][0] <= now_seconds:
                _, self._seen = self._coming.popleft()
            return self._seen

    def newest(self) -> T:
        """Return the value as it was last set."""
        with self._lock:
            return self._coming[-1][1] if self._coming else self._seen
