"""Cuts connections whose clients keep threads, memory or descriptors."""

import threading
from typing import Any

from waxwingwinch.gateway._unanswered import BoundReason, UnansweredConnections
from waxwingwinch.gateway.callers._bounds import ServerBounds, longest_first
from waxwingwinch.gateway.callers._log_lines import CallersDisconnected

#: Part of the callers that send bodies of which some are cut at once, if
#: memory is used up.
CUT_FRACTION = 0.125


class CuttingMixin:
    """Mixin with which a server counts its connections and cuts some."""

    requests: Any
    limits: Any
    bind_addr: Any
    #: Records connections that were closed.
    unanswered: UnansweredConnections

    def configure_cutting(self, bounds: ServerBounds) -> None:
        """
        Prepare the counting.

        :param bounds: Bounds on the connections.
        """
        self._bounds = bounds
        self._open: set[Any] = set()
        self._reading: set[Any] = set()
        self._reading_lock = threading.Lock()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        with self._reading_lock:
            return len(self._open)

    @property
    def is_full(self) -> bool:
        """True if no further connection may be opened."""
        return self.open_connections >= self._bounds.connections

    def count_open(self, connection: Any) -> None:
        """
        Count a connection until it is closed.

        :param connection: The connection.
        """
        with self._reading_lock:
            self._open.add(connection)

    def free_threads(self, now_seconds: float) -> None:
        """
        Cut callers that let threads wait the longest, if others need threads.

        :param now_seconds: Monotonic time.
        """
        waiting = self.requests.qsize
        if waiting and not self.requests.idle:
            self._cut(now_seconds, waiting, BoundReason.THREADS)

    def free_memory(self, now_seconds: float) -> None:
        """
        Cut callers whose bodies have taken the longest, as memory is used up.

        :param now_seconds: Monotonic time.
        """
        with self._reading_lock:
            count = sum(connection.is_read for connection in self._reading)
        self._cut(now_seconds, max(int(count * CUT_FRACTION), 1), BoundReason.MEMORY)

    def _cut(self, now_seconds: float, count: int, reason: BoundReason) -> None:
        since_seconds = now_seconds - self.limits.header_timeout_seconds
        with self._reading_lock:
            candidates = [
                connection
                for connection in self._reading
                if not connection.is_evicted
                and (reason is BoundReason.THREADS or connection.is_read)
            ]
        cut = longest_first(candidates, since_seconds, count)
        if not cut:
            return
        longest_seconds = now_seconds - (cut[0].blocked_since_seconds or now_seconds)
        for connection in cut:
            connection.evict()
        self.unanswered.record_bound(reason, len(cut))
        CallersDisconnected(
            address=str(self.bind_addr),
            reason=reason.value,
            closed=len(cut),
            longest_seconds=longest_seconds,
            waiting=self.requests.qsize,
        ).write()
