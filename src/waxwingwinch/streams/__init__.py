"""
Typed records on streams of the platform's log.

The writer is an idempotent producer: each record carries a writer id and a
sequence number, unanswered appends are repeated, and readers drop repeats.
The idea is that of "Exactly-once Support in Apache Kafka".
"""

from waxwingwinch.streams._envelope import Deduplicator, Envelope, open_envelope, seal
from waxwingwinch.streams._follower import Applied, StreamFollower
from waxwingwinch.streams._writer import AppendTicket, RecordId, StreamWriter

__all__ = [
    "AppendTicket",
    "Applied",
    "Deduplicator",
    "Envelope",
    "RecordId",
    "StreamFollower",
    "StreamWriter",
    "open_envelope",
    "seal",
]
