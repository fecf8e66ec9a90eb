"""Answers of engines that no reader expects."""

import pytest

from waxwingwinch._types import Address, UpstreamId, ZoneName
from waxwingwinch.gateway import RegisteredState, ResponseHead, Upstream
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.relay_harness import FakeResponse
from waxwingwinch.http import AnswerMissing, HttpReply
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform.tests.test_odd_store_answers import ODD_VALUES

ENGINE = Upstream(
    UpstreamId("e"),
    0,
    "llm",
    Address("127.0.0.1", 1),
    ZoneName("z"),
    RegisteredState.READY,
    1,
)


def whole_response(body):
    return FakeResponse(ResponseHead(200, (), None, False, True), [body], FakeClock())


def cached_parts(monkeypatch, body):
    reply = HttpReply(200, (), body)
    monkeypatch.setattr(
        "waxwingwinch.platform._transport.exchange", lambda *_, **__: reply
    )
    return PlatformTransport(FakeClock()).cached_parts(ENGINE)


def test_a_list_of_cached_parts_is_decoded(monkeypatch):
    parts = cached_parts(monkeypatch, b'{"held": [["m", "a", 17], ["m", "b", 0, 1]]}')
    assert [(part.part_id, part.tokens) for part in parts] == [("a", 17), ("b", 0)]


# Guards against a survey of caches that ends at the list of one engine.
@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize(
    "body",
    [
        b"%s",
        b'{"held": [%s]}',
        b'{"held": [["m", %s, 1]]}',
        b'{"held": [["m", "a", %s]]}',
        b'{"other": %s}',
    ],
)
def test_an_odd_list_of_cached_parts_is_no_answer(monkeypatch, body, value):
    with pytest.raises(AnswerMissing) as raised:
        cached_parts(monkeypatch, body % value)
    assert len(str(raised.value)) < 2_000


# Guards against prompts that end without an answer at one odd handle.
@pytest.mark.parametrize(
    "value", [*ODD_VALUES, b'""', b'"a b"', b'"a\\r\\nb"', b'"\\u20ac"', b"1"]
)
@pytest.mark.parametrize("body", [b"%s", b'{"kvHandle": %s}'])
def test_an_odd_handle_is_no_answer(body, value):
    response = whole_response(body % value)
    with pytest.raises(AnswerMissing) as raised:
        PlatformTransport(FakeClock()).read_handle(response, 1.0)
    assert len(str(raised.value)) < 2_000


def test_a_handle_is_read():
    response = whole_response(b'{"kvHandle":"3fa09c41b7d5","tokens":1460,"version":1}')
    assert PlatformTransport(FakeClock()).read_handle(response, 1.0) == "3fa09c41b7d5"
