"""
At most one run of each non-idempotent request that carries a key.

Keys are claimed in the streams ``claims-<shard>``; the first claim in log
order runs, and its answer is kept for repeats.
"""

from waxwingwinch.idempotency._records import (
    Claim,
    ClaimAnswered,
    ClaimNotRun,
    ClaimUnknown,
)
from waxwingwinch.idempotency._store import (
    ANSWER_NOT_KEPT,
    MAX_ANSWER_BYTES,
    SEND_WITHIN_SECONDS,
    LogIdempotencyStore,
    digest_key,
)
from waxwingwinch.idempotency._table import ClaimState, ClaimTable, KeyClaim

__all__ = [
    "ANSWER_NOT_KEPT",
    "Claim",
    "ClaimAnswered",
    "ClaimNotRun",
    "ClaimState",
    "ClaimTable",
    "ClaimUnknown",
    "KeyClaim",
    "LogIdempotencyStore",
    "MAX_ANSWER_BYTES",
    "SEND_WITHIN_SECONDS",
    "digest_key",
]
