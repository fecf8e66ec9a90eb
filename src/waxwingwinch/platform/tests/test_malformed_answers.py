"""Answers that violate the grammar of HTTP, wherever answers are read."""

import pytest
from attrs import evolve

from waxwingwinch._exceptions import PlatformUnavailable
from waxwingwinch._types import EngineRole, InstanceId, ZoneName
from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.gateway import (
    Cancellation,
    FullExecution,
    GatewayRequest,
    PrefillOnly,
    UpstreamCall,
    UpstreamCount,
)
from waxwingwinch.gateway.tests.relay_harness import upstream
from waxwingwinch.http import AnswerMalformed, AnswerMissing
from waxwingwinch.http.tests.malformed_answers import (
    BODIES,
    BODY,
    HEADS,
    INTERIM,
    LENGTH,
    PROPER,
    answer,
)
from waxwingwinch.kernel import SystemClock
from waxwingwinch.platform._duty_calls import PlatformDutyCalls
from waxwingwinch.platform._store import PlatformStoreClient
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform.tests.test_broken_heads import (
    read_by_exchange,
    read_by_gateway,
)

WAIT_SECONDS = 1.0
READERS = pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])


# Guards against a body that is not the engine's, or a line that is no field,
# in an answer that looks complete.
@READERS
@pytest.mark.parametrize("content", HEADS.values(), ids=HEADS)
def test_a_malformed_head_is_no_answer(read, content):
    with raw_server(content) as address, pytest.raises(AnswerMissing):
        read(address)


# Guards against a chunked body whose framing is malformed and that looks
# complete.
@READERS
@pytest.mark.parametrize("content", BODIES.values(), ids=BODIES)
def test_a_malformed_body_is_not_complete(read, content):
    with raw_server(content) as address, pytest.raises(AnswerMissing):
        read(address)


@READERS
@pytest.mark.parametrize("content", PROPER.values(), ids=PROPER)
def test_proper_answers_are_read(read, content):
    with raw_server(content) as address:
        assert read(address) == (200, BODY)


# Such an answer may declare the length of the body that another would have.
@READERS
@pytest.mark.parametrize("status", [204, 304])
def test_answers_without_body_are_read(read, status):
    content = answer(LENGTH, status_line=b"HTTP/1.1 %d Text" % status, body=b"")
    with raw_server(content) as address:
        assert read(address) == (status, b"")


def test_the_error_of_a_malformed_body_names_the_server():
    with raw_server(next(iter(BODIES.values()))) as address:
        with pytest.raises(AnswerMalformed, match=f"^{address}: malformed chunk size"):
            read_by_exchange(address)


@READERS
def test_the_error_shows_the_malformed_bytes(read):
    content = answer(b"X\x01" + b"A" * 1_000 + b": a", LENGTH)
    with raw_server(content) as address, pytest.raises(AnswerMalformed) as raised:
        read(address)
    assert r"malformed field: b'X\x01AAA" in str(raised.value)
    assert len(str(raised.value)) < 200


def open_call(address, phase):
    """Send a call to an engine; return its transport and the response."""
    clock = SystemClock()
    transport = PlatformTransport(clock)
    request = GatewayRequest(
        "r-1", "POST", "/x", "/x", "a.example", (("Host", "a.example"),), b""
    )
    now_seconds = clock.now_seconds()
    call = UpstreamCall(request, phase, None, 0, now_seconds + WAIT_SECONDS)
    response = transport.open(
        engine_at(address), call, Cancellation(), now_seconds, WAIT_SECONDS
    )
    return transport, response


def engine_at(address):
    return evolve(upstream("e1"), address=address)


def request_run(address):
    _, response = open_call(address, FullExecution())
    return response.read_all(WAIT_SECONDS)


def request_prefill(address):
    transport, response = open_call(address, PrefillOnly())
    return transport.read_handle(response, WAIT_SECONDS)


def list_cache(address):
    return PlatformTransport(SystemClock()).cached_parts(engine_at(address))


def duty_calls(address):
    return PlatformDutyCalls(address, InstanceId("i0"), SystemClock())


def change_role(address):
    duty_calls(address).change_role(engine_at(address), EngineRole.DECODE, 1)


def order_upstreams(address):
    duty_calls(address).order_upstreams(
        UpstreamCount("llm", ZoneName("north"), 1, False), 1
    )


def report_usage(address):
    duty_calls(address).report_usage(1, {}, 1)


def append_records(address):
    PlatformStoreClient(address).append("t", [b"r"])


def read_records(address):
    PlatformStoreClient(address).read("t", 0, 0.0)


def read_newest(address):
    PlatformStoreClient(address).snapshot("t")


#: The calls of a gateway, each with a body that it accepts.
CALLS = {
    "run": (request_run, BODY),
    "prefill": (request_prefill, b'{"kvHandle": "abc"}'),
    "cache": (list_cache, b'{"held": []}'),
    "role": (change_role, b""),
    "order": (order_upstreams, b""),
    "usage": (report_usage, b""),
    "append": (append_records, b'{"offset": 0, "end": 1}'),
    "read": (read_records, b""),
    "newest": (read_newest, b'{"items": [], "hasMore": false, "end": 0}'),
}


def framed(body, *fields):
    return answer(b"Content-Length: %d" % len(body), *fields, body=body)


@pytest.mark.parametrize(("call", "body"), CALLS.values(), ids=CALLS)
def test_calls_accept_proper_answers(call, body):
    with raw_server(framed(body, b"X-A: \xff")) as address:
        call(address)


#: One malformed element of each group, for an answer with any body.
ELEMENTS = {
    "content length": lambda body: answer(b"Content-Length: +%d" % len(body)),
    "transfer coding": lambda body: framed(body, b"Transfer-Encoding: gzip"),
    "no field": lambda body: framed(body, b"garbage"),
    "name with a blank": lambda body: framed(body, b"X A: a"),
    "name with a control byte": lambda body: framed(body, b"X\x01A: a"),
    "value with a control byte": lambda body: framed(body, b"X-A: a\x00b"),
    "folded line": lambda body: framed(body, b"X-A: a", b" b"),
    "version": lambda body: framed(body).replace(b"HTTP/1.1", b"HTTP/1.x"),
    "reason": lambda body: framed(body).replace(b"200 OK", b"200 O\x01K"),
    "status": lambda body: framed(body).replace(b"200 OK", b"000 OK"),
    "interim": lambda body: next(iter(INTERIM.values())),
}


# Guards against a call of the gateway itself that takes a malformed answer for
# one.
@pytest.mark.parametrize(("call", "body"), CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("make", ELEMENTS.values(), ids=ELEMENTS)
def test_calls_accept_no_malformed_head(call, body, make):
    with raw_server(make(body)) as address:
        with pytest.raises((AnswerMissing, PlatformUnavailable)):
            call(address)
