"""In-memory log of the reasons of decisions, and its query handler."""

from waxwingwinch.reasons._reasons import (
    ExplainHandler,
    ExplainReply,
    ExplainRequest,
    MemoryDecisionLog,
)

__all__ = [
    "ExplainHandler",
    "ExplainReply",
    "ExplainRequest",
    "MemoryDecisionLog",
]
