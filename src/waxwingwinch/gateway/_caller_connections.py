"""The connections of callers, and how they are closed at a stop."""

import socket
import threading
from typing import Any

from cheroot.server import HTTPConnection

from waxwingwinch.gateway._closing import ClosingMixin, has_input
from waxwingwinch.gateway._request_log_lines import CallerConnectionClosed
from waxwingwinch.gateway._requests import GatewayRequest
from waxwingwinch.gateway._unanswered import UnansweredConnections, UnansweredStage
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.kernel import Clock


class CallerConnection(HTTPConnection):  # type: ignore[misc]
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
        self.socket.settimeout(self.server.limits.header_timeout_seconds)
        self.is_kept = bool(super().communicate())  # type: ignore[no-untyped-call]
        return self.is_kept

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


class CallerConnectionsMixin(ClosingMixin):
    """
    Mixin with which a cheroot server tracks the connections of callers.

    Each connection is either given to a worker thread or waits in the selector
    for its next request.
    """

    clock: Clock

    def configure_connections(self, unanswered: UnansweredConnections) -> None:
        """
        Prepare the tracking.

        :param unanswered: Records connections closed without an answer.
        """
        self._unanswered = unanswered
        self._is_stopping = False
        self._is_closed_to_callers = False
        self._reading: set[CallerConnection] = set()
        self._reading_lock = threading.Lock()

    @property
    def under_way(self) -> int:
        """Number of connections with a request waited for or answered."""
        with self._reading_lock:
            return len(self._reading)

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
        connection.ready_seconds = self.clock.now_seconds()
        is_new = connection.last_used is None
        if is_new and not connection.has_input:
            # It holds no thread until its request arrives.
            self._connections.put(connection)
            return
        with self._reading_lock:
            connection.has_request = connection.is_waiting = False
            self._reading.add(connection)
        super().dispatch(connection)

    def put_conn(self, connection: CallerConnection) -> None:
        """
        Keep a connection for its next request, unless the server closes.

        :param connection: The connection.
        """
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
        self._unanswered.record(stage, age_seconds, connection.is_kept)

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
