"""Upstreams that go on sending, and never come to the end of an answer."""

import contextlib
import socket
import threading

import pytest

from waxwingwinch._types import Address
from waxwingwinch.http import AnswerMissing
from waxwingwinch.platform.tests.standin import UpstreamHandler
from waxwingwinch.platform.tests.test_broken_heads import (
    HEAD,
    read_by_exchange,
    read_by_gateway,
)
from waxwingwinch.platform.tests.test_program import PlatformHarness

#: Longest wait of the calls of these tests, and the delay of a slow machine.
TIMEOUT_SECONDS = 1.0
DELAY_SECONDS = 0.5
LAST_CHUNK = HEAD.replace(b"Content-Length: 12", b"Transfer-Encoding: chunked") + (
    b"1\r\nx\r\n0\r\n"
)
#: What is sent at once, and then again and again, with the pause between.
ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.0),
    "slow interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.1),
    "trailer lines": (LAST_CHUNK, b"X-Trailer: y\r\n", 0.0),
    "slow trailer lines": (LAST_CHUNK, b"X-Trailer: y\r\n", 0.1),
    "a head by the byte": (HEAD[:20], b"x", 0.1),
    "a body by the byte": (HEAD.replace(b"12", b"999999"), b"x", 0.1),
    "chunks by the byte": (LAST_CHUNK[:-3], b"1\r\nx\r\n", 0.1),
}


@contextlib.contextmanager
def endless_server(begin, repeated, pause_seconds):
    """Yield the address of a server that never ends its answers."""
    stopping = threading.Event()

    def serve(connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(begin)
            while not stopping.wait(pause_seconds):
                connection.sendall(repeated)

    def accept():
        while not stopping.is_set():
            with contextlib.suppress(TimeoutError):
                connection, _ = listener.accept()
                threading.Thread(target=serve, args=(connection,)).start()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(0.1)
        thread = threading.Thread(target=accept)
        thread.start()
        try:
            yield Address(*listener.getsockname())
        finally:
            stopping.set()
            thread.join()


# Guards against a wait without an end, which holds a thread and its caller.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize("answer", ENDLESS.values(), ids=ENDLESS)
def test_a_wait_for_an_answer_has_one_end(read, answer):
    with endless_server(*answer) as address:
        outcomes = []

        def call():
            try:
                outcomes.append(read(address))
            except AnswerMissing as error:
                outcomes.append(error)

        thread = threading.Thread(target=call, daemon=True)
        thread.start()
        # The head and the body are waited for one after the other.
        thread.join(2 * TIMEOUT_SECONDS + DELAY_SECONDS)
        # The end of the server ends the call, too.
        assert not thread.is_alive()
    assert [type(outcome) for outcome in outcomes] == [AnswerMissing]


class EndlessHandler(UpstreamHandler):
    """Sends interim responses until its caller closes the connection."""

    def serve(self):
        self.body()
        with contextlib.suppress(OSError):
            while True:
                self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.close_connection = True


@pytest.fixture
def harness(tmp_path):
    harness = PlatformHarness(tmp_path)
    yield harness
    harness.stop()


# Guards against a caller who gets no answer, and a thread that is held.
@pytest.mark.parametrize("path", ["/a/x", "/u/x", "/s/stream"])
def test_callers_get_an_answer_from_an_endless_head(harness, path, monkeypatch):
    harness.start()
    monkeypatch.setattr(UpstreamHandler, "serve", EndlessHandler.serve)
    status, _, _ = harness.send_request(path)
    assert status in (502, 504)
