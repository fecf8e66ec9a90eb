"""Logging never blocks a request; metrics count the results of requests."""

import io
import threading

import eliot
import pytest

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import CustomerId, UpstreamId
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.gateway._instrumented_store import InstrumentedStore
from waxwingwinch.gateway._log_writer import QUEUE_MESSAGES_MAX, LogWriter
from waxwingwinch.gateway._outcomes import RefusalReason
from waxwingwinch.gateway._store import AppendConflict
from waxwingwinch.gateway._telemetry import (
    COUNTED_ENGINES_MAX,
    CounterName,
    Gauge,
    StoreCallResult,
    Telemetry,
)
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore
from waxwingwinch.gateway.tests.relay_harness import RelayHarness, upstream
from waxwingwinch.observability import set_up_logs


class BlockedFile:
    """A pipe whose reader has stopped reading."""

    def __init__(self):
        self.released = threading.Event()
        self.written = []

    def write(self, data: bytes) -> int:
        self.released.wait(10.0)
        self.written.append(bytes(data))
        return len(data)

    def flush(self) -> None:
        """Do nothing; no bytes are buffered."""


def test_messages_to_a_full_pipe_are_dropped_and_counted():
    file = BlockedFile()
    writer = LogWriter(file)
    for number in range(QUEUE_MESSAGES_MAX + 100):
        writer.write(b"%d\n" % number)
    assert 90 <= writer.dropped <= 100
    dropped = writer.dropped
    file.released.set()
    writer.drain(10.0)
    assert b'{"logs_dropped": %d}\n' % dropped in file.written


def test_lines_that_arrive_together_are_written_in_one_batch():
    """Pattern: each request writes several lines on a small machine."""
    file = BlockedFile()
    file.released.set()
    writer = LogWriter(file)
    for number in range(20):
        writer.write(b"%d\n" % number)
    writer.drain(10.0)
    assert b"".join(file.written) == b"".join(b"%d\n" % line for line in range(20))
    assert len(file.written) <= 2


def test_lines_of_one_kind_are_rate_limited_and_drops_are_logged():
    clock = FakeClock()
    file = io.BytesIO()
    destination = set_up_logs(file, clock, messages_per_second=50.0)
    try:
        for _ in range(1_000):
            eliot.log_message("test:bounded")
        clock.seconds += 1.0
        eliot.log_message("test:bounded")
    finally:
        eliot.remove_destination(destination)
    lines = [line for line in file.getvalue().splitlines() if b"test:bounded" in line]
    assert len(lines) == 51
    assert b'"dropped_before":950' in lines[-1].replace(b" ", b"")


def test_keys_and_bodies_are_not_logged():
    file = io.BytesIO()
    destination = set_up_logs(file, FakeClock(), messages_per_second=1_000.0)
    try:
        harness = RelayHarness()
        harness.add(upstream("u1"))
        harness.publish()
        harness.send()
        harness.send(key="planted-key")
        harness.send(path="/nowhere")
    finally:
        eliot.remove_destination(destination)
    text = file.getvalue()
    assert b"request:answered" in text and b"unknown_key" in text
    for secret in (b"planted-key", b"key-a", b"body"):
        assert secret not in text


def test_metrics_contain_results_and_refusal_reasons():
    telemetry = Telemetry()
    alice = CustomerId("alice")
    telemetry.record_answer(alice, "r", 0.05, 0.1)
    telemetry.record_answer(alice, "r", 0.5, 0.1)
    telemetry.record_refusal(alice, "r", RefusalReason.OVERLOADED)
    telemetry.record_refusal(alice, "r", RefusalReason.OVER_QUOTA)
    telemetry.count(CounterName.PLACEMENTS, "RunSplit")
    text = telemetry.text([Gauge("waxwing_x", (("state", "ready"),), 3)]).decode()
    assert 'result="served",route="r"} 1.0' in text
    assert 'result="late",route="r"} 1.0' in text
    assert 'result="refused_over_rate",route="r"} 1.0' in text
    assert 'waxwing_refusals_total{kind="overloaded"} 1.0' in text
    assert 'waxwing_placements_total{kind="RunSplit"} 1.0' in text
    assert 'waxwing_x{state="ready"} 3.0' in text


def test_store_calls_are_counted_by_result():
    telemetry, clock, inner = Telemetry(), FakeClock(), FakeStore()
    store = InstrumentedStore(inner, telemetry, clock, HistoryWatch(clock))
    store.put("t", "k", b"v")
    store.snapshot("t")
    with pytest.raises(AppendConflict):
        store.put("t", "k", b"v", at_offset=0)
    inner.is_down = True
    with pytest.raises(PlatformUnavailable):
        store.changes("t", 0, 1.0)
    text = telemetry.text([]).decode()
    for call, result in (
        ("put", "answered"),
        ("snapshot", "answered"),
        ("put", "failed"),
        ("wait", "unanswered"),
    ):
        name = "waxwing_store_call_seconds_count"
        assert f'{name}{{call="{call}",result="{result}"}} 1.0' in text


def test_store_calls_are_counted_by_duration():
    telemetry = Telemetry()
    telemetry.record_store_call("put", StoreCallResult.ANSWERED, 0.005)
    telemetry.record_store_call("put", StoreCallResult.ANSWERED, 0.7)
    text = telemetry.text([]).decode()
    bucket = 'waxwing_store_call_seconds_bucket{call="put",le="%s",result="answered"}'
    assert bucket % "0.25" + " 1.0" in text
    assert bucket % "1.0" + " 2.0" in text


def test_prompt_tokens_are_counted_for_a_bounded_number_of_engines():
    telemetry = Telemetry()
    for number in range(COUNTED_ENGINES_MAX + 5):
        telemetry.record_prompt(
            UpstreamId(f"e{number}"), work_tokens=10, cached_tokens=30
        )
    text = telemetry.text([]).decode()
    name = "waxwing_engine_prompt_tokens_total"
    assert f'{name}{{kind="cached",upstream="e104"}} 30.0' in text
    assert text.count(f'{name}{{kind="read"') == COUNTED_ENGINES_MAX
