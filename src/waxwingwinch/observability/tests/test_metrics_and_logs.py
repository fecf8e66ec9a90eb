"""Tests of metrics and logs."""

import io
import json

import eliot
from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.exposition import prometheus_text
from waxwingwinch.observability import (
    LatencyKind,
    MetricKey,
    Metrics,
    MetricsSnapshot,
    RequestResult,
    merge_snapshots,
    set_up_logs,
)

KEY = MetricKey(CustomerId("green-1"), "/seats")


def recorded(*milliseconds: int) -> MetricsSnapshot:
    metrics = Metrics()
    for value in milliseconds:
        metrics.record(KEY, LatencyKind.FIRST_TOKEN, value / 1_000)
        metrics.count(KEY, RequestResult.SERVED)
    return metrics.snapshot()


TIMES = st.lists(st.integers(1, 100_000), min_size=1, max_size=30)


@given(TIMES, TIMES)
def test_merging_equals_recording_together(first, second):
    merged = merge_snapshots(recorded(*first), recorded(*second))
    together = recorded(*first, *second)
    assert merged.counts == together.counts
    for percentile in (50, 95, 100):
        values = [
            snapshot.latencies[0].decode().get_value_at_percentile(percentile)
            for snapshot in (merged, together)
        ]
        assert values[0] == values[1]


def test_snapshot_survives_the_codec():
    snapshot = recorded(10, 20)
    assert decode_message(encode_message(snapshot)) == snapshot


def test_extreme_times_are_clamped_and_recorded():
    histogram = recorded(0, 10_000_000).latencies[0].decode()
    assert histogram.get_total_count() == 2


def test_number_of_label_pairs_is_bounded():
    metrics = Metrics()
    for number in range(1_000):
        metrics.count(MetricKey(CustomerId(f"c{number}"), "/"), RequestResult.LATE)
    counts = metrics.snapshot().counts
    assert len(counts) == 257
    assert sum(count.requests for count in counts) == 1_000


def test_prometheus_text():
    text = prometheus_text(recorded(100)).decode()
    labels = 'customer="green-1",kind="first_token"'
    assert "waxwing_latency_seconds_count{" + labels in text
    assert "waxwing_latency_quantile_seconds{" + labels in text


class FixedClock:
    def __init__(self) -> None:
        self.now = 0.0

    def now_seconds(self) -> float:
        return self.now

    def wall_seconds(self) -> float:
        return self.now


def drop_buffered_messages():
    """Drop messages that eliot buffered before its first destination."""
    dropped: list[object] = []
    eliot.add_destinations(dropped.append)
    eliot.remove_destination(dropped.append)


def test_logs_redact_secrets_and_limit_their_rate():
    drop_buffered_messages()
    file, clock = io.StringIO(), FixedClock()
    destination = set_up_logs(file, clock)
    try:
        eliot.log_message("a", prompt="hidden", api_key="hidden", output_tokens=3)
        eliot.log_message("a", nested={"Authorization": "hidden"}, reason="x" * 9_999)
        for _ in range(100):
            eliot.log_message("a")
        clock.now = 1.0
        eliot.log_message("a")
        eliot.log_message("b")
    finally:
        eliot.remove_destination(destination)
    text = file.getvalue()
    messages = [json.loads(line) for line in text.splitlines()]
    assert "hidden" not in text
    assert messages[0]["output_tokens"] == 3
    assert len(messages[1]["reason"]) == 500
    assert len(messages) == 52
    assert messages[50]["dropped_before"] == 52
