"""
Authenticated links between the system's own processes.

Messages are CBOR over websockets. Each process serves its peers at one
address and dials one link to each of them.
"""

from waxwingwinch.peers._handshake import PeerIdentity, PeerProgram
from waxwingwinch.peers._link import PeerLink
from waxwingwinch.peers._server import PeerServer

__all__ = ["PeerIdentity", "PeerLink", "PeerProgram", "PeerServer"]
