"""The bytes of responses on a caller's connection."""

import io
from typing import Any

import pytest
from attrs import define, field

from waxwingwinch.gateway._front import FrontResponder

EVENT = b"id: 1\ndata: t\n\n"
STREAM_HEADERS = (("Content-Type", "text/event-stream"),)


@define
class FakeServer:
    is_stopping: bool = False

    def is_last_answer(self, connection):
        return self.is_stopping


@define
class FakeConnection:
    wfile: io.BytesIO = field(factory=io.BytesIO)

    def begin_answer(self):
        """Do nothing; the tests read no request."""


@define
class FakeRequest:
    method: bytes = b"POST"
    close_connection: bool = False
    sent_headers: bool = False
    server: FakeServer = field(factory=FakeServer)
    conn: FakeConnection = field(factory=FakeConnection)

    @property
    def written(self):
        return self.conn.wfile.getvalue()


def make_responder(request: Any) -> FrontResponder:
    """Return a responder typed so that it accepts fake requests."""
    return FrontResponder(request)


def stream(responder, status=200):
    responder.begin(status, STREAM_HEADERS)
    responder.write(EVENT)
    responder.end()


def body_of(request):
    return request.written.partition(b"\r\n\r\n")[2]


def test_a_stream_is_written_in_chunks():
    request = FakeRequest()
    stream(make_responder(request))
    assert b"Transfer-Encoding: chunked\r\n" in request.written
    assert body_of(request) == b"f\r\n" + EVENT + b"\r\n0\r\n\r\n"
    assert not request.close_connection


# Guards against bytes of a body that the caller reads as the next response.
@pytest.mark.parametrize(
    ("method", "status"), [(b"HEAD", 200), (b"POST", 204), (b"POST", 304)]
)
def test_a_stream_without_a_body_writes_its_head_alone(method, status):
    request = FakeRequest(method)
    responder = make_responder(request)
    stream(responder, status)
    assert request.written.startswith(b"HTTP/1.1 %d " % status)
    assert body_of(request) == b""
    assert (b"Transfer-Encoding" in request.written) is (method == b"HEAD")
    assert responder.is_complete


# Guards against the head of an error in the middle of a stream.
def test_a_response_that_has_begun_is_aborted_in_place_of_a_second_head():
    request = FakeRequest()
    responder = make_responder(request)
    responder.begin(200, STREAM_HEADERS)
    responder.write(EVENT)
    responder.respond(503, (("Retry-After", "1.000"),), b"busy")
    assert body_of(request) == b"f\r\n" + EVENT + b"\r\n"
    assert request.close_connection
    assert not responder.is_complete


# Guards against a second response on a connection with no request waiting.
def test_a_complete_response_is_not_followed_by_another():
    request = FakeRequest()
    responder = make_responder(request)
    responder.respond(200, (), b"whole")
    responder.respond(503, (), b"")
    assert body_of(request) == b"whole"
    assert request.close_connection
