"""Connections whose request heads are gathered without a thread."""

import os
import socket
from collections.abc import Callable
from typing import Any

from waxwingwinch.gateway._memory_account import MemoryExhausted, Reservation
from waxwingwinch.gateway._unanswered import BoundReason
from waxwingwinch.gateway.callers._head_buffer import HeadBuffer
from waxwingwinch.gateway.callers._log_lines import HeadTimedOut
from waxwingwinch.gateway.callers._stream_reader import CallerReader

#: Part of a head that belongs to the memory of each connection; the heads of
#: ordinary requests have some hundred bytes.
UNCOUNTED_HEAD_BYTES = 4_096
#: Part of the memory for requests and answers that heads leave free, for the
#: requests about the instance.
HEAD_SPARE_FRACTION = 0.0625

_TOO_LATE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class HeadGathering:
    """
    Mixin of a connection that reads the head of a request as it arrives.

    A thread takes what has arrived and waits for nothing, so clients that send
    slowly hold none.
    """

    server: Any
    socket: socket.socket
    rfile: CallerReader
    #: Closes the connection.
    close: Callable[[], None]
    #: True once a request was answered before it was read to its end.
    has_rest = False
    #: Monotonic time at which a head began to arrive that isn't whole.
    head_since_seconds: float | None = None
    #: Set if there was no memory for the head.
    exhausted: MemoryExhausted | None = None
    _head: HeadBuffer
    _head_reservation: Reservation

    @property
    def is_gathering(self) -> bool:
        """True while a head has arrived in part."""
        return self.head_since_seconds is not None

    @property
    def has_first_line(self) -> bool:
        """True once the first line of a head has arrived."""
        return self._head.has_first_line

    def configure_gathering(self) -> None:
        """Prepare for the first head."""
        self._head = HeadBuffer()
        self._head_reservation = self.server.memory.open()

    def gather(self, now_seconds: float) -> bool:
        """
        Read what has arrived of the head, without waiting.

        :param now_seconds: Monotonic time.
        :returns: True if a thread has to go on: the head is whole, certain to
            be refused, or the connection has ended.
        """
        max_bytes: int = self.server.limits.max_header_bytes
        data = self.rfile.take_buffered()
        is_closed = False
        if not data:
            try:
                # A socket with a timeout doesn't block on its descriptor.
                size = max(max_bytes + 1 - len(self._head), 1)
                data = os.read(self.socket.fileno(), size)
                is_closed = not data
            except BlockingIOError:
                data = b""
            except OSError:
                is_closed = True
        self._head.add(data)
        if data and self.head_since_seconds is None:
            self.head_since_seconds = now_seconds
        if is_closed or not self._is_affordable():
            return True
        return self._head.is_parsable(max_bytes)

    def _is_affordable(self) -> bool:
        counted_bytes = len(self._head) - UNCOUNTED_HEAD_BYTES
        more_bytes = counted_bytes - self._head_reservation.size_bytes
        if more_bytes > 0:
            try:
                self._head_reservation.grow(more_bytes, HEAD_SPARE_FRACTION)
            except MemoryExhausted as exhausted:
                self.exhausted = exhausted
        return self.exhausted is None

    def take_head(self) -> bytes:
        """Return the head; what follows it is read next."""
        head, rest = self._head.take()
        if rest:
            self.rfile.feed(rest)
        self.head_since_seconds = None
        return head

    def reserve(self, size_bytes: int, spare_fraction: float) -> None:
        """
        Reserve memory until the request ends.

        :param size_bytes: How much.
        :param spare_fraction: Part of the account's limit that stays free.
        :raises MemoryExhausted: If there is no room for it.
        """
        if self.exhausted is not None:
            raise self.exhausted
        if size_bytes:
            self._head_reservation.grow(size_bytes, spare_fraction)

    def release_head(self) -> None:
        """Release the memory of the head and of its fields."""
        self._head_reservation.release()

    def end_late_head(self, now_seconds: float) -> None:
        """
        Refuse a request whose head didn't arrive in time.

        :param now_seconds: Monotonic time.
        """
        self.server.unanswered.record_bound(BoundReason.HEAD_TIMEOUT)
        since_seconds = self.head_since_seconds
        HeadTimedOut(
            address=str(self.server.bind_addr),
            received_bytes=len(self._head),
            after_seconds=now_seconds - since_seconds if since_seconds else 0.0,
        ).write()
        if self._head.has_first_line:
            try:
                self.socket.setblocking(False)
                self.socket.send(_TOO_LATE)
                self.has_rest = True
            except OSError:
                # The client doesn't read, or has left.
                self.has_rest = False
        self.take_head()
        self.close()
