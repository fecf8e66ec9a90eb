"""Membership of the cell: its instances, their heartbeats and the links."""

from waxwingwinch.membership._directory import InstanceDirectory
from waxwingwinch.membership._freshness import decide_freshness
from waxwingwinch.membership._heartbeat_sender import HeartbeatSender
from waxwingwinch.membership._heartbeat_table import HeartbeatTable, ReceivedHeartbeat
from waxwingwinch.membership._holder_links import HolderLinks
from waxwingwinch.membership._mesh import PeerMesh
from waxwingwinch.membership._messages import Heartbeat, HeartbeatReply

__all__ = [
    "ReceivedHeartbeat",
    "Heartbeat",
    "HeartbeatReply",
    "HeartbeatSender",
    "HeartbeatTable",
    "HolderLinks",
    "InstanceDirectory",
    "PeerMesh",
    "decide_freshness",
]
