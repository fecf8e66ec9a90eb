"""Limit and count of requests in progress; planned stops wait for them."""

import threading
from collections.abc import Callable
from types import TracebackType

from waxwingwinch.entry._errors import ErrorCode, RequestFailed

#: Retry-After of requests refused by a draining or overloaded instance.
RETRY_AFTER_SECONDS = 1.0


class RequestGate:
    """
    Admits requests up to a limit, and none once the instance drains.

    The limit keeps the server from running out of threads.

    :param max_concurrent_requests: Largest number of requests in progress.
    """

    def __init__(self, max_concurrent_requests: int) -> None:
        self._max_concurrent_requests = max_concurrent_requests
        self._running = 0
        self._draining = False
        self._changed = threading.Condition()

    def acquire(self) -> "RequestSlot":
        """
        Admit and count a new request.

        :raises RequestFailed: If the instance drains or is at its limit; the
            request has not run.
        """
        with self._changed:
            if self._draining:
                raise RequestFailed(
                    503,
                    ErrorCode.DRAINING,
                    "this instance is shutting down; use another instance",
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                )
            if self._running >= self._max_concurrent_requests:
                raise RequestFailed(
                    503,
                    ErrorCode.OVERLOADED,
                    f"this instance already has {self._running} requests in progress",
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                )
            self._running += 1
        return RequestSlot(self._release_slot)

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
        """Return the number of requests in progress."""
        with self._changed:
            return self._running

    def wait_idle(self, timeout_seconds: float) -> bool:
        """
        Wait until no request is in progress.

        :param timeout_seconds: Longest wait.
        :returns: False if requests are still in progress after that time.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._running == 0, timeout_seconds)

    def _release_slot(self) -> None:
        with self._changed:
            self._running -= 1
            self._changed.notify_all()


class RequestSlot:
    """
    The slot of a counted request; a second release has no effect.

    :param on_release: Called on the first release.
    """

    def __init__(self, on_release: Callable[[], None]) -> None:
        self._on_release: Callable[[], None] | None = on_release

    def release(self) -> None:
        """Stop counting the request."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()

    def __enter__(self) -> "RequestSlot":
        """Return the slot itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Release the slot."""
        self.release()
