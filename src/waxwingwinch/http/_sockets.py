"""What can be seen of a connection without reading from it."""

import select
import socket


def is_gone(connection: socket.socket | None) -> bool:
    """
    Tell whether the other side has closed a connection.

    :param connection: The socket; None if it isn't known.
    """
    if connection is None:
        return False
    try:
        # The socket has a timeout, so that a receive alone would wait for it
        # whatever its flags say.
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        if not poller.poll(0):
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
