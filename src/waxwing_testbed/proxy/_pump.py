"""One direction of a proxied connection."""

import collections
import contextlib
import select
import socket
import threading
import time

from waxwing_testbed.proxy._faults import Direction, ProxyFaults

_READ_BYTES = 65_536
#: Bytes held for a direction before its sender is made to wait.
_HELD_BYTES_LIMIT = 1_048_576
#: How often held bytes are looked at again.
_POLL_SECONDS = 0.02
_MILLISECONDS_PER_SECOND = 1_000


class FaultSwitch:
    """The present faults, shared by all connections of a proxy."""

    def __init__(self) -> None:
        self._faults = ProxyFaults()
        self._moved_bytes = 0
        self._lock = threading.Lock()
        #: Set once the proxy stops.
        self.stopped = threading.Event()

    def get(self) -> ProxyFaults:
        """Return the present faults."""
        return self._faults

    def set(self, faults: ProxyFaults) -> None:
        """
        Replace the faults.

        :param faults: The new ones.
        """
        self._faults = faults

    def stop(self) -> None:
        """End all pumps."""
        self.stopped.set()

    def moved_bytes(self) -> int:
        """Return the bytes moved so far, in both directions."""
        with self._lock:
            return self._moved_bytes

    def note_moved(self, size_bytes: int) -> None:
        """
        Count bytes that were moved.

        :param size_bytes: How many.
        """
        with self._lock:
            self._moved_bytes += size_bytes


class Held:
    """
    Bytes on their way, with the time before which they are not sent.

    The end of the stream is held like bytes are, as an empty chunk.
    """

    def __init__(self) -> None:
        self._chunks: collections.deque[tuple[float, bytes]] = collections.deque()
        self._free_at_seconds = 0.0
        #: Number of held bytes.
        self.size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._chunks)

    def add(self, chunk: bytes, faults: ProxyFaults, now_seconds: float) -> None:
        """
        Take in bytes.

        :param chunk: The bytes; empty for the end of the stream.
        :param faults: The faults at arrival.
        :param now_seconds: Present time.
        """
        due_seconds = now_seconds + faults.delay_seconds
        if faults.bytes_per_second > 0:
            due_seconds = max(due_seconds, self._free_at_seconds)
            due_seconds += len(chunk) / faults.bytes_per_second
            self._free_at_seconds = due_seconds
        self._chunks.append((due_seconds, chunk))
        self.size_bytes += len(chunk)

    def due_in_seconds(self, now_seconds: float) -> float:
        """
        Return the time until the oldest chunk may be sent.

        :param now_seconds: Present time.
        """
        return self._chunks[0][0] - now_seconds

    def pop(self) -> bytes:
        """Take out the oldest chunk."""
        _, chunk = self._chunks.popleft()
        self.size_bytes -= len(chunk)
        return chunk


class Pump:
    """
    Moves bytes from one socket to another.

    :param source: Where bytes come from.
    :param sink: Where they go.
    :param direction: Which faults apply.
    :param switch: The present faults.
    :param aborted: Set to end at once without passing on an end of stream.
    """

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: Direction,
        switch: FaultSwitch,
        aborted: threading.Event,
    ) -> None:
        self._source = source
        self._sink = sink
        self._direction = direction
        self._switch = switch
        self._aborted = aborted
        self._held = Held()
        self._readable = True

    def run(self) -> None:
        """Move bytes until the source ends or the connection breaks."""
        try:
            while not self._ended() and (self._readable or self._held):
                self._receive()
                self._send_due()
        except OSError:
            self._aborted.set()
            for sock in (self._source, self._sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RD)

    def _ended(self) -> bool:
        return self._aborted.is_set() or self._switch.stopped.is_set()

    def _receive(self) -> None:
        """Wait for bytes, but not beyond the time when held ones are due."""
        timeout_seconds = self._wait_seconds()
        if not self._readable or self._held.size_bytes >= _HELD_BYTES_LIMIT:
            time.sleep(timeout_seconds or 0.0)
            return
        if not _wait_for(self._source, select.POLLIN, timeout_seconds):
            return
        chunk = self._source.recv(_READ_BYTES)
        self._readable = bool(chunk)
        faults = self._switch.get()
        if chunk and faults.discard and self._direction in faults.cut:
            return
        self._held.add(chunk, faults, time.monotonic())

    def _wait_seconds(self) -> float | None:
        if not self._held:
            return None
        due_seconds = self._held.due_in_seconds(time.monotonic())
        return min(max(due_seconds, 0.0), _POLL_SECONDS) or self._cut_wait_seconds()

    def _cut_wait_seconds(self) -> float:
        return _POLL_SECONDS if self._is_cut() else 0.0

    def _is_cut(self) -> bool:
        return self._direction in self._switch.get().cut

    def _send_due(self) -> None:
        while self._held and not self._is_cut() and not self._ended():
            if self._held.due_in_seconds(time.monotonic()) > 0:
                return
            self._send(self._held.pop())

    def _send(self, chunk: bytes) -> None:
        if not chunk:
            self._sink.shutdown(socket.SHUT_WR)
            return
        left = memoryview(chunk)
        while left and not self._ended():
            # A blocking send would not notice that the pump is to end.
            if _wait_for(self._sink, select.POLLOUT, _POLL_SECONDS):
                left = left[self._sink.send(left, socket.MSG_DONTWAIT) :]
        self._switch.note_moved(len(chunk) - len(left))


def _wait_for(sock: socket.socket, event: int, timeout_seconds: float | None) -> bool:
    """
    Wait until a socket is ready.

    :param sock: The socket.
    :param event: ``POLLIN`` or ``POLLOUT``.
    :param timeout_seconds: Longest wait; None for no limit.
    :returns: False if the wait timed out.
    """
    poll = select.poll()
    poll.register(sock, event)
    if timeout_seconds is None:
        return bool(poll.poll())
    return bool(poll.poll(timeout_seconds * _MILLISECONDS_PER_SECOND))
