"""Counting the requests under way, so that a planned stop can wait."""

import threading
from collections.abc import Callable
from types import TracebackType

from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: When callers of a draining instance are asked to come back.
DRAIN_RETRY_AFTER_SECONDS = 1.0


class RequestGate:
    """
    Admits requests until the planned stop begins or threads run out.

    :param requests_max: Requests that may be under way together.
    """

    def __init__(self, requests_max: int) -> None:
        self._requests_max = requests_max
        self._running = 0
        self._draining = False
        self._changed = threading.Condition()

    def enter(self) -> "RequestPass":
        """
        Count a new request.

        :raises RequestFailed: If it can't be served here; it has not run.
        """
        with self._changed:
            if self._draining:
                raise RequestFailed(
                    503,
                    ErrorCode.DRAINING,
                    "this instance is about to stop; use another one",
                    retry_after_seconds=DRAIN_RETRY_AFTER_SECONDS,
                )
            if self._running >= self._requests_max:
                raise RequestFailed(
                    503,
                    ErrorCode.OVERLOADED,
                    f"{self._running} requests are under way here",
                    retry_after_seconds=DRAIN_RETRY_AFTER_SECONDS,
                )
            self._running += 1
        return RequestPass(self._leave)

    def drain(self) -> None:
        """Refuse new requests from now on."""
        with self._changed:
            self._draining = True
            self._changed.notify_all()

    def is_draining(self) -> bool:
        """Return whether new requests are refused."""
        with self._changed:
            return self._draining

    def running(self) -> int:
        """Return the number of requests under way."""
        with self._changed:
            return self._running

    def wait_idle(self, timeout_seconds: float) -> bool:
        """
        Wait until no request is under way.

        :param timeout_seconds: How long to wait.
        :returns: False if some still are.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._running == 0, timeout_seconds)

    def _leave(self) -> None:
        with self._changed:
            self._running -= 1
            self._changed.notify_all()


class RequestPass:
    """
    One counted request; releasing it again has no effect.

    :param leave: Called on release.
    """

    def __init__(self, leave: Callable[[], None]) -> None:
        self._leave: Callable[[], None] | None = leave

    def release(self) -> None:
        """Stop counting the request."""
        leave, self._leave = self._leave, None
        if leave is not None:
            leave()

    def __enter__(self) -> "RequestPass":
        """Return the pass itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the request."""
        self.release()
