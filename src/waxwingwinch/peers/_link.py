"""Link to one peer with its own thread, redialed when it breaks."""

import threading
from collections.abc import Sequence
from typing import Any

import eliot
from attrs import define
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.kernel import Health
from waxwingwinch.peers._frames import NO_REPLY, Frame, decode_frame
from waxwingwinch.peers._handshake import (
    PeerIdentity,
    PeerRejected,
    client_handshake,
    run_handshake,
)
from waxwingwinch.peers._options import (
    DIAL_OPTIONS,
    MIN_REDIAL_PAUSE_SECONDS,
    next_redial_pause_seconds,
)


@define
class _PendingReply:
    """
    A request whose reply is outstanding.

    :param done: Set when the reply was received or the link broke.
    :param payload: The encoded reply; None if the link broke.
    """

    done: threading.Event
    payload: bytes | None = None


class PeerLink:
    """
    Sends messages and requests to one peer; may be used from any thread.

    :param address: Address of the peer's server.
    :param identity: Identity of this process.
    :param shared_secrets: Accepted secrets.
    """

    def __init__(
        self,
        address: Address,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
    ) -> None:
        #: Address of the peer's server.
        self.address = address
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._connection: ClientConnection | None = None
        self._peer: PeerIdentity | None = None
        self._connections_made = 0
        self._pending_replies: dict[int, _PendingReply] = {}
        self._next_correlation = NO_REPLY + 1
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"peer-link-{address}", daemon=True
        )

    @property
    def peer(self) -> PeerIdentity | None:
        """Identity of the peer; None while the link is down."""
        with self._lock:
            return self._peer

    @property
    def connections_made(self) -> int:
        """
        Number of connections so far.

        Messages sent over earlier connections may be lost.
        """
        with self._lock:
            return self._connections_made

    def start(self) -> None:
        """Start the thread that dials and receives."""
        self._thread.start()

    def stop(self) -> None:
        """Close the link and end its thread."""
        self._stopping.set()
        with self._lock:
            connection = self._connection
        if connection is not None:
            connection.close()
        self._thread.join()

    def health(self) -> Health:
        """Return ``DEGRADED`` while the link is down."""
        return Health.HEALTHY if self.peer is not None else Health.DEGRADED

    def send(self, body: object) -> None:
        """
        Send a message that expects no reply.

        :raises PeerUnavailable: If the link is down; a message that was sent
            may still be lost.
        """
        self._transmit(Frame(NO_REPLY, encode_message(body)))

    def request(self, body: object, timeout_seconds: float) -> Any:
        """
        Send a message and wait for its reply.

        :param timeout_seconds: Longest wait for the reply.
        :returns: The decoded reply; None if the reply only acknowledges.
        :raises PeerUnavailable: If the link is down or no reply was received.
        :raises MalformedMessage: If the reply can't be decoded.
        """
        pending = _PendingReply(threading.Event())
        with self._lock:
            correlation = self._next_correlation
            self._next_correlation += 1
            self._pending_replies[correlation] = pending
        try:
            self._transmit(Frame(correlation, encode_message(body)))
            if not pending.done.wait(timeout_seconds) or pending.payload is None:
                raise PeerUnavailable(
                    f"no reply from {self.address} within {timeout_seconds} s"
                    " or before the link broke"
                )
        finally:
            with self._lock:
                self._pending_replies.pop(correlation, None)
        return decode_message(pending.payload) if pending.payload else None

    def _transmit(self, frame: Frame) -> None:
        with self._lock:
            connection = self._connection
        if connection is None:
            raise PeerUnavailable(f"no link to {self.address}")
        try:
            connection.send(encode_message(frame))
        except (WebSocketException, OSError) as error:
            raise PeerUnavailable(f"link to {self.address} broke") from error

    def _run(self) -> None:
        pause_seconds = MIN_REDIAL_PAUSE_SECONDS
        while not self._stopping.is_set():
            was_connected = self._dial_and_receive()
            pause_seconds = next_redial_pause_seconds(pause_seconds, was_connected)
            self._stopping.wait(pause_seconds)

    def _dial_and_receive(self) -> bool:
        """Use one connection until it breaks; return whether it was made."""
        was_connected = False
        try:
            with connect(f"ws://{self.address}", **DIAL_OPTIONS) as connection:
                steps = client_handshake(self._identity, self._shared_secrets)
                peer = run_handshake(connection, steps)
                was_connected = True
                self._set_connection(connection, peer)
                self._receive_replies(connection)
        except (WebSocketException, OSError, TimeoutError):
            pass
        except (PeerRejected, MalformedMessage) as error:
            eliot.log_message(
                "peer:rejected", address=str(self.address), reason=str(error)
            )
        finally:
            self._set_connection(None, None)
        return was_connected

    def _set_connection(
        self, connection: ClientConnection | None, peer: PeerIdentity | None
    ) -> None:
        with self._lock:
            self._connection = connection
            self._peer = peer
            if connection is not None:
                self._connections_made += 1
                return
            pending_replies = list(self._pending_replies.values())
        for pending in pending_replies:
            pending.done.set()

    def _receive_replies(self, connection: ClientConnection) -> None:
        for payload in connection:
            frame = decode_frame(payload)
            with self._lock:
                pending = self._pending_replies.get(frame.correlation)
            if pending is not None:
                pending.payload = frame.payload
                pending.done.set()
