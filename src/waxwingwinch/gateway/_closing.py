"""Closing a server built on cheroot without cutting requests."""

import math
import os
import select
import selectors
import socket
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from waxwingwinch.gateway._process_log_lines import ListenerFilterRefused
from waxwingwinch.kernel import drop_new_handshakes


class SelectorTasks:
    """
    Calls that the thread of a server's selector runs.

    It stands in for a connection that becomes readable. Its descriptor is
    opened at the start, as there may be none left when a call is needed.
    """

    #: Never expires as an idle connection.
    idle_since_seconds = math.inf
    #: Holds no part of a request.
    is_gathering = False
    is_waiting = False

    def __init__(self) -> None:
        #: Readable while calls wait.
        self.descriptor = os.eventfd(0, os.EFD_NONBLOCK)
        self._calls: SimpleQueue[tuple[Callable[[], None], threading.Event]]
        self._calls = SimpleQueue()

    def submit(self, call: Callable[[], None]) -> threading.Event:
        """
        Have a call run.

        :param call: The call.
        :returns: An event that is set once it has been run.
        """
        done = threading.Event()
        self._calls.put((call, done))
        os.eventfd_write(self.descriptor, 1)
        return done

    def run(self) -> None:
        """Run the calls that wait."""
        os.eventfd_read(self.descriptor)
        while not self._calls.empty():
            call, done = self._calls.get()
            try:
                call()
            finally:
                done.set()

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
    _tasks: SelectorTasks

    def prepare(self) -> None:
        """Listen, and prepare for tasks of the selector's thread."""
        super().prepare()  # type: ignore[misc]
        self._tasks = SelectorTasks()
        self._wait_for_tasks()

    def _wait_for_tasks(self) -> None:
        self._connections._selector.register(
            self._tasks.descriptor, selectors.EVENT_READ, data=self._tasks
        )

    def process_conn(self, connection: Any) -> None:
        """
        Serve a connection that is new or readable, or run a task.

        :param connection: The connection or task.
        """
        if isinstance(connection, SelectorTasks):
            self._wait_for_tasks()
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
            if connection is not self and not isinstance(connection, SelectorTasks)
        ]

    def _run_task(self, call: Callable[[], None], timeout_seconds: float) -> None:
        if not self.ready:
            return
        self._tasks.submit(call).wait(max(timeout_seconds, 0.0))

    def _close_listener(self) -> None:
        if self.socket.fileno() < 0:
            return
        self._connections.stop_accepting()
        has_room = True
        while has_room and has_input(self.socket):
            try:
                connection = self._connections._from_server_socket(self.socket)
            except OSError as error:
                # As a rule, the process has no descriptor left.
                has_room = self._connections.make_room(error)
                continue
            if connection is not None:
                self.process_conn(connection)
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
