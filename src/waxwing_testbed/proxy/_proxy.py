"""The proxy: a thread for each direction of each connection."""

import contextlib
import socket
import struct
import threading

from waxwing_testbed.proxy._faults import Direction, ProxyFaults
from waxwing_testbed.proxy._pump import FaultSwitch, Pump
from waxwingwinch._types import Address

#: Longest wait for the target to take a connection.
_CONNECT_TIMEOUT_SECONDS = 5.0
_BACKLOG_CONNECTIONS = 512
#: ``struct linger`` that makes closing send a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class FaultProxy:
    """
    Forwards the connections of one address to another.

    :param listen: Where to listen.
    :param target: Where to forward to.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self._listen = listen
        self._target = target
        self._switch = FaultSwitch()
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None
        self._connections: set[_Connection] = set()

    def start(self) -> None:
        """
        Begin to listen.

        :raises OSError: If the address can't be bound.
        """
        self._open_listener()

    def stop(self) -> None:
        """Stop to listen and end all connections."""
        self._close_listener()
        self._switch.stop()
        self.reset_connections()

    def set_faults(self, faults: ProxyFaults) -> None:
        """
        Replace the faults.

        :param faults: Applies to existing and new connections.
        """
        self._switch.set(faults)
        if faults.refuse:
            self._close_listener()
        else:
            self._open_listener()

    def moved_bytes(self) -> int:
        """Return the bytes moved so far, in both directions."""
        return self._switch.moved_bytes()

    def reset_connections(self) -> None:
        """Reset all existing connections."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.abort()

    def _open_listener(self) -> None:
        with self._lock:
            if self._listener is not None:
                return
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self._listen.host, self._listen.port))
            listener.listen(_BACKLOG_CONNECTIONS)
            self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _close_listener(self) -> None:
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is None:
            return
        # Closing alone would leave a thread in accept with the open file.
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return  # The listener was closed.
            threading.Thread(target=self._join, args=(caller,), daemon=True).start()

    def _join(self, caller: socket.socket) -> None:
        """Connect to the target and pump both directions."""
        try:
            target = socket.create_connection(
                (self._target.host, self._target.port), _CONNECT_TIMEOUT_SECONDS
            )
        except OSError:
            _set_reset(caller)
            caller.close()
            return
        target.settimeout(None)
        connection = _Connection(caller, target)
        with self._lock:
            self._connections.add(connection)
        connection.pump(self._switch)
        with self._lock:
            self._connections.discard(connection)
        connection.close()


class _Connection:
    """
    A proxied connection.

    :param caller: The accepted socket.
    :param target: The socket to the target.
    """

    def __init__(self, caller: socket.socket, target: socket.socket) -> None:
        self._caller = caller
        self._target = target
        self._aborted = threading.Event()
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def pump(self, switch: FaultSwitch) -> None:
        """
        Move bytes in both directions until both have ended.

        :param switch: The present faults.
        """
        forward = Pump(
            self._caller, self._target, Direction.FORWARD, switch, self._aborted
        )
        backward = Pump(
            self._target, self._caller, Direction.BACKWARD, switch, self._aborted
        )
        second = threading.Thread(target=backward.run, daemon=True)
        second.start()
        forward.run()
        second.join()

    def abort(self) -> None:
        """End the pumps; closing then resets both sides."""
        self._aborted.set()
        for sock in (self._caller, self._target):
            # Wakes a pump that waits for bytes, without sending anything.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Close both sockets."""
        for sock in (self._caller, self._target):
            if self._aborted.is_set():
                _set_reset(sock)
            sock.close()


def _set_reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
