"""A gateway process before engines that fall silent and go on."""

import http.client
import threading
import time

import pytest

from waxwingwinch.platform.tests.engine_standin import STREAM, EngineStandin
from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    make_configuration,
    wait_until,
)

#: Overlap of two engines at one request that the platform tolerates.
ALLOWED_OVERLAP_SECONDS = 0.4


class SilenceHarness:
    def __init__(self, folder):
        self.store = StoreStandin()
        self.engines = [EngineStandin("e1"), EngineStandin("e2")]
        self.configure(1)
        for engine in self.engines:
            engine.register(self.store)
        self.gateway = Gateway(folder, self.store, "edge-0")
        assert wait_until(lambda: self.stream("warm") == STREAM)

    def configure(self, version, timeout_ms=6_000):
        configuration = make_configuration(version)
        for route in configuration["routes"]:
            if route["name"] == "s":
                route.update(resumable=True, timeoutMs=timeout_ms)
        self.store.put("op", "config", configuration)

    def stream(self, request_id, path="/s/stream"):
        """Return the body of a whole success; None if there was none."""
        connection = http.client.HTTPConnection(HOST, self.gateway.front, timeout=7.0)
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": request_id,
            "X-Waxwingwinch-Deadline-Ms": "6000",
            "X-Waxwingwinch-Key": KEY,
        }
        try:
            connection.request("POST", path, b"", headers)
            response = connection.getresponse()
            body = response.read()
            return body if response.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def streams(self, count):
        """Return what callers get of several streams at once."""
        answers = {}

        def send(number):
            answers[number] = self.stream(f"stream-{number}")

        threads = [threading.Thread(target=send, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return [answers[number] for number in range(count)]

    def arrivals(self):
        return sum(len(engine.arrivals) for engine in self.engines)

    def overlap_seconds(self):
        """Return for how long two engines worked on the only stream."""
        ((resumed_seconds, _),) = [
            arrival
            for engine in self.engines
            for arrival in engine.arrivals
            if arrival[1]
        ]
        (broken_seconds,) = [
            at for engine in self.engines for at in engine.broken_seconds
        ]
        return broken_seconds - resumed_seconds

    def silence(self, seconds, before=4):
        for engine in self.engines:
            engine.silent_before, engine.silent_seconds = before, seconds
            engine.arrivals.clear()

    def stop(self):
        self.gateway.stop()
        self.store.stop()
        for engine in self.engines:
            engine.stop()


@pytest.fixture
def harness(tmp_path):
    harness = SilenceHarness(tmp_path)
    yield harness
    harness.stop()


# Guards against streams broken off because a sound engine was silent for a
# moment and no other engine took them (LOST beside a configuration).
def test_streams_of_a_silent_engine_arrive_whole_if_others_reject(harness):
    harness.silence(1.5)
    for engine in harness.engines:
        engine.rejects = lambda last: last > 0
    harness.configure(2, timeout_ms=5_900)
    assert harness.streams(6) == [STREAM] * 6


# Guards against streams broken off together when the retry budget is used up.
def test_all_streams_of_a_silent_engine_arrive_whole_without_retry_budget(harness):
    harness.silence(1.5)
    assert harness.streams(30) == [STREAM] * 30


# Guards against a stream that is never resumed after its engine went silent.
def test_a_stream_is_resumed_while_its_engine_stays_silent(harness):
    harness.silence(4.0)
    for engine in harness.engines:
        engine.head_seconds = 0.2
    started_seconds = time.monotonic()
    assert harness.stream("r-1") == STREAM
    assert time.monotonic() - started_seconds < 2.0
    assert harness.overlap_seconds() < ALLOWED_OVERLAP_SECONDS


# Guards against a request that goes on at two engines at once (TWICE).
def test_a_silent_engine_and_its_replacement_overlap_only_for_a_moment(harness):
    harness.silence(4.0)
    for engine in harness.engines:
        engine.head_seconds = 1.0
    assert harness.stream("r-1") == STREAM
    assert harness.overlap_seconds() < ALLOWED_OVERLAP_SECONDS


# Guards against an overlap that is granted once for the head and once more for
# the first event of a replacement (TWICE).
@pytest.mark.parametrize("head_seconds", [0.05, 0.15, 0.25])
def test_the_head_of_a_replacement_does_not_extend_the_overlap(harness, head_seconds):
    harness.silence(4.0)
    for engine in harness.engines:
        engine.head_seconds = head_seconds
        engine.first_event_seconds = 0.5 - head_seconds
    assert harness.stream("r-1") == STREAM
    assert harness.overlap_seconds() < ALLOWED_OVERLAP_SECONDS


# Guards against the loss of a plain request whose sound upstream was silent
# for a moment while no other upstream took it.
def test_a_silent_upstream_answers_a_plain_request_if_others_reject_it(harness):
    harness.silence(1.8)
    for engine in harness.engines:
        engine.rejects = lambda last: harness.arrivals() > 1
    assert harness.stream("r-1", "/a/x") in (b"e1", b"e2")
    assert harness.arrivals() == 2


# Guards against a plain request that waits for a silent upstream although
# another one answers.
def test_a_plain_request_is_answered_by_another_upstream_after_a_silence(harness):
    harness.silence(0.0)
    harness.engines[0].silent_seconds = 3.5
    started_seconds = time.monotonic()
    answers = [harness.stream(f"r-{number}", "/a/x") for number in range(3)]
    assert answers == [b"e2"] * 3
    assert time.monotonic() - started_seconds < 3.0


# Guards against work that goes on at a silent engine after its caller left.
def test_a_caller_that_leaves_during_a_silence_ends_the_work(harness):
    harness.silence(1.7)
    connection = http.client.HTTPConnection(HOST, harness.gateway.front, timeout=5.0)
    for engine in harness.engines:
        engine.rejects = lambda last: last > 0
    headers = {
        "Host": "shop.example",
        "X-Waxwingwinch-Request-Id": "leaves",
        "X-Waxwingwinch-Deadline-Ms": "6000",
        "X-Waxwingwinch-Key": KEY,
    }
    connection.request("POST", "/s/stream", b"", headers)
    connection.getresponse().read1()
    time.sleep(1.3)
    connection.close()
    assert wait_until(
        lambda: any(engine.broken_seconds for engine in harness.engines), 2.0
    )
