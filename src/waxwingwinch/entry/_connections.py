"""Server connections with read deadlines and access to the caller's socket."""

import socket
import threading
from contextlib import closing
from typing import Any

import eliot
from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10, Server

from waxwingwinch.entry._request_heads import EntryRequest
from waxwingwinch.kernel import Clock

#: Key of the caller's socket in the WSGI environment.
SOCKET_KEY = "waxwingwinch.socket"

#: Interval at which the read deadlines are checked.
SCAN_INTERVAL_SECONDS = 0.5


class ReadDeadlines:
    """
    Stops receiving on connections whose request takes too long to arrive.

    The socket timeout bounds each receive call only, so a caller that sends a
    single byte from time to time could occupy a thread for hours.

    :param limit_seconds: Longest time to receive one request.
    :param clock: Source of the present time.
    """

    def __init__(self, limit_seconds: float, clock: Clock) -> None:
        self._limit_seconds = limit_seconds
        self._clock = clock
        self._started: dict[socket.socket, float] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="read-deadlines", daemon=True
        )

    def start(self) -> None:
        """Start the checking thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the checking thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def begin(self, connection: socket.socket) -> None:
        """
        Start the deadline of the next request of a connection.

        Called when a thread begins to serve the request. Time that the
        connection was idle between two requests doesn't count.

        :param connection: The socket of the connection.
        """
        with self._lock:
            self._started[connection] = self._clock.now_seconds()

    def end(self, connection: socket.socket | None) -> None:
        """
        Clear the deadline: the request was received or its connection ended.

        :param connection: The socket of the connection; None does nothing.
        """
        if connection is None:
            return
        with self._lock:
            self._started.pop(connection, None)

    def stop_overdue(self, now_seconds: float) -> int:
        """
        Shut down receiving on the connections whose deadline has passed.

        :param now_seconds: Monotonic time.
        :returns: The number of connections.
        """
        with self._lock:
            overdue = [
                connection
                for connection, started_seconds in self._started.items()
                if now_seconds - started_seconds > self._limit_seconds
            ]
            for connection in overdue:
                del self._started[connection]
                _shut_down_receiving(connection)
        return len(overdue)

    def _run(self) -> None:
        while not self._stopping.wait(SCAN_INTERVAL_SECONDS):
            self.stop_overdue(self._clock.now_seconds())


def _shut_down_receiving(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        # The caller has closed the connection meanwhile.
        pass


class EntryGateway(Gateway_10):  # type: ignore[misc]
    """Adds the caller's socket to the environment and closes each response."""

    def respond(self) -> None:
        """
        Send the response of the application, and close it.

        Cheroot skips the close if the head can't be sent, so that the request
        would count as in progress for ever.
        """
        with closing(self.req.server.wsgi_app(self.env, self.start_response)) as parts:
            try:
                for part in filter(None, parts):
                    self.write(part)  # type: ignore[no-untyped-call]
            finally:
                self.req.ensure_headers_sent()

    def get_environ(self) -> Any:
        """Return the environment of the request."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class EntryConnection(HTTPConnection):  # type: ignore[misc]
    """A connection that is subject to the server's read deadlines."""

    RequestHandlerClass = EntryRequest

    def communicate(self) -> bool:
        """Serve the next request; return whether to keep the connection."""
        deadlines: ReadDeadlines = self.server.read_deadlines
        deadlines.begin(self.socket)
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            deadlines.end(self.socket)


class EntryServer(Server):  # type: ignore[misc]
    """
    Cheroot's HTTP server with read deadlines.

    :param bind_addr: Host and port.
    :param wsgi_app: The WSGI application.
    :param read_deadlines: Deadlines for receiving requests.
    :param threads: Number of threads that serve connections.
    """

    ConnectionClass = EntryConnection

    def __init__(
        self,
        bind_addr: tuple[str, int],
        wsgi_app: Any,
        read_deadlines: ReadDeadlines,
        threads: int,
    ) -> None:
        super().__init__(bind_addr, wsgi_app, numthreads=threads)
        self.gateway = EntryGateway
        self.read_deadlines = read_deadlines

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """
        Log an internal error of the server.

        :param msg: Error message of the server.
        :param level: Severity.
        :param traceback: Ignored, as a traceback could contain prompts.
        """
        eliot.log_message("http:server_error", reason=msg, level=level)
