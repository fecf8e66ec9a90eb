"""Answers whose JSON is nested too deeply or holds numbers too large."""

import pytest

from waxwingwinch._exceptions import PlatformUnavailable, UpstreamFailed
from waxwingwinch.adapters import HttpEngine, HttpInstanceList, HttpPlatformLog
from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.adapters.tests.test_engine import CALL, ORDER, read

DEEP_LIST = b"[" * 100_000 + b"]" * 100_000
ODD_ANSWERS = [
    DEEP_LIST,
    b'{"first_offset": %s}' % DEEP_LIST,
    b'{"first_offset": 1e400, "highest_epoch": 1e400}',
    b'{"first_offset": Infinity, "highest_epoch": Infinity}',
    b'{"first_offset": "\\ud800", "highest_epoch": "\\ud800"}',
    b'{"first_offset": %s, "highest_epoch": []}' % (b"9" * 30),
]


def answer(status, body):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


# Guards against duties and observers that end at one answer of the platform.
@pytest.mark.parametrize("body", ODD_ANSWERS)
@pytest.mark.parametrize("status", [b"200 OK", b"410 Gone", b"500 Error"])
def test_an_odd_answer_of_the_platform_counts_as_none(status, body):
    with raw_server(answer(status, body)) as address:
        log = HttpPlatformLog(address)
        with pytest.raises(PlatformUnavailable):
            log.read("s", 0, 0.0, 1.0)
        with pytest.raises(PlatformUnavailable):
            log.append("s", [b"x"], 1.0)
        with pytest.raises(PlatformUnavailable):
            HttpInstanceList(address).list_instances()


# Guards against requests that end without an answer at one of an engine.
@pytest.mark.parametrize("body", ODD_ANSWERS)
@pytest.mark.parametrize("status", [b"200 OK", b"409 Conflict", b"503 Busy"])
def test_an_odd_answer_of_an_engine_is_a_failure(status, body):
    with raw_server(answer(status, body)) as address:
        with pytest.raises(UpstreamFailed):
            HttpEngine().order(address, ORDER)
        with pytest.raises(UpstreamFailed):
            HttpEngine().load_report(address)


@pytest.mark.parametrize("body", ODD_ANSWERS)
def test_an_odd_refusal_of_a_generation_is_a_failure(body):
    with (
        raw_server(answer(b"503 Busy", body)) as address,
        pytest.raises(UpstreamFailed),
    ):
        HttpEngine().generate(address, CALL)


@pytest.mark.parametrize(
    "item",
    [
        DEEP_LIST,
        b'{"request_id": "g-1", "index": 1e400, "text": "t"}',
        b'{"request_id": "g-1", "index": Infinity, "text": "t"}',
        b'{"request_id": "g-1", "index": 0, "text": "\\ud800"}',
    ],
)
def test_an_odd_item_of_a_stream_is_a_failure(item):
    with pytest.raises(UpstreamFailed):
        read(b"data: %s\n\n" % item)
