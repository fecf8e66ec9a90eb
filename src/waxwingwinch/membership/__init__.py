"""Which instances there are, and what their heartbeats say."""

from waxwingwinch.membership._directory import InstanceDirectory
from waxwingwinch.membership._freshness import decide_freshness
from waxwingwinch.membership._heard import HeardHeartbeat, HeartbeatTable
from waxwingwinch.membership._holder_links import HolderLinks
from waxwingwinch.membership._mesh import PeerMesh
from waxwingwinch.membership._messages import Heartbeat, HeartbeatReply
from waxwingwinch.membership._sender import HeartbeatSender

__all__ = [
    "HeardHeartbeat",
    "Heartbeat",
    "HeartbeatReply",
    "HeartbeatSender",
    "HeartbeatTable",
    "HolderLinks",
    "InstanceDirectory",
    "PeerMesh",
    "decide_freshness",
]
