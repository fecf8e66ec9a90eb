"""Upstreams that close the connection in the middle of an answer's head."""

import pytest

from waxwingwinch.adapters.tests._raw_server import raw_server
from waxwingwinch.gateway import UpstreamConnection
from waxwingwinch.http import AnswerMissing, HttpRequest, exchange
from waxwingwinch.platform.tests.standin import UpstreamHandler
from waxwingwinch.platform.tests.test_program import PlatformHarness

HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Waxwingwinch-Request-Id: r-1\r\n"
    b"X-Waxwingwinch-Response-Stamp: stamp\r\n"
    b"Content-Length: 12\r\n"
    b"\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\nX-More: a\r\n\r\n"
UNFRAMED_HEAD = HEAD.replace(b"Content-Length: 12\r\n", b"")


def read_by_gateway(address):
    connection = UpstreamConnection(address, 1.0)
    try:
        connection.send("POST", "/x", [("Host", "h")], b"", 1.0)
        response = connection.read_head(1.0)
        return response.status, connection.read_all(1.0)
    finally:
        connection.close()


def read_by_exchange(address):
    reply = exchange(address, HttpRequest("GET", "/x"), 1.0)
    return reply.status, reply.body


# Guards against a response that breaks off in its head and is taken for one
# with an empty body.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize("head", [HEAD, UNFRAMED_HEAD])
def test_a_head_that_breaks_off_is_no_answer(read, head):
    for length in range(1, len(head)):
        with raw_server(head[:length]) as address:
            with pytest.raises(AnswerMissing):
                read(address)


@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
def test_whole_heads_are_read(read):
    for answer in (HEAD + b"twelve bytes", UNFRAMED_HEAD + b"twelve bytes"):
        with raw_server(answer) as address:
            assert read(address) == (200, b"twelve bytes")
    with raw_server(b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD.replace(b"12", b"0")) as at:
        assert read(at) == (200, b"")


INTERIM_HEADS = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 199 Other\r\nContent-Length: 3\r\n\r\n",
)


# Guards against an interim response that is taken for the final one, so that
# callers get 502 for a request that ran.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize("interim", [*INTERIM_HEADS, b"".join(INTERIM_HEADS * 2)])
def test_interim_responses_are_skipped(read, interim):
    with raw_server(interim + HEAD + b"twelve bytes") as address:
        assert read(address) == (200, b"twelve bytes")


# Guards against a head without a final response that is taken for an answer.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize(
    "heads",
    [
        INTERIM_HEADS[0],
        INTERIM_HEADS[0] + HEAD[:30],
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + HEAD,
    ],
)
def test_interim_responses_alone_are_no_answer(read, heads):
    with raw_server(heads) as address, pytest.raises(AnswerMissing):
        read(address)


# Guards against a status that no response can have (RFC 9110, section 15) and
# that is passed on to the caller.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize(
    "status", [b"000", b"099", b"600", b"999", b"20", b"1000", b"OK", b"200x", b""]
)
def test_an_invalid_status_is_no_answer(read, status):
    head = HEAD.replace(b"200 OK", status + b" Other")
    with raw_server(head + b"twelve bytes") as address, pytest.raises(AnswerMissing):
        read(address)


# Guards against heads that take several megabytes each.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize(
    "start", [b"", b"HTTP/1.1 100 Continue\r\nX-More: a\r\n\r\n" * 2_000]
)
def test_a_head_that_is_too_large_is_no_answer(read, start):
    more = b"X-More: " + b"a" * 1_000 + b"\r\n"
    head = start + HEAD.replace(b"\r\n\r\n", b"\r\n" + more * 70 + b"\r\n")
    with raw_server(head + b"twelve bytes") as address:
        with pytest.raises(AnswerMissing):
            read(address)


class HeadBreakingHandler(UpstreamHandler):
    """Closes the connection after a number of bytes of the head."""

    length = 0

    def serve(self):
        self.body()
        request_id = self.headers["X-Waxwingwinch-Request-Id"].encode()
        self.wfile.write(
            UNFRAMED_HEAD.replace(b"r-1", request_id)[: HeadBreakingHandler.length]
        )
        self.close_connection = True


@pytest.fixture
def harness(tmp_path):
    harness = PlatformHarness(tmp_path)
    yield harness
    harness.stop()


# Guards against a 200 with an empty body that looks whole to the caller.
@pytest.mark.parametrize("path", ["/a/x", "/u/x", "/s/stream"])
@pytest.mark.parametrize("length", [17, 40, 90, len(UNFRAMED_HEAD) - 2])
def test_callers_get_no_success_from_a_broken_head(harness, path, length, monkeypatch):
    harness.start()
    monkeypatch.setattr(HeadBreakingHandler, "length", length)
    monkeypatch.setattr(UpstreamHandler, "serve", HeadBreakingHandler.serve)
    status, body, _ = harness.send_request(path)
    assert (status, body) == (502, b"")


class InvalidStatusHandler(UpstreamHandler):
    """Answers with a status that no response can have."""

    status = b"600"

    def serve(self):
        self.body()
        request_id = self.headers["X-Waxwingwinch-Request-Id"].encode()
        head = HEAD.replace(b"200 OK", InvalidStatusHandler.status + b" Other")
        self.wfile.write(head.replace(b"r-1", request_id) + b"twelve bytes")
        self.close_connection = True


# Guards against a caller that gets an invalid status as an answer.
@pytest.mark.parametrize("path", ["/a/x", "/u/x", "/s/stream"])
@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_callers_get_502_for_an_invalid_status(harness, path, status, monkeypatch):
    harness.start()
    monkeypatch.setattr(InvalidStatusHandler, "status", status)
    monkeypatch.setattr(UpstreamHandler, "serve", InvalidStatusHandler.serve)
    answered, body, _ = harness.send_request(path)
    assert (answered, body) == (502, b"")


class HintingHandler(UpstreamHandler):
    """Sends interim responses before its answer."""

    def serve(self):
        for head in INTERIM_HEADS:
            self.wfile.write(head)
        original_serve(self)


original_serve = UpstreamHandler.serve


@pytest.mark.parametrize("path", ["/a/x", "/u/x", "/s/stream"])
def test_callers_get_the_answer_after_interim_responses(harness, path, monkeypatch):
    harness.start()
    monkeypatch.setattr(UpstreamHandler, "serve", HintingHandler.serve)
    assert harness.send_request(path)[0] == 200
