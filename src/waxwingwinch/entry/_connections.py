"""Connections whose requests must arrive in time and whose callers may go."""

import socket
import threading
from typing import Any

import eliot
from cheroot.server import HTTPConnection
from cheroot.wsgi import Gateway_10, Server

from waxwingwinch.entry._request_heads import EntryRequest
from waxwingwinch.kernel import Clock

#: Key of the caller's socket in the WSGI environment.
SOCKET_KEY = "waxwingwinch.socket"

#: How often the reading deadlines are checked.
SCAN_SECONDS = 0.5


class ReadDeadlines:
    """
    Cuts connections whose request takes too long to arrive.

    The socket's own timeout bounds each receive only, so a caller that sends
    a byte now and then would hold a thread for hours.

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
        Note that a request begins to arrive.

        :param connection: Its socket.
        """
        with self._lock:
            self._started[connection] = self._clock.now_seconds()

    def end(self, connection: socket.socket | None) -> None:
        """
        Note that a request has arrived, or that its connection ended.

        :param connection: Its socket.
        """
        if connection is None:
            return
        with self._lock:
            self._started.pop(connection, None)

    def cut_late(self, now_seconds: float) -> int:
        """
        Cut the connections that are over their time.

        :param now_seconds: Monotonic time.
        :returns: How many were cut.
        """
        with self._lock:
            late = [
                connection
                for connection, started_seconds in self._started.items()
                if now_seconds - started_seconds > self._limit_seconds
            ]
            for connection in late:
                del self._started[connection]
                _stop_receiving(connection)
        return len(late)

    def _run(self) -> None:
        while not self._stopping.wait(SCAN_SECONDS):
            self.cut_late(self._clock.now_seconds())


def _stop_receiving(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        # The caller was faster and closed it.
        pass


class EntryGateway(Gateway_10):  # type: ignore[misc]
    """Adds the caller's socket to the WSGI environment."""

    def get_environ(self) -> Any:
        """Return the environment of the request."""
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class EntryConnection(HTTPConnection):  # type: ignore[misc]
    """A connection under the server's reading deadlines."""

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
    CherryPy's HTTP server with reading deadlines.

    :param bind_addr: Host and port.
    :param wsgi_app: The application.
    :param read_deadlines: The deadlines.
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
        Log a fault of the server itself.

        :param msg: What happened.
        :param level: Severity.
        :param traceback: Unused; a traceback could show prompts.
        """
        eliot.log_message("http:server_error", reason=msg, level=level)
