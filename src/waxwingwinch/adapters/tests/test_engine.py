import json
import threading

import pytest

from waxwingwinch._exceptions import OrderRefused, Outcome, UpstreamFailed
from waxwingwinch._types import EngineRole, Epoch, ModelName
from waxwingwinch.adapters import HttpEngine
from waxwingwinch.adapters.tests._raw_server import closed_port, raw_server
from waxwingwinch.interfaces import (
    EngineOrder,
    GenerateCall,
    SetRole,
    StreamEnd,
    StreamPart,
)

CALL = GenerateCall("g-1", ModelName("m"), "prompt", 2, idle_timeout_seconds=5.0)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
END = {
    "finish_reason": "stop",
    "prompt_tokens": 1,
    "output_tokens": 2,
    "cached_prompt_tokens": 0,
}
ORDER = EngineOrder("o-1", Epoch(4), SetRole(EngineRole.DECODE))


def event(request_id="g-1", **fields) -> bytes:
    return b"data: %s\n\n" % json.dumps({"request_id": request_id, **fields}).encode()


def part(index: int, request_id: str = "g-1") -> bytes:
    return event(request_id, index=index, text="t")


def read(body: bytes, call: GenerateCall = CALL, keep_open: bool = False):
    with raw_server(HEAD + body, keep_open) as address:
        return list(HttpEngine().generate(address, call))


def json_answer(status: bytes, value: object) -> bytes:
    body = json.dumps(value).encode()
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def test_a_whole_stream_is_read():
    body = part(0) + b": waiting\n\n" + part(1) + event(end=END)
    assert read(body) == [
        StreamPart(0, "t"),
        StreamPart(1, "t"),
        StreamEnd("stop", 1, 2, 0),
    ]


def test_a_resumed_stream_starts_at_its_token():
    call = GenerateCall("g-1", ModelName("m"), "prompt", 2, resume_from_token=1)
    assert read(part(1) + event(end=END), call)[0] == StreamPart(1, "t")


@pytest.mark.parametrize(
    "body",
    [
        part(0),
        part(0) + part(1),
        part(1) + event(end=END),
        part(0) + part(0) + event(end=END),
        part(0, "g-2") + part(1) + event(end=END),
        part(0) + event(end=END),
        b"data: {nonsense\n\n",
    ],
    ids=[
        "ends early",
        "lacks its end",
        "skips a token",
        "repeats a token",
        "of another generation",
        "announces more tokens",
        "no JSON",
    ],
)
def test_a_doubtful_stream_fails_with_unknown_outcome(body):
    with pytest.raises(UpstreamFailed) as caught:
        read(body)
    assert caught.value.outcome is Outcome.UNKNOWN


def test_comments_do_not_extend_the_idle_timeout():
    call = GenerateCall("g-1", ModelName("m"), "p", 2, idle_timeout_seconds=0.1)
    with pytest.raises(UpstreamFailed):
        read(b": waiting\n\n" * 3, call, keep_open=True)


def test_close_ends_a_waiting_reader_at_once():
    # An idle timeout beyond the test's own, which close must cut short.
    call = GenerateCall("g-1", ModelName("m"), "p", 2, idle_timeout_seconds=1_000.0)
    with raw_server(HEAD + part(0), keep_open=True) as address:
        stream = HttpEngine().generate(address, call)
        items = iter(stream)
        assert next(items) == StreamPart(0, "t")
        closer = threading.Timer(0.05, stream.close)
        closer.start()
        with pytest.raises(UpstreamFailed):
            next(items)
        closer.join()


@pytest.mark.parametrize(
    ("code", "outcome"),
    [("not_accepting", Outcome.NOT_RUN), ("internal", Outcome.UNKNOWN)],
)
def test_only_a_known_refusal_is_not_run(code, outcome):
    answer = json_answer(b"503 Busy", {"error": {"code": code, "message": ""}})
    with raw_server(answer) as address, pytest.raises(UpstreamFailed) as caught:
        HttpEngine().generate(address, CALL)
    assert caught.value.outcome is outcome


def test_a_refused_connection_is_not_run():
    with closed_port() as address:
        for attempt in (
            lambda: HttpEngine().generate(address, CALL),
            lambda: HttpEngine().order(address, ORDER),
        ):
            with pytest.raises(UpstreamFailed) as caught:
                attempt()
            assert caught.value.outcome is Outcome.NOT_RUN


def test_a_stale_order_is_refused_with_the_highest_epoch():
    answer = json_answer(b"409 Conflict", {"highest_epoch": 9})
    with raw_server(answer) as address, pytest.raises(OrderRefused) as caught:
        HttpEngine().order(address, ORDER)
    assert caught.value.highest_epoch == 9


def test_a_lost_answer_to_an_order_is_unknown():
    with raw_server(b"") as address, pytest.raises(UpstreamFailed) as caught:
        HttpEngine().order(address, ORDER)
    assert caught.value.outcome is Outcome.UNKNOWN
