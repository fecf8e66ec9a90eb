"""Decoding of callers' headers, and the headers sent to upstreams."""

import pytest
from hypothesis import given, strategies

from waxwingwinch._types import Address, CustomerId, UpstreamId, ZoneName
from waxwingwinch.gateway import (
    DecodeFromCache,
    FullExecution,
    MalformedRequest,
    PrefillOnly,
    PromptPart,
    RawRequest,
    RegisteredState,
    Upstream,
    UpstreamCall,
)
from waxwingwinch.platform._headers import HEADER_PREFIX, RESERVED_HEADERS
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform._transport import _request_headers

NOW_SECONDS = 50.0
UPSTREAM = Upstream(
    UpstreamId("i-1"),
    0,
    "one",
    Address("10.0.0.9", 80),
    ZoneName("z"),
    RegisteredState.READY,
    4,
)


def decode(*headers):
    base = (("Host", "shop.example"), ("X-Waxwingwinch-Request-Id", "r1"))
    raw = RawRequest("POST", "/a/b?c=d", (*base, *headers), b"body")
    return PlatformRequestDecoder().decode(raw, NOW_SECONDS)


def sent(request, phase=None, **values):
    call = UpstreamCall(
        request,
        phase or FullExecution(),
        CustomerId("alice"),
        3,
        NOW_SECONDS + 2.0,
        **values,
    )
    return _request_headers(UPSTREAM, call, NOW_SECONDS)


def test_a_request_is_decoded():
    request = decode(
        ("X-Waxwingwinch-Deadline-Ms", "6000"),
        ("X-Waxwingwinch-Key", "k"),
        ("X-Waxwingwinch-Token-Counts", "1460,80"),
        ("X-Waxwingwinch-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250"),
    )
    assert (request.path, request.target) == ("/a/b", "/a/b?c=d")
    assert request.deadline_seconds == NOW_SECONDS + 6.0
    assert request.key == "k"
    assert request.prompt.input_tokens == 1_460
    assert request.prompt.parts[1] == PromptPart("91bd", 410)
    assert request.prompt.shared_prefix_id == "91bd"


@pytest.mark.parametrize(
    "header",
    [
        ("X-Waxwingwinch-Deadline-Ms", "soon"),
        ("X-Waxwingwinch-Deadline-Ms", "-5"),
        ("X-Waxwingwinch-Token-Counts", "12"),
        ("X-Waxwingwinch-Token-Counts", "a,b"),
        ("x-waxwingwinch-request-id", "again"),
    ],
)
def test_malformed_headers_are_refused(header):
    with pytest.raises(MalformedRequest):
        decode(header)


def test_a_request_without_an_id_is_refused():
    raw = RawRequest("GET", "/", (("Host", "a"),), b"")
    with pytest.raises(MalformedRequest):
        PlatformRequestDecoder().decode(raw, 0.0)


def test_reserved_headers_of_a_caller_are_dropped():
    names = [name for name in RESERVED_HEADERS if name != "last-event-id"]
    forged = decode(
        *((name, "1") for name in names if not name.endswith("deadline-ms"))
    )
    kept = {name.lower() for name, _ in forged.headers}
    assert kept == {"host", "x-waxwingwinch-request-id"}


def test_the_key_and_hop_by_hop_headers_are_not_forwarded():
    request = decode(
        ("X-Waxwingwinch-Key", "secret"),
        ("Connection", "X-Hop, close"),
        ("X-Hop", "1"),
        ("X-Keep", "2"),
        ("Transfer-Encoding", "chunked"),
    )
    headers = sent(request)
    assert ("X-Keep", "2") in headers
    assert not any("secret" in value for _, value in headers)
    assert {"x-hop", "connection", "transfer-encoding"}.isdisjoint(
        name.lower() for name, _ in headers
    )


def test_connection_options_cannot_strip_prompt_headers():
    request = decode(
        ("Connection", "X-Waxwingwinch-Model"), ("X-Waxwingwinch-Model", "m")
    )
    assert ("X-Waxwingwinch-Model", "m") in request.headers


def test_upstreams_get_the_remaining_deadline_and_the_customer():
    headers = dict(sent(decode(("X-Waxwingwinch-Deadline-Ms", "6000"))))
    assert headers["X-Waxwingwinch-Deadline-Ms"] == "2000"
    assert headers["X-Waxwingwinch-Expect-Instance"] == "i-1"
    assert headers["X-Waxwingwinch-Tenant"] == "alice"
    names = [name.lower() for name in headers]
    assert len(names) == len(set(names))
    assert sum(name.startswith(HEADER_PREFIX) for name in names) == 4


def test_phases_are_encoded_in_headers():
    request = decode(("X-Waxwingwinch-Token-Counts", "10,2"))
    assert ("X-Waxwingwinch-Serving-Stage", "prefill") in sent(request, PrefillOnly())
    source = DecodeFromCache(Address("10.0.0.1", 80), "h1")
    assert ("X-Waxwingwinch-Kv-Source", "10.0.0.1:80/h1") in sent(request, source)
    assert ("Last-Event-Id", "12") in sent(request, last_event_id="12")
    assert ("X-Waxwingwinch-Request-Priority", "3") in sent(request)


# Guards against requests without an answer, since decoding them fails.
@pytest.mark.parametrize("target", ["//[", "http://[::1", "//[x]/a", "//\u2100.com"])
def test_a_malformed_target_is_rejected(target):
    raw = RawRequest("GET", target, (("X-Waxwingwinch-Request-Id", "r1"),), b"")
    with pytest.raises(MalformedRequest):
        PlatformRequestDecoder().decode(raw, NOW_SECONDS)


@given(
    strategies.text(max_size=40),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [
                    "Host",
                    "Connection",
                    "X-Waxwingwinch-Request-Id",
                    "X-Waxwingwinch-Deadline-Ms",
                    "X-Waxwingwinch-Token-Counts",
                    "X-Waxwingwinch-Prompt-Prefix",
                ]
            ),
            strategies.text(max_size=40)
            | strategies.sampled_from(["r1", "6000", "1,2", "a:1,b:2", "9" * 400]),
        ),
        max_size=6,
    ),
)
def test_any_request_is_decoded_or_malformed(target, headers):
    raw = RawRequest("GET", target, tuple(headers), b"")
    try:
        PlatformRequestDecoder().decode(raw, NOW_SECONDS)
    except MalformedRequest:
        pass
