"""An HTTP server with one thread for each request under way."""

import contextlib
import socket
import threading
from http import HTTPStatus
from typing import Any

from cheroot.server import Gateway, HTTPServer

from waxwing_testbed.web._messages import (
    ConnectionDropped,
    EventStream,
    Reply,
    Request,
)
from waxwing_testbed.web._router import Answer, Router
from waxwingwinch._types import Address


class _RequestThreads:
    """
    Runs each readable connection in its own thread.

    Takes the place of cheroot's pool of a fixed size, in which long streams
    would keep short calls waiting.

    :param server: The server that hands over connections.
    """

    idle = 1
    qsize = 0

    def __init__(self, server: Any) -> None:
        self._server = server
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()

    def start(self) -> None:
        """Begin; nothing to prepare."""

    def put(self, connection: Any) -> None:
        """
        Serve a connection that has become readable.

        :param connection: cheroot's connection object.
        """
        threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: Any) -> None:
        with self._lock:
            self._sockets.add(connection.socket)
        keep_open = False
        try:
            keep_open = bool(connection.communicate())
        except OSError:
            pass  # The peer has gone, or the connection was cut on purpose.
        finally:
            with self._lock:
                self._sockets.discard(connection.socket)
        if keep_open and self._server.ready:
            self._server.put_conn(connection)
        else:
            _close_quietly(connection)

    def stop(self, timeout: float | None = None) -> None:
        """
        Cut all connections under way.

        :param timeout: Unused; cutting doesn't wait.
        """
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            cut_socket(sock)


def cut_socket(sock: socket.socket) -> None:
    """
    End both directions of a connection at once.

    :param sock: The socket; its owner closes it.
    """
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # It was closed meanwhile.


def _close_quietly(connection: Any) -> None:
    try:
        connection.close()
    except OSError:
        pass  # It was closed meanwhile.


class _RouterGateway(Gateway):
    """Passes requests to a router and writes its answers."""

    def __init__(self, req: Any, router: Router) -> None:
        super().__init__(req)
        self._router = router

    def respond(self) -> None:
        """Answer the request."""
        try:
            self._write(self._router.answer(self._read()))
        except ConnectionDropped:
            cut_socket(self.req.conn.socket)
            self.req.close_connection = True
            # Keeps cheroot from sending a head of its own.
            self.req.sent_headers = True

    def _read(self) -> Request:
        req = self.req
        raw_query = req.qs.decode("latin-1")
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in req.inheaders.items()
        )
        length = int(req.inheaders.get(b"Content-Length", 0))
        chunked = b"Transfer-Encoding" in req.inheaders
        body = req.rfile.read(length) if length else b""
        if chunked:
            body = req.rfile.read()
        method = req.method.decode("latin-1")
        path = req.path.decode("latin-1")
        return Request.parse(method, path, raw_query, headers, body)

    def _write(self, answer: Answer) -> None:
        match answer:
            case Reply():
                length = answer.announced_bytes
                if length is None:
                    length = len(answer.body)
                headers = (*answer.headers, ("Content-Length", str(length)))
                self._write_head(answer.status, headers)
                if answer.body and self.req.method != b"HEAD":
                    self.req.write(answer.body)
                if length != len(answer.body):
                    raise ConnectionDropped("body shorter than announced")
            case EventStream(events):
                with contextlib.closing(events):
                    headers = (("Content-Type", "text/event-stream"),)
                    self._write_head(HTTPStatus.OK, headers)
                    for event in events:
                        self.req.write(event)

    def _write_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        phrase = HTTPStatus(status).phrase
        self.req.status = f"{int(status)} {phrase}".encode("latin-1")
        for name, value in headers:
            pair = (name.encode("latin-1"), value.encode("latin-1"))
            self.req.outheaders.append(pair)
        self.req.ensure_headers_sent()


class _QuietServer(HTTPServer):
    """A server that doesn't report the errors of its own stopping."""

    request_queue_size = 512
    keep_alive_conn_limit = 10_000

    def __init__(self, address: Address, router: Router) -> None:
        super().__init__(
            (address.host, address.port), lambda req: _RouterGateway(req, router)
        )
        self.requests = _RequestThreads(self)
        #: Set once the server is to stop.
        self.stopping = threading.Event()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """
        Report an error on the standard error stream.

        :param msg: What went wrong.
        :param level: Its severity.
        :param traceback: True to add the traceback.
        """
        if not self.stopping.is_set():
            super().error_log(msg, level, traceback)


class WebServer:
    """
    Serves one router at one address.

    :param address: Where to listen.
    :param router: Answers the requests.
    """

    def __init__(self, address: Address, router: Router) -> None:
        self._address = address
        self._router = router
        self._server: Any = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """
        Begin to listen.

        :raises OSError: If the address can't be bound.
        """
        server = _QuietServer(self._address, self._router)
        server.prepare()
        self._server = server
        self._thread = threading.Thread(target=server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop to listen and cut all connections, all at once."""
        server, self._server = self._server, None
        if server is None:
            return
        server.stopping.set()
        # The thread that accepts would otherwise notice half a second later.
        cut_socket(server.socket)
        server.requests.stop()
        server.stop()
        if self._thread is not None:
            self._thread.join()
