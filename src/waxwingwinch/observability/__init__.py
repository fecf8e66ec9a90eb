"""Metrics, logs and request traces."""

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
from waxwingwinch.observability._traces import (
    LoggedLine,
    RequestTrace,
    read_log,
    trace_request,
)

__all__ = [
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
    "read_log",
    "set_up_logs",
    "trace_request",
]
