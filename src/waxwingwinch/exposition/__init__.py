"""Metrics in Prometheus text format; imported only where they are exported."""

from waxwingwinch.exposition._prometheus import prometheus_text

__all__ = ["prometheus_text"]
