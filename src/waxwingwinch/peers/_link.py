"""A dialed link to one peer, redialed when it breaks."""

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
    greeting_steps,
    shake_hands,
)
from waxwingwinch.peers._options import (
    DIAL_OPTIONS,
    MIN_REDIAL_PAUSE_SECONDS,
    next_redial_pause_seconds,
)


@define
class _Waiter:
    """
    A request that waits for its reply.

    :param done: Set when the reply came or the link broke.
    :param payload: The reply; None if the link broke.
    """

    done: threading.Event
    payload: bytes | None = None


class PeerLink:
    """
    Sends messages and requests to one peer.

    :param address: Where the peer serves.
    :param identity: Who this process is.
    :param shared_secrets: Accepted secrets.
    """

    def __init__(
        self,
        address: Address,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
    ) -> None:
        #: Where the peer serves.
        self.address = address
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._connection: ClientConnection | None = None
        self._peer: PeerIdentity | None = None
        self._connections_made = 0
        self._waiters: dict[int, _Waiter] = {}
        self._next_correlation = NO_REPLY + 1
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"peer-link-{address}", daemon=True
        )

    @property
    def peer(self) -> PeerIdentity | None:
        """Who serves at the address; None while the link is down."""
        with self._lock:
            return self._peer

    @property
    def connections_made(self) -> int:
        """Connections so far; messages over earlier ones may be lost."""
        with self._lock:
            return self._connections_made

    def start(self) -> None:
        """Start dialing."""
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

        :param timeout_seconds: How long to wait.
        :returns: The decoded reply, None if it only acknowledges.
        :raises PeerUnavailable: If no reply came.
        :raises MalformedMessage: If the reply can't be decoded.
        """
        waiter = _Waiter(threading.Event())
        with self._lock:
            correlation = self._next_correlation
            self._next_correlation += 1
            self._waiters[correlation] = waiter
        try:
            self._transmit(Frame(correlation, encode_message(body)))
            if not waiter.done.wait(timeout_seconds) or waiter.payload is None:
                raise PeerUnavailable(f"no reply from {self.address}")
        finally:
            with self._lock:
                self._waiters.pop(correlation, None)
        return decode_message(waiter.payload) if waiter.payload else None

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
            was_up = self._dial_and_receive()
            pause_seconds = next_redial_pause_seconds(pause_seconds, was_up)
            self._stopping.wait(pause_seconds)

    def _dial_and_receive(self) -> bool:
        """Keep one connection until it breaks; return whether it was up."""
        was_up = False
        try:
            with connect(f"ws://{self.address}", **DIAL_OPTIONS) as connection:
                steps = greeting_steps(self._identity, self._shared_secrets)
                peer = shake_hands(connection, steps)
                was_up = True
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
        return was_up

    def _set_connection(
        self, connection: ClientConnection | None, peer: PeerIdentity | None
    ) -> None:
        with self._lock:
            self._connection = connection
            self._peer = peer
            if connection is not None:
                self._connections_made += 1
                return
            waiters = list(self._waiters.values())
        for waiter in waiters:
            waiter.done.set()

    def _receive_replies(self, connection: ClientConnection) -> None:
        for payload in connection:
            frame = decode_frame(payload)
            with self._lock:
                waiter = self._waiters.get(frame.correlation)
            if waiter is not None:
                waiter.payload = frame.payload
                waiter.done.set()
