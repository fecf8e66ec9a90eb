"""Records which request headers reached a stand-in."""

import threading

from waxwing_testbed.standins._journal import SeenHeader
from waxwing_testbed.web import Request

#: Different values kept of each header name at most.
_MAX_VALUES = 10_000


class HeaderRecorder:
    """Keeps each different pair of header name and value once."""

    def __init__(self) -> None:
        self._values_by_name: dict[str, dict[str, None]] = {}
        self._lock = threading.Lock()

    def record(self, request: Request) -> None:
        """
        Take note of a request's headers.

        :param request: The request.
        """
        with self._lock:
            for name, value in request.headers:
                values = self._values_by_name.setdefault(name, {})
                if len(values) < _MAX_VALUES:
                    values[value] = None

    def seen(self) -> tuple[SeenHeader, ...]:
        """Return all different headers."""
        with self._lock:
            return tuple(
                SeenHeader(name, value)
                for name, values in self._values_by_name.items()
                for value in values
            )
