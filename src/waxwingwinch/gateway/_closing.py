"""Closing a server built on cheroot without cutting requests."""

import math
import os
import select
import selectors
import socket
import threading
from collections.abc import Callable
from typing import Any

from waxwingwinch.gateway._process_log_lines import ListenerFilterRefused
from waxwingwinch.kernel import drop_new_handshakes


class SelectorTask:
    """
    A call that the thread of a server's selector runs once.

    It stands in for a connection that has become readable.

    :param call: The call.
    """

    #: Never expires as an idle connection.
    idle_since_seconds = math.inf

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        #: Readable at once.
        self.descriptor = os.eventfd(1)
        #: Set once the call has been run.
        self.done = threading.Event()

    def run(self) -> None:
        """Run the call."""
        self.close()
        try:
            self._call()
        finally:
            self.done.set()

    def close(self) -> None:
        """Release the descriptor."""
        os.close(self.descriptor)


def has_input(connection: socket.socket) -> bool:
    """
    Return whether bytes, or the end of the connection, can be read at once.

    :param connection: The socket.
    """
    try:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        return bool(poller.poll(0))
    except (OSError, ValueError):
        return False


class ClosingMixin:
    """
    Mixin with which a cheroot server closes its sockets one after the other.

    Only the thread of the selector accepts connections and removes idle ones,
    so it also runs what closes them.
    """

    ready: bool
    requests: Any
    socket: Any
    _connections: Any

    def process_conn(self, connection: Any) -> None:
        """
        Serve a connection that is new or readable, or run a task.

        :param connection: The connection or task.
        """
        if isinstance(connection, SelectorTask):
            connection.run()
        else:
            self.dispatch(connection)

    def dispatch(self, connection: Any) -> None:
        """
        Give a connection to a worker thread.

        :param connection: The connection.
        """
        self.requests.put(connection)

    def refuse_handshakes(self) -> None:
        """Begin no further handshake; those under way are completed."""
        if not self.ready:
            return
        try:
            drop_new_handshakes(self.socket)
        except OSError as error:
            ListenerFilterRefused(reason=repr(error)).write()

    def stop_listening(self, timeout_seconds: float) -> None:
        """
        Accept what is in the queue, then let the kernel refuse connections.

        :param timeout_seconds: Maximum wait for the thread of the selector.
        """
        self._run_task(self._close_listener, timeout_seconds)

    def close_idle(self, timeout_seconds: float) -> None:
        """
        Close the connections on which nothing has arrived.

        :param timeout_seconds: Maximum wait for the thread of the selector.
        """
        self._run_task(self._close_idle, timeout_seconds)

    def waiting_connections(self) -> list[tuple[int, Any]]:
        """Return descriptors and connections that wait for a request."""
        if not self.ready:
            return []
        return [
            (descriptor, connection)
            for descriptor, connection in list(self._connections._selector.connections)
            if connection is not self and not isinstance(connection, SelectorTask)
        ]

    def _run_task(self, call: Callable[[], None], timeout_seconds: float) -> None:
        if not self.ready:
            return
        task = SelectorTask(call)
        self._connections._selector.register(
            task.descriptor, selectors.EVENT_READ, data=task
        )
        task.done.wait(max(timeout_seconds, 0.0))

    def _close_listener(self) -> None:
        if self.socket.fileno() < 0:
            return
        while has_input(self.socket):
            connection = self._connections._from_server_socket(self.socket)
            if connection is not None:
                self.process_conn(connection)
        self._connections._selector.unregister(self.socket.fileno())
        self.socket.close()

    def _close_idle(self) -> None:
        for connection in self.take_idle():
            connection.close()

    def take_idle(self) -> list[Any]:
        """Remove the idle connections from the selector and return them."""
        taken = []
        for descriptor, connection in self.waiting_connections():
            # What has arrived is read and answered.
            if not has_input(connection.socket):
                self._connections._selector.unregister(descriptor)
                taken.append(connection)
        return taken
