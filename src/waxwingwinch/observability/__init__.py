"""Logs, metrics and reasons of decisions."""

from waxwingwinch.observability._reasons import (
    ExplainHandler,
    ExplainReply,
    ExplainRequest,
    MemoryDecisionLog,
)

__all__ = ["ExplainHandler", "ExplainReply", "ExplainRequest", "MemoryDecisionLog"]
