"""
Typed records on streams of the platform's log.

The writer is an idempotent producer: each record carries a writer id and a
sequence number, unacknowledged appends are retried, and readers drop
duplicates. The idea is that of "Exactly-once Support in Apache Kafka".
"""

from waxwingwinch.streams._envelope import (
    Deduplicator,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from waxwingwinch.streams._follower import AppliedRecord, StreamFollower
from waxwingwinch.streams._writer import AppendFuture, RecordId, StreamWriter

__all__ = [
    "AppendFuture",
    "AppliedRecord",
    "Deduplicator",
    "Envelope",
    "RecordId",
    "StreamFollower",
    "StreamWriter",
    "decode_envelope",
    "encode_envelope",
]
