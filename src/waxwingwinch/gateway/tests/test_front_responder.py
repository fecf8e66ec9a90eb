"""The bytes of responses on a caller's connection."""

from typing import Any

import pytest
from attrs import define, field

from waxwingwinch.gateway._front_responder import FrontResponder
from waxwingwinch.gateway.tests.fakes import FakeClock

EVENT = b"id: 1\ndata: t\n\n"
STREAM_HEADERS = (("Content-Type", "text/event-stream"),)


@define
class FakeServer:
    is_stopping: bool = False
    clock: FakeClock = field(factory=FakeClock)
    answer_timeout_seconds: float = 3.0

    def is_last_answer(self, connection):
        return self.is_stopping


@define
class FakeSocket:
    sent: bytearray = field(factory=bytearray)
    timeout_seconds: float | None = None

    def settimeout(self, seconds):
        self.timeout_seconds = seconds

    def sendall(self, data):
        self.sent += data


@define
class FakeConnection:
    socket: FakeSocket = field(factory=FakeSocket)
    must_reset: bool = False
    blocked_since_seconds: float | None = None


@define
class FakeRequest:
    method: bytes = b"POST"
    close_connection: bool = False
    sent_headers: bool = False
    response_protocol: str = "HTTP/1.1"
    server: FakeServer = field(factory=FakeServer)
    conn: FakeConnection = field(factory=FakeConnection)

    @property
    def written(self):
        return bytes(self.conn.socket.sent)


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


# Guards against chunks in an answer whose length the upstream has declared.
def test_a_body_of_known_size_is_written_in_parts_without_chunks():
    request = FakeRequest()
    responder = make_responder(request)
    responder.begin(200, (), 5)
    responder.write(b"who")
    responder.write(b"le")
    responder.end()
    assert b"Content-Length: 5\r\n" in request.written
    assert b"Transfer-Encoding" not in request.written
    assert body_of(request) == b"whole"
    assert not request.close_connection


# Guards against chunks sent to a caller that knows none, and against an end
# that looks like that of the body.
def test_a_body_of_unknown_size_to_an_old_caller_ends_with_the_connection():
    request = FakeRequest(response_protocol="HTTP/1.0")
    responder = make_responder(request)
    responder.begin(200, ())
    responder.write(b"part")
    assert body_of(request) == b"part"
    assert b"Connection: close\r\n" in request.written
    assert not request.conn.must_reset
    responder.abort()
    assert request.conn.must_reset


# Guards against a length where the protocol allows none.
def test_a_complete_response_without_content_declares_no_length():
    request = FakeRequest()
    make_responder(request).respond(204, (), b"")
    assert b"Content-Length" not in request.written


# Guards against an answer that is cut while its caller still has time.
@pytest.mark.parametrize(("left_seconds", "timeout"), [(60.0, 60.0), (0.5, 3.0)])
def test_a_write_may_take_until_the_deadline(left_seconds, timeout):
    request = FakeRequest()
    responder = make_responder(request)
    responder.write_until(request.server.clock.now_seconds() + left_seconds)
    responder.respond(200, (), b"whole")
    assert request.conn.socket.timeout_seconds == pytest.approx(timeout)
