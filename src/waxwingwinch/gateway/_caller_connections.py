"""The connections of callers, and how they are closed at a stop."""

import socket
import time
from typing import Any

from cheroot.server import HTTPConnection

from waxwingwinch.gateway._closing import ClosingMixin, has_input
from waxwingwinch.gateway._request_log_lines import CallerConnectionClosed
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._unanswered import UnansweredConnections, UnansweredStage
from waxwingwinch.gateway.callers import (
    CuttingMixin,
    HeadGathering,
    ServerBounds,
    caller_file,
)
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.kernel import Clock


class CallerConnection(HeadGathering, HTTPConnection):  # type: ignore[misc]
    """A caller's connection."""

    #: True once the next request has begun to arrive.
    has_request = False
    #: False once reading has been shut down, which looks as if the caller had
    #: closed the connection.
    is_watchable = True
    #: Monotonic time at which it was accepted or last became readable.
    ready_seconds = 0.0
    #: True if it has carried a request before.
    is_kept = False
    #: True while it waits in the selector for its next request.
    is_waiting = False
    #: True once its request was cancelled by a stop.
    is_cancelled = False
    #: Monotonic time since which a thread waits for the caller; None if none
    #: does, or the connection may not be cut.
    blocked_since_seconds: float | None = None
    #: True while it waits for the body of a request, not for the reading of an
    #: answer.
    is_read = False
    #: True once it was cut so that its thread serves others.
    is_evicted = False
    #: Monotonic time since which nothing complete has arrived.
    idle_since_seconds = 0.0
    #: True if the connection is reset when it is closed.
    must_reset = False

    def __init__(self, server: Any, sock: socket.socket, *_: Any) -> None:
        super().__init__(server, sock, caller_file)  # type: ignore[no-untyped-call]
        self.configure_gathering()
        server.count_open(self)

    @property
    def has_input(self) -> bool:
        """True if something has arrived that was not read."""
        return bool(self.rfile.has_data()) or has_input(self.socket)

    @property
    def is_awaited(self) -> bool:
        """True if its request has begun to arrive, or it was kept for one."""
        return self.has_request or self.is_kept or self.has_input

    def communicate(self) -> bool:
        """Handle the next request; return whether to keep the connection."""
        if not self.gather(time.monotonic()):
            return True
        self.socket.settimeout(self.server.limits.header_timeout_seconds)
        try:
            self.is_kept = bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.blocked_since_seconds = None
            self.idle_since_seconds = time.monotonic()
            self.release_head()
        return self.is_kept

    def evict(self) -> None:
        """End the wait of a thread for the caller; safe from any thread."""
        self.is_evicted = True
        # An answer that is cut short is reset, so that it doesn't look whole.
        self.must_reset = not self.is_read
        try:
            self.socket.shutdown(socket.SHUT_RD if self.is_read else socket.SHUT_RDWR)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()

    def close(self) -> None:
        """Close the connection, unless its next request has arrived."""
        if self.is_waiting and self.has_input and not is_closed_by_peer(self.socket):
            self.server.dispatch(self)
            return
        try:
            super().close()  # type: ignore[no-untyped-call]
        finally:
            self.server.end_reading(self)

    def stop_reading(self) -> None:
        """Read nothing that has not arrived yet."""
        self.is_watchable = False
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()

    def _conditional_error(self, req: Any, response: str) -> None:
        # No error response is sent on a connection on which no request has
        # started.
        if req and req.started_request:
            super()._conditional_error(req, response)  # type: ignore[misc]


