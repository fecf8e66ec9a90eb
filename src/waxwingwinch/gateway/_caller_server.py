"""A server whose clients are bounded, for all listening addresses."""

import socket
import struct
import sys
from typing import Any

from cheroot.server import HTTPServer

from waxwingwinch._types import Address
from waxwingwinch.gateway._caller_connections import (
    CallerConnection,
    CallerConnectionsMixin,
)
from waxwingwinch.gateway._lingering_close import LingeringCloser
from waxwingwinch.gateway._listening import ListeningMixin
from waxwingwinch.gateway._memory_account import MemoryAccount, MemoryExhausted
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._process_log_lines import FrontServerError
from waxwingwinch.gateway._request_log_lines import CallerConnectionClosed
from waxwingwinch.gateway._thread_pool import ElasticThreadPoolMixin
from waxwingwinch.gateway._unanswered import UnansweredConnections
from waxwingwinch.gateway.callers import ServerBounds
from waxwingwinch.kernel import Clock

#: Added to the idle timeout that callers use, so that the caller closes an
#: idle connection first.
IDLE_TIMEOUT_MARGIN_SECONDS = 2.0
#: Buffer of the kernel for what a caller has sent and the process hasn't read.
#: Linux takes twice as much, so a body of 4 MiB arrives in a second over a
#: link with a round trip of 30 ms.
RECEIVE_BUFFER_BYTES = 65_536

#: ``struct linger`` with a timeout of 0: closing resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


class BoundedConnection(CallerConnection):
    """A client's connection, whose buffers have a bounded size."""

    #: True if the connection is reset when it is closed, since its orderly end
    #: would look like the end of a body.
    must_reset = False

    def __init__(self, server: Any, sock: socket.socket, *arguments: Any) -> None:
        super().__init__(server, sock, *arguments)
        # A size that is set doesn't grow with what a caller sends.
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        except OSError as error:
            server.error_log(f"receive buffer not bounded: {error!r}")

    def close(self) -> None:
        """Close the connection; a caller that still sends gets its answer."""
        if not self.must_reset and not self.has_rest:
            super().close()
            return
        try:
            if self.must_reset:
                self._reset()
            else:
                self.server.lingering.add(self.socket)
        finally:
            self.server.end_reading(self)

    def _reset(self) -> None:
        self.rfile.close()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        except OSError as error:
            CallerConnectionClosed(None, repr(error)).write()
        self.socket.close()


class CallerServer(  # type: ignore[misc]
    CallerConnectionsMixin, ListeningMixin, ElasticThreadPoolMixin, HTTPServer
):
    """
    An HTTP server with one thread for each request that has arrived.

    :param address: Address to listen on.
    :param clock: Source of the present time.
    :param unanswered: Records connections closed without an answer.
    :param memory: Counts the memory that requests and answers hold.
    :param bounds: Bounds on the connections.
    """

    ConnectionClass = BoundedConnection

    def __init__(
        self,
        address: Address,
        clock: Clock,
        unanswered: UnansweredConnections,
        memory: MemoryAccount,
        bounds: ServerBounds,
    ) -> None:
        super().__init__((address.host, address.port), gateway=None)
        self.configure_connections(unanswered, bounds)
        # None means no limit.
        self.keep_alive_conn_limit = None  # type: ignore[assignment]
        self.clock = clock
        #: Closes connections whose requests weren't read to their end.
        self.lingering = LingeringCloser(clock, bounds.lingering, bounds.linger_bytes)
        #: Counts the memory that requests and answers hold.
        self.memory = memory

    @property
    def limits(self) -> CallerLimits:
        """Limits on requests."""
        raise NotImplementedError

    @property  # type: ignore[override]
    def timeout(self) -> float:
        """Seconds for which an idle connection is kept open."""
        return self.limits.idle_timeout_seconds + IDLE_TIMEOUT_MARGIN_SECONDS

    @timeout.setter
    def timeout(self, _: float) -> None:
        """Ignore the server's default; the configuration sets the limit."""

    @property
    def answer_timeout_seconds(self) -> float:
        """Seconds for which a caller may read nothing of its answer."""
        return max(self.timeout, self.limits.header_timeout_seconds)

    @property
    def max_request_header_size(self) -> int:
        """Maximum size of a request head in bytes."""
        return self.limits.max_header_bytes

    @max_request_header_size.setter
    def max_request_header_size(self, _: int) -> None:
        """Ignore the server's default; the configuration sets the limit."""

    def note_exhausted(self, exhausted: MemoryExhausted) -> None:
        """
        Log a request that is refused for lack of memory before it is parsed.

        :param exhausted: What was requested and free.
        """
        raise NotImplementedError

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """
        Log an error of the server itself.

        :param msg: The error.
        :param level: Severity.
        :param traceback: Unused; a traceback could contain prompts.
        """
        error = sys.exception()
        reason = msg if error is None else f"{msg} ({type(error).__name__})"
        FrontServerError(reason=reason, level=level).write()
