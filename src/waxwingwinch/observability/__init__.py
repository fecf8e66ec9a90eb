"""Metrics, logs and reasons."""

from waxwingwinch.observability._logs import LogDestination, set_up_logs
from waxwingwinch.observability._metrics import (
    CountMetric,
    LatencyKind,
    LatencyMetric,
    MetricKey,
    Metrics,
    MetricsSnapshot,
    RequestResult,
    merge_snapshots,
)
from waxwingwinch.observability._prometheus import prometheus_text
from waxwingwinch.observability._reasons import (
    ExplainHandler,
    ExplainReply,
    ExplainRequest,
    MemoryDecisionLog,
)
from waxwingwinch.observability._traces import (
    LoggedLine,
    RequestTrace,
    read_log,
    trace_request,
)

__all__ = [
    "ExplainHandler",
    "ExplainReply",
    "ExplainRequest",
    "MemoryDecisionLog",
    "CountMetric",
    "LatencyKind",
    "LatencyMetric",
    "LogDestination",
    "LoggedLine",
    "MetricKey",
    "Metrics",
    "MetricsSnapshot",
    "RequestResult",
    "RequestTrace",
    "merge_snapshots",
    "prometheus_text",
    "read_log",
    "set_up_logs",
    "trace_request",
]
