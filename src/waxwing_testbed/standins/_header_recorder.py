"""Records which request headers reached a stand-in."""

import threading

from waxwing_testbed.standins._journal import SeenHeader
from waxwing_testbed.web import Request

#: Different headers kept at most.
_MAX_HEADERS = 20_000


class HeaderRecorder:
    """Keeps each different pair of header name and value once."""

    def __init__(self) -> None:
        self._seen: dict[SeenHeader, None] = {}
        self._lock = threading.Lock()

    def record(self, request: Request) -> None:
        """
        Take note of a request's headers.

        :param request: The request.
        """
        with self._lock:
            for name, value in request.headers:
                if len(self._seen) < _MAX_HEADERS:
                    self._seen[SeenHeader(name, value)] = None

    def seen(self) -> tuple[SeenHeader, ...]:
        """Return all different headers, the first seen first."""
        with self._lock:
            return tuple(self._seen)