class CallerConnectionsMixin(CuttingMixin, ClosingMixin):
    """
    Mixin with which a cheroot server tracks the connections of callers.

    Each connection is either given to a worker thread or waits in the selector
    for its next request.
    """

    clock: Clock

    def configure_connections(
        self, unanswered: UnansweredConnections, bounds: ServerBounds
    ) -> None:
        """
        Prepare the tracking.

        :param unanswered: Records connections closed without an answer.
        :param bounds: Bounds on the connections.
        """
        self.unanswered = unanswered
        self.configure_cutting(bounds)
        self._is_stopping = False
        self._is_closed_to_callers = False

    @property
    def under_way(self) -> int:
        """Number of connections with a request waited for or answered."""
        with self._reading_lock:
            return len(self._reading)

    def waiting_connections(self) -> list[tuple[int, CallerConnection]]:
        """Return descriptors and connections on which nothing has arrived."""
        return [
            (descriptor, connection)
            for descriptor, connection in super().waiting_connections()
            if connection.is_waiting
        ]

    @property
    def is_awaited(self) -> bool:
        """True if a request is in progress or a connection was kept."""
        with self._reading_lock:
            if any(connection.is_awaited for connection in self._reading):
                return True
        return any(connection.is_kept for _, connection in self.waiting_connections())

    def begin_stop(self) -> None:
        """Close each connection after its answer."""
        self._is_stopping = True

    def is_last_answer(self, connection: CallerConnection) -> bool:
        """
        Return whether the answer being written is the last of its connection.

        :param connection: The connection.
        """
        # A further request that has arrived already is owed an answer.
        return self._is_stopping and not connection.has_input

    def dispatch(self, connection: CallerConnection) -> None:
        """
        Serve a connection that is new or has become readable.

        :param connection: The connection.
        """
        if not connection.is_gathering:
            connection.ready_seconds = self.clock.now_seconds()
        is_new = connection.last_used is None
        if is_new and not connection.has_input:
            # It holds no thread until its request arrives.
            self._connections.put(connection)
            return
        with self._reading_lock:
            if not connection.is_gathering:
                connection.has_request = False
            connection.is_waiting = False
            self._reading.add(connection)
        super().dispatch(connection)

    def put_conn(self, connection: CallerConnection) -> None:
        """
        Keep a connection for its next request, unless the server closes.

        :param connection: The connection.
        """
        if connection.is_gathering:
            # No thread is held until more of the head arrives.
            if connection.has_first_line:
                self.note_request(connection)
            self._connections.wait_for_head(connection)
            return
        if connection.rfile.has_data() or (
            self._is_closed_to_callers and connection.has_input
        ):
            self.dispatch(connection)
            return
        with self._reading_lock:
            is_kept = self.ready and not self._is_closed_to_callers
            if is_kept:
                self._reading.discard(connection)
                self._connections.put(connection)
        if not is_kept and connection.has_input:
            # It arrived as the server closed, and is owed an answer.
            self.dispatch(connection)
        elif not is_kept:
            connection.close()

    def take_idle(self) -> list[CallerConnection]:
        """Remove the idle connections from the selector and return them."""
        with self._reading_lock:
            return super().take_idle()

    def end_reading(self, connection: CallerConnection) -> None:
        """
        Count a connection no more.

        :param connection: The connection.
        """
        with self._reading_lock:
            self._reading.discard(connection)
            self._open.discard(connection)
        connection.release_head()

    def note_request(self, connection: CallerConnection) -> None:
        """
        Record that the first line of a connection's next request has arrived.

        :param connection: The connection.
        """
        with self._reading_lock:
            connection.has_request = True

    def close_to_callers(self) -> None:
        """Wait for no further request; those that arrived are answered."""
        # Under the lock, since shutting down the reading of a request that has
        # just begun would look as if its caller had left.
        with self._reading_lock:
            self._is_closed_to_callers = True
            for connection in self._reading:
                if not connection.has_request:
                    connection.stop_reading()

    def record_left(self) -> None:
        """Record the connections that are left without an answer."""
        with self._reading_lock:
            reading = [c for c in self._reading if not c.is_cancelled]
        waiting = [connection for _, connection in self.waiting_connections()]
        for connection in (*reading, *waiting):
            if connection in reading and connection.has_request:
                self.record_unanswered(connection, UnansweredStage.READING)
            elif connection.has_input and not is_closed_by_peer(connection.socket):
                self.record_unanswered(connection, UnansweredStage.UNREAD)

    def record_unanswered(
        self, connection: CallerConnection, stage: UnansweredStage
    ) -> None:
        """
        Record a connection that is closed without an answer.

        :param connection: The connection.
        :param stage: How far its request was.
        """
        age_seconds = self.clock.now_seconds() - connection.ready_seconds
        self.unanswered.record(stage, age_seconds, connection.is_kept)

    def record_cancelled(self, requests: tuple[GatewayRequest, ...]) -> None:
        """
        Record the connections of requests that were cancelled.

        :param requests: The requests.
        """
        sockets = {id(request.connection) for request in requests}
        with self._reading_lock:
            connections = [
                connection
                for connection in self._reading
                if id(connection.socket) in sockets
            ]
        for connection in connections:
            connection.is_cancelled = True
            self.record_unanswered(connection, UnansweredStage.PASSED_ON)
