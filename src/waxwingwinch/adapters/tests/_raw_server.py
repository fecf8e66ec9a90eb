"""A server that answers with given bytes, for broken answers."""

import contextlib
import socket
import threading
from collections.abc import Iterator

from waxwingwinch._types import Address


@contextlib.contextmanager
def raw_server(answer: bytes, keep_open: bool = False) -> Iterator[Address]:
    """Answer each connection with the same bytes and close it."""
    listener = socket.create_server(("127.0.0.1", 0))
    held = []

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.recv(65_536)
            connection.sendall(answer)
            if keep_open:
                held.append(connection)
            else:
                connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield Address(*listener.getsockname())
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()
        for connection in held:
            connection.close()


@contextlib.contextmanager
def closed_port() -> Iterator[Address]:
    """Give an address that is bound, so that nothing else listens there."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield Address(*bound.getsockname())
