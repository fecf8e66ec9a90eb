"""
Executes each non-idempotent request with an idempotency key at most once.

Requests claim their key in the streams ``claims-<shard>``. Only the request of
the first claim in log order is executed; its response is stored for retries.
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
    digest_idempotency_key,
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
    "digest_idempotency_key",
]
