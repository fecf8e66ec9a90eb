"""Closes connections so that callers get an answer sent before their body."""

import selectors
import socket
import threading

from attrs import define

from waxwingwinch.gateway._request_log_lines import RestNotRead
from waxwingwinch.kernel import Clock

#: Longest time for which the rest of a request is read and discarded; as long
#: as slow callers need to send a body of usual size.
LINGER_SECONDS = 5.0
#: Most bytes that are discarded: a request of the size that callers may send
#: by default, twice.
LINGER_BYTES = 8 * 1_024 * 1_024
#: Most connections that are closed this way at a time; beyond it the oldest
#: is closed at once.
MAX_LINGERING = 256
#: Bytes read at once.
READ_BYTES = 65_536
#: Interval at which expired connections are closed.
SWEEP_SECONDS = 0.25


@define(eq=False)
class _LingeringConnection:
    """
    A connection whose sending side has been shut down.

    :param connection: The socket, which doesn't block.
    :param end_seconds: Monotonic time at which it is closed at the latest.
    :param discarded_bytes: How much was discarded.
    :param is_closed: True once the caller has closed it.
    :param is_evicted: True if it makes room for later ones.
    """

    connection: socket.socket
    end_seconds: float
    discarded_bytes: int = 0
    is_closed: bool = False
    is_evicted: bool = False


class LingeringCloser:
    """
    Closes connections once their callers have closed them, in one thread.

    A connection that is closed while bytes of its caller arrive is reset,
    which can discard the answer before the caller has read it. So only the
    sending side is shut down, and what arrives is discarded, for a bounded
    time and amount.

    :param clock: Source of the present time.
    :param max_open: Most connections at a time; None for the default.
    :param max_bytes: Most bytes discarded of each; None for the default.
    """

    def __init__(
        self, clock: Clock, max_open: int | None = None, max_bytes: int | None = None
    ) -> None:
        self._clock = clock
        self._max_open = MAX_LINGERING if max_open is None else max_open
        self._max_bytes = LINGER_BYTES if max_bytes is None else max_bytes
        self._added: list[_LingeringConnection] = []
        self._lock = threading.Lock()
        self._is_running = False

    def add(self, connection: socket.socket) -> None:
        """
        Shut down the sending side of a connection, and close it later.

        :param connection: The connection, which nothing else uses any more.
        """
        try:
            connection.shutdown(socket.SHUT_WR)
            connection.setblocking(False)
        except OSError as error:
            connection.close()
            RestNotRead(reason=repr(error), discarded_bytes=0).write()
            return
        end_seconds = self._clock.now_seconds() + LINGER_SECONDS
        added = _LingeringConnection(connection, end_seconds)
        with self._lock:
            self._added.append(added)
            if self._is_running:
                return
            self._is_running = True
        thread = threading.Thread(target=self._run, name="lingering-close", daemon=True)
        try:
            thread.start()
        except (RuntimeError, MemoryError) as error:
            self._give_up(error, [])

    def _run(self) -> None:
        open_connections: list[_LingeringConnection] = []
        try:
            self._close_all(open_connections)
        except (OSError, MemoryError) as error:
            self._give_up(error, open_connections)

    def _give_up(
        self, error: Exception, open_connections: list[_LingeringConnection]
    ) -> None:
        """Close all connections at once; the next one starts anew."""
        with self._lock:
            added, self._added = self._added, []
            self._is_running = False
        for lingering in (*open_connections, *added):
            lingering.connection.close()
            RestNotRead(
                reason=repr(error), discarded_bytes=lingering.discarded_bytes
            ).write()

    def _close_all(self, open_connections: list[_LingeringConnection]) -> None:
        buffer = memoryview(bytearray(READ_BYTES))
        with selectors.DefaultSelector() as selector:
            while self._take_added(open_connections, selector):
                for key, _ in selector.select(SWEEP_SECONDS):
                    _discard(key.data, buffer)
                now_seconds = self._clock.now_seconds()
                for lingering in tuple(open_connections):
                    if _has_ended(lingering, now_seconds, self._max_bytes):
                        selector.unregister(lingering.connection)
                        lingering.connection.close()
                        open_connections.remove(lingering)

    def _take_added(
        self,
        open_connections: list[_LingeringConnection],
        selector: selectors.BaseSelector,
    ) -> bool:
        """Register added connections; return False if none is open."""
        with self._lock:
            added, self._added = self._added, []
            if not added and not open_connections:
                self._is_running = False
                return False
        open_connections += added
        for lingering in added:
            selector.register(lingering.connection, selectors.EVENT_READ, lingering)
        for lingering in open_connections[: -self._max_open]:
            lingering.is_evicted = True
        return True


def _discard(lingering: _LingeringConnection, buffer: memoryview) -> None:
    """Discard what has arrived."""
    try:
        size = lingering.connection.recv_into(buffer)
    except BlockingIOError:
        return
    except OSError:
        # The caller has reset the connection, so it waits for nothing.
        size = 0
    lingering.discarded_bytes += size
    lingering.is_closed = not size


def _has_ended(
    lingering: _LingeringConnection, now_seconds: float, max_bytes: int
) -> bool:
    if lingering.is_closed:
        return True
    bounds = {
        "number": lingering.is_evicted,
        "time": now_seconds >= lingering.end_seconds,
        "amount": lingering.discarded_bytes >= max_bytes,
    }
    for reason, is_reached in bounds.items():
        if is_reached:
            RestNotRead(
                reason=reason, discarded_bytes=lingering.discarded_bytes
            ).write()
            return True
    return False
