"""Metrics in the text format of Prometheus, loaded once they are read."""

from waxwingwinch.exposition._prometheus import prometheus_text

__all__ = ["prometheus_text"]
