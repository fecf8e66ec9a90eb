"""Detection of closed connections without consuming received bytes."""

import select
import socket


def is_closed_by_peer(connection: socket.socket | None) -> bool:
    """
    Return whether the other side has closed a connection.

    A connection with unread bytes counts as open.

    :param connection: The socket; None if unknown, which counts as open.
    """
    if connection is None:
        return False
    try:
        # The socket has a timeout, so recv() alone would wait for data up to
        # that timeout, whatever its flags are.
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        if not poller.poll(0):
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
