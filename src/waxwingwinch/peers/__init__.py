"""
Authenticated links between the system's own processes.

Messages are CBOR over websockets. Each process serves its peers at one
address and dials one link to each peer. ``PeerServer`` and ``PeerLink`` use a
thread for each connection, so that handlers may block; ``PeerHub`` serves and
dials all peers in one thread.
"""

from waxwingwinch.peers._frames import encode_one_way
from waxwingwinch.peers._handshake import PeerIdentity, PeerProgram
from waxwingwinch.peers._hub import HubLink, PeerHub
from waxwingwinch.peers._link import PeerLink
from waxwingwinch.peers._server import PeerServer

__all__ = [
    "HubLink",
    "PeerHub",
    "PeerIdentity",
    "PeerLink",
    "PeerProgram",
    "PeerServer",
    "encode_one_way",
]
