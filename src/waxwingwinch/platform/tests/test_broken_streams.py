"""What callers read when streams break off, byte for byte."""

import re
import socket
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import pytest
from attrs import frozen

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamHandler,
    UpstreamStandin,
    make_configuration,
    reset_on_close,
    wait_until,
)

WAIT_SECONDS = 5.0


@frozen
class Reply:
    """
    An answer to a request for a stream.

    :param status: HTTP status.
    :param data: What follows the head.
    :param headers: Headers besides the id of the request.
    :param is_reset: True if the connection is reset afterwards; else it is
        closed.
    """

    status: int
    data: bytes
    headers: tuple[str, ...] = ()
    is_reset: bool = False


class BreakingHandler(UpstreamHandler):
    def serve(self):
        if not self.path.endswith("/stream"):
            super().serve()
            return
        self.body()
        reply = self.owner.replies.pop(0)
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        lines = (
            f"HTTP/1.1 {reply.status} Text",
            f"X-Waxwingwinch-Request-Id: {request_id}",
            *reply.headers,
        )
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + reply.data)
        if reply.is_reset:
            # The bytes sent before have to arrive first.
            wait_until(lambda: False, 0.2)
            reset_on_close(self.connection)
        self.close_connection = True


class BreakingUpstream(UpstreamStandin):
    """An upstream whose streams are the replies of a list that all share."""

    handler = BreakingHandler

    def __init__(self, name, replies):
        self.replies = replies
        super().__init__(name)


@frozen
class Fleet:
    """
    Two upstreams behind a gateway.

    :param replies: Answers to the next requests for a stream.
    :param port: Port of the gateway for callers.
    :param log: The gateway's log.
    """

    replies: list[Reply]
    port: int
    log: Path


@pytest.fixture
def fleet(tmp_path):
    replies: list[Reply] = []
    store = StoreStandin()
    upstreams = [BreakingUpstream(name, replies) for name in ("u1", "u2")]
    configuration: dict[str, Any] = make_configuration(1)
    for route in configuration["routes"]:
        route["resumable"] = route["routeKind"] == "streaming"
    store.put("op", "config", configuration)
    for upstream in upstreams:
        upstream.register(store)
    gateway = Gateway(tmp_path, store, "edge-0")
    log = tmp_path / "edge-0.log"

    def is_ready():
        registered = log.read_text().count('"upstream:registered"')
        answer = send(gateway.front, "/a/x")
        return registered == len(upstreams) and answer.startswith(b"HTTP/1.1 200")

    try:
        assert wait_until(is_ready)
        # Until an instance knows its peers, its retry budget is nearly empty.
        assert wait_until(lambda: retry_budget(gateway.metrics) >= 1.0)
        yield Fleet(replies, gateway.front, log)
    finally:
        gateway.stop()
        store.stop()
        for upstream in upstreams:
            upstream.stop()


def retry_budget(port):
    """Return the retries that the gateway has left, by its metrics."""
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}/metrics") as response:
            text = response.read().decode()
    except urllib.error.URLError:
        # The address of the metrics is opened after that of the callers.
        return 0.0
    levels = re.findall(r"^waxwing_retry_budget_level\{.*\} (\S+)$", text, re.M)
    return float(levels[0]) if levels else 0.0


def send(port, path, request_id="r-1"):
    """Send a request; return all bytes until its connection is closed."""
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: shop.example",
        f"X-Waxwingwinch-Request-Id: {request_id}",
        "X-Waxwingwinch-Deadline-Ms: 3000",
        f"X-Waxwingwinch-Key: {KEY}",
        "Content-Length: 0",
        "Connection: close",
    )
    received = b""
    try:
        with socket.create_connection((HOST, port), WAIT_SECONDS) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            while part := connection.recv(65_536):
                received += part
    except OSError:
        pass
    return received


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def decode_chunks(data):
    """Return the body and whether its last chunk arrived."""
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            assert data == b"\r\n"
            return body, True
        assert data[length : length + 2] == b"\r\n"
        body, data = body + data[:length], data[length + 2 :]
    return body, False


STREAM_HEADERS = (
    "X-Waxwingwinch-Response-Stamp: s",
    "Content-Type: text/event-stream",
)
CHUNKED = (*STREAM_HEADERS, "Transfer-Encoding: chunked")
BEGINNING = events(1, 2) + b"id: 3\nda"
BROKEN = [
    Reply(200, chunk(BEGINNING), CHUNKED, is_reset=True),
    Reply(200, chunk(BEGINNING), CHUNKED),
    Reply(200, chunk(BEGINNING) + b"0\r\n\r\n", CHUNKED),
    Reply(200, BEGINNING, STREAM_HEADERS, is_reset=True),
    Reply(200, BEGINNING, STREAM_HEADERS),
    Reply(200, chunk(BEGINNING)[:-4], CHUNKED),
]
BROKEN_IDS = [
    "chunked, reset",
    "chunked, closed",
    "chunked, ended in an event",
    "unframed, reset",
    "unframed, closed in an event",
    "closed in a chunk",
]
FAILED = b"failed\n\n"


def read_stream(fleet, *replies):
    """Return the body that a caller reads, and whether it looks complete."""
    fleet.replies.extend(replies)
    received = send(fleet.port, "/s/stream")
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert fleet.replies == [], fleet.log.read_text()
    return decode_chunks(body)


# Guards against the error of the engine that resumes a stream in the middle
# of that stream, and against a broken stream that looks complete.
@pytest.mark.parametrize("broken", BROKEN, ids=BROKEN_IDS)
@pytest.mark.parametrize(
    "resumed",
    [
        Reply(500, FAILED, (f"Content-Length: {len(FAILED)}", *STREAM_HEADERS)),
        Reply(503, b"", ("X-Waxwingwinch-Not-Executed: 1", "Content-Length: 0")),
        Reply(200, FAILED, STREAM_HEADERS),
        Reply(200, chunk(events(1, 4)) + b"0\r\n\r\n", CHUNKED),
        Reply(200, b"", STREAM_HEADERS),
    ],
    ids=["500", "503", "text", "repeated events", "closed without an event"],
)
def test_a_stream_that_is_not_resumed_ends_incomplete(fleet, broken, resumed):
    assert read_stream(fleet, broken, resumed) == (events(1, 2), False)


@pytest.mark.parametrize("broken", BROKEN, ids=BROKEN_IDS)
def test_a_stream_that_is_resumed_is_whole(fleet, broken):
    rest = Reply(200, chunk(events(3, 4)) + b"0\r\n\r\n", CHUNKED)
    assert read_stream(fleet, broken, rest) == (events(1, 4), True)


def test_a_stream_without_framing_is_whole(fleet):
    whole = Reply(200, events(1, 4), STREAM_HEADERS)
    assert read_stream(fleet, whole) == (events(1, 4), True)
