"""Answers that violate the grammar of HTTP, read by the older programs."""

import pytest

from waxwingwinch._exceptions import PlatformUnavailable, UpstreamFailed
from waxwingwinch.adapters import HttpEngine, HttpInstanceList, HttpPlatformLog
from waxwingwinch.adapters._polling import poll
from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.adapters.tests.test_engine import CALL, ORDER
from waxwingwinch.http import AnswerMalformed, AnswerMissing, HttpRequest
from waxwingwinch.http.tests.malformed_answers import (
    BODIES,
    BODY,
    CHUNKED,
    HEADS,
    LENGTH,
    PROPER,
    answer,
)

REQUEST = HttpRequest("GET", "/x")
#: One malformed answer of each group.
MALFORMED = {
    "content length": answer(b"Content-Length: +12"),
    "transfer coding": answer(b"Transfer-Encoding: gzip"),
    "no field": answer(LENGTH, b"garbage"),
    "name with a control byte": answer(LENGTH, b"X\x01A: a"),
    "version": answer(LENGTH, status_line=b"HTTP/2.0 200 OK"),
    "chunk size": answer(CHUNKED, body=b"0xc\r\n%b\r\n0\r\n\r\n" % BODY),
    "trailer": answer(CHUNKED, body=b"1\r\n\n\r\n0\r\ngarbage\r\n\r\n"),
}


# Guards against a body that is not the server's in an answer that looks
# complete.
@pytest.mark.parametrize("content", (HEADS | BODIES).values(), ids=HEADS | BODIES)
def test_a_malformed_answer_to_a_poll_is_none(content):
    with raw_server(content) as address, pytest.raises(AnswerMissing):
        poll(address, REQUEST, 1.0)


@pytest.mark.parametrize("content", PROPER.values(), ids=PROPER)
def test_proper_answers_to_polls_are_read(content):
    with raw_server(content) as address:
        assert poll(address, REQUEST, 1.0).body == BODY


# Guards against the rest of a malformed answer that is read for another one.
@pytest.mark.parametrize("content", MALFORMED.values(), ids=MALFORMED)
def test_the_connection_of_a_malformed_answer_serves_no_other_poll(content):
    with raw_server(content, keep_open=True) as address:
        for _ in range(3):
            with pytest.raises(AnswerMalformed):
                poll(address, REQUEST, 1.0)


CALLS = {
    "generation": lambda address: list(HttpEngine().generate(address, CALL)),
    "order": lambda address: HttpEngine().order(address, ORDER),
    "load": lambda address: HttpEngine().load_report(address),
    "append": lambda address: HttpPlatformLog(address).append("s", [b"x"], 1.0),
    "read": lambda address: HttpPlatformLog(address).read("s", 0, 0.0, 1.0),
    "instances": lambda address: HttpInstanceList(address).list_instances(),
}


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("content", MALFORMED.values(), ids=MALFORMED)
def test_calls_report_a_malformed_answer(call, content):
    errors = (PlatformUnavailable, UpstreamFailed)
    with raw_server(content) as address:
        with pytest.raises(errors, match=r"malformed (?!answer|stream)"):
            call(address)
