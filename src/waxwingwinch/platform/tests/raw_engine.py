"""An engine that answers the requests on its connections with given bytes."""

import contextlib
import socket
import threading
from collections.abc import Iterator

from attrs import define, field

from waxwingwinch._types import Address
from waxwingwinch.platform.tests.standin import reset_on_close


class Reset:
    """Ends a connection with a reset instead of an orderly close."""


class KeepOpen:
    """Leaves a connection open until the engine stops."""


Reply = bytes | Reset | KeepOpen


@define(eq=False)
class RawEngine:
    """
    An engine with scripted connections.

    :param scripts: For each connection, in the order of their arrival, what is
        sent: an element of bytes answers a request, and further elements of
        the same tuple follow it at the next :meth:`go_on`.
    """

    scripts: list[list[tuple[Reply, ...]]]
    address: Address
    requests: list[bytes] = field(factory=list)
    connections: int = 0
    #: Allows the next element of a tuple to be sent.
    permits: threading.Semaphore = field(factory=lambda: threading.Semaphore(0))
    #: Counts the elements sent.
    sent: threading.Semaphore = field(factory=lambda: threading.Semaphore(0))
    held: list[socket.socket] = field(factory=list)

    def go_on(self) -> None:
        """Send the next element of the present tuple, and wait until it is."""
        self.permits.release()
        self.sent.acquire(timeout=5.0)

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of a connection."""
        script = self.scripts[self.connections]
        self.connections += 1
        with connection:
            for replies in script:
                request = _read_request(connection)
                if not request:
                    return
                self.requests.append(request)
                if not self._answer(connection, replies):
                    return

    def _answer(self, connection: socket.socket, replies: tuple[Reply, ...]) -> bool:
        """Send the elements of an answer; return whether to go on."""
        for number, reply in enumerate(replies):
            if number and not self.permits.acquire(timeout=5.0):
                return False
            match reply:
                case Reset():
                    reset_on_close(connection)
                    connection.close()
                case KeepOpen():
                    self.held.append(connection.dup())
                case _:
                    connection.sendall(reply)
            if number:
                self.sent.release()
            if isinstance(reply, Reset | KeepOpen):
                return False
        return True


def _read_request(connection: socket.socket) -> bytes:
    """Read the head of a request without a body."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65_536)
        if not part:
            return b""
        data += part
    return data


@contextlib.contextmanager
def raw_engine(*scripts: list[tuple[Reply, ...]]) -> Iterator[RawEngine]:
    """Serve scripted connections, each in a thread."""
    listener = socket.create_server(("127.0.0.1", 0))
    engine = RawEngine(list(scripts), Address(*listener.getsockname()))

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=engine.serve, args=(connection,), daemon=True
            ).start()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield engine
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
        for held in engine.held:
            held.close()
