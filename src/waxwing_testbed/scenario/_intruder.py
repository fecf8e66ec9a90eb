"""Messages to the peer port that no peer would send."""

from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.peers import PeerIdentity, PeerProgram
from waxwingwinch.peers._handshake import client_handshake, run_handshake

#: How long the other side may take to close the connection.
CLOSE_TIMEOUT_SECONDS = 10.0


def is_closed_after(address: Address, payload: bytes, secret: str = "") -> bool:
    """
    Connect, send one message, and tell whether the connection gets closed.

    :param address: Peer address of an instance.
    :param payload: The message.
    :param secret: Secret for a handshake before; empty to send the message
        in place of one.
    """
    with connect(f"ws://{address}", compression=None) as connection:
        try:
            if secret:
                run_handshake(connection, client_handshake(_identity(), [secret]))
            connection.send(payload)
            while True:
                connection.recv(CLOSE_TIMEOUT_SECONDS)
        except (ConnectionClosed, WaxwingError):
            return True
        except TimeoutError:
            return False


def _identity() -> PeerIdentity:
    return PeerIdentity(
        InstanceId("intruder"), PeerProgram.ENTRY, ZoneName("iloilo"), "tahi"
    )
