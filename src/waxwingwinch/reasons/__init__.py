"""Reasons of decisions, kept for questions about them."""

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
