"""Served connections whose other side has not proved that it is a peer."""

from typing import Any

import eliot
from websockets.asyncio.server import ServerConnection

#: Most such connections at a time; more than half of 410 instances that start
#: at once. Peers that are disconnected dial again.
MAX_UNAUTHENTICATED = 256
#: Most bytes of one of them. A handshake has some hundred; a peer may send the
#: first messages after it before they are read.
MAX_UNAUTHENTICATED_BYTES = 1_048_576
#: Most bytes of all of them together.
MAX_UNAUTHENTICATED_SUM_BYTES = 8 * 1_048_576


class UnauthenticatedConnections:
    """
    Bounds what connections hold before their handshake has ended.

    Used in the thread of one event loop.

    :param max_open: Most connections.
    :param max_bytes: Most bytes received on one.
    :param max_sum_bytes: Most bytes received on all.
    """

    def __init__(
        self,
        max_open: int = MAX_UNAUTHENTICATED,
        max_bytes: int = MAX_UNAUTHENTICATED_BYTES,
        max_sum_bytes: int = MAX_UNAUTHENTICATED_SUM_BYTES,
    ) -> None:
        self._max_open = max_open
        self._max_bytes = max_bytes
        self._max_sum_bytes = max_sum_bytes
        #: Bytes received by connection, the oldest first.
        self._received: dict[Any, int] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._received)

    def add(self, connection: Any) -> None:
        """
        Count a connection; the oldest is closed if there are too many.

        :param connection: The connection.
        """
        self._received[connection] = 0
        if len(self._received) > self._max_open:
            self._abort(next(iter(self._received)), "number")

    def receive(self, connection: Any, size_bytes: int) -> None:
        """
        Count received bytes; a connection is closed if there are too many.

        :param connection: The connection; may be one that is not counted.
        :param size_bytes: How many bytes it received.
        """
        if connection not in self._received:
            return
        self._received[connection] += size_bytes
        if self._received[connection] > self._max_bytes:
            self._abort(connection, "bytes")
        elif sum(self._received.values()) > self._max_sum_bytes:
            self._abort(max(self._received, key=self._received.__getitem__), "sum")

    def remove(self, connection: Any) -> None:
        """
        Count a connection no more: it was authenticated or closed.

        :param connection: The connection.
        """
        self._received.pop(connection, None)

    def _abort(self, connection: Any, reason: str) -> None:
        received_bytes = self._received.pop(connection)
        connection.abort()
        eliot.log_message(
            "peer:unauthenticated_closed",
            reason=reason,
            received_bytes=received_bytes,
            open=len(self._received),
        )


class BoundedServerConnection(ServerConnection):
    """
    A served connection that is bounded until it is authenticated.

    :param unauthenticated: The bounds.
    """

    def __init__(
        self,
        *arguments: Any,
        unauthenticated: UnauthenticatedConnections,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._unauthenticated = unauthenticated
        self._is_aborted = False

    def connection_made(self, transport: Any) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._unauthenticated.add(self)

    def data_received(self, data: bytes) -> None:
        """Count what was received before parsing it."""
        self._unauthenticated.receive(self, len(data))
        if not self._is_aborted:
            super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection no more."""
        self._unauthenticated.remove(self)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection and release the bytes that wait for parsing."""
        self._is_aborted = True
        self.transport.abort()
        # connection_lost() does the same, but only in the next pass of the
        # event loop, after all other connections have been read.
        self.protocol.receive_eof()

    def note_authenticated(self) -> None:
        """End the bounds, once the other side has proved that it is a peer."""
        self._unauthenticated.remove(self)
