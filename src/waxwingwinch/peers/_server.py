"""Server for peers, with one thread for each connection."""

import threading
from collections.abc import Sequence

import eliot
from websockets.exceptions import ConnectionClosed
from websockets.sync.server import Server, ServerConnection, serve

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import Address
from waxwingwinch.kernel import Health
from waxwingwinch.peers._handlers import Handler, HandlerTable
from waxwingwinch.peers._handshake import (
    PeerIdentity,
    PeerRejected,
    run_handshake,
    server_handshake,
)
from waxwingwinch.peers._options import SERVE_OPTIONS


class PeerServer:
    """
    Accepts connections from peers and dispatches their messages to handlers.

    :param address: Address to listen on.
    :param identity: Identity of this process.
    :param shared_secrets: Accepted secrets; the first is used to sign.
    """

    def __init__(
        self,
        address: Address,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
    ) -> None:
        self._address = address
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._handlers = HandlerTable()
        self._server: Server | None = None
        self._thread: threading.Thread | None = None
        self._connections: set[ServerConnection] = set()
        self._lock = threading.Lock()

    def handle(self, message_class: type, handler: Handler) -> None:
        """
        Register the handler of a message class.

        :param message_class: Class of the messages to handle.
        :param handler: Called from the thread of the connection.
        """
        self._handlers.handle(message_class, handler)

    def start(self) -> None:
        """Listen and start the accepting thread."""
        self._server = serve(
            self._serve_peer,
            self._address.host,
            self._address.port,
            **SERVE_OPTIONS,
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peer-server", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close the connections of all peers."""
        if self._server is None or self._thread is None:
            return
        self._server.shutdown()
        self._thread.join()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.close()

    def health(self) -> Health:
        """Return ``HEALTHY`` while the accepting thread runs."""
        if self._thread is None:
            return Health.STOPPED
        return Health.HEALTHY if self._thread.is_alive() else Health.FAILED

    def _serve_peer(self, connection: ServerConnection) -> None:
        with self._lock:
            self._connections.add(connection)
        try:
            steps = server_handshake(self._identity, self._shared_secrets)
            peer = run_handshake(connection, steps)
            self._serve_messages(connection, peer)
        except (PeerRejected, MalformedMessage, TimeoutError) as error:
            eliot.log_message("peer:rejected", reason=str(error))
        except ConnectionClosed:
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)

    def _serve_messages(self, connection: ServerConnection, peer: PeerIdentity) -> None:
        for payload in connection:
            reply = self._handlers.dispatch(peer, payload)
            if reply is not None:
                connection.send(reply)
