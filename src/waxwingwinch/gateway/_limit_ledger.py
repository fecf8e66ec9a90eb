"""Counts the requests to one upstream against the limit that it names."""

import math
from bisect import bisect_right, insort

from waxwingwinch.gateway._named_limits import LIMIT_WINDOW_SECONDS

#: Span within which the requests that a limit allows are spread, for limits
#: of a request per second or more.
SHORT_WINDOW_SECONDS = 1.0
#: Rate at which an upstream that takes no requests at all is asked again, as
#: only an answer tells the end of its limit.
ZERO_LIMIT_PER_SECOND = 0.1
#: Longest time after which a refused caller is told to return. Callers beyond
#: it have no turn of their own.
MAX_RETURN_SECONDS = 10.0


class LimitLedger:
    """
    The requests sent to one upstream, in sliding windows.

    In any window of some seconds there are at most as many requests as the
    limit allows in it, and one if it allows less than one.
    """

    def __init__(self) -> None:
        self._sent_seconds: list[float] = []
        self._last_return_seconds = 0.0

    def charge(self, count: int, at_seconds: float) -> None:
        """
        Count requests.

        :param count: Number of requests.
        :param at_seconds: Monotonic time at which they were sent.
        """
        for _ in range(count):
            insort(self._sent_seconds, at_seconds)
        if self._sent_seconds:
            # A longer window allows one request, so the last one is retained.
            oldest_seconds = self._sent_seconds[-1] - LIMIT_WINDOW_SECONDS
            del self._sent_seconds[: bisect_right(self._sent_seconds, oldest_seconds)]

    def counted(self, now_seconds: float) -> int:
        """
        Return the requests in the past window.

        :param now_seconds: Monotonic time.
        """
        return self._sent_since(now_seconds - LIMIT_WINDOW_SECONDS)

    def wait_seconds(self, limit_per_second: float, now_seconds: float) -> float:
        """
        Return the time until the limit has room for a request; 0 if it has.

        :param limit_per_second: The limit.
        :param now_seconds: Monotonic time.
        """
        waits = [0.0]
        for span_seconds, allowed in _windows(limit_per_second):
            in_span = self._sent_since(now_seconds - span_seconds)
            if in_span >= allowed:
                freeing_seconds = self._sent_seconds[-allowed]
                waits.append(freeing_seconds + span_seconds - now_seconds)
        return max(waits)

    def promise_return(
        self, limit_per_second: float, wait_seconds: float, now_seconds: float
    ) -> float:
        """
        Return when a refused caller should return, one turn after the former.

        :param limit_per_second: The limit.
        :param wait_seconds: Time until the limit has room for a request.
        :param now_seconds: Monotonic time.
        """
        return_seconds = max(
            now_seconds + wait_seconds,
            self._last_return_seconds + 1 / limit_per_second,
        )
        latest_seconds = now_seconds + max(wait_seconds, MAX_RETURN_SECONDS)
        return_seconds = min(return_seconds, latest_seconds)
        self._last_return_seconds = return_seconds
        return return_seconds - now_seconds

    def _sent_since(self, oldest_seconds: float) -> int:
        return len(self._sent_seconds) - bisect_right(
            self._sent_seconds, oldest_seconds
        )


def _windows(limit_per_second: float) -> tuple[tuple[float, int], ...]:
    """Return windows in seconds with the requests that are allowed in each."""
    long_seconds = max(LIMIT_WINDOW_SECONDS, 1 / limit_per_second)
    # A product such as 0.1 * 10.0 must not be rounded down to 0.
    allowed = max(math.floor(limit_per_second * long_seconds + 1e-6), 1)
    return (SHORT_WINDOW_SECONDS, math.ceil(limit_per_second)), (long_seconds, allowed)
