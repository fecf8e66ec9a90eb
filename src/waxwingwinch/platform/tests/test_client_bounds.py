"""Bounds on the clients of the servers for callers and about the instance."""

import contextlib
import socket

import pytest

from waxwingwinch._types import Address
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front import FrontServer
from waxwingwinch.gateway._info_server import InfoReply, InfoServer
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._telemetry import CounterName, Telemetry
from waxwingwinch.gateway._unanswered import UnansweredConnections
from waxwingwinch.gateway.callers import ServerBounds
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.kernel import SystemClock
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform.tests.standin import wait_until

PROBE = b"GET /v1/readyz?a=b%20c HTTP/1.1\r\nHost: h\r\n\r\n"


class Info:
    """A server about the instance that keeps what it was asked."""

    def __init__(self, connections=24):
        self.asked = []
        self.telemetry = Telemetry()
        self.address = ("127.0.0.1", free_port())
        self.memory = MemoryAccount(1_000_000)
        self.server = InfoServer(
            Address(*self.address),
            self.answer,
            CurrentTable(),
            FakeClock(),
            UnansweredConnections(self.telemetry),
            self.memory,
            ServerBounds(connections, 4, 65_536),
        )

    def answer(self, path, query):
        self.asked.append((path, query))
        return InfoReply("200 OK", b"{}")

    def connect(self):
        return socket.create_connection(self.address, 5.0)


@pytest.fixture
def info():
    info = Info()
    info.server.start()
    assert wait_until(lambda: is_listening(info), 5.0)
    yield info
    info.server._server.stop()


def is_listening(info):
    try:
        info.connect().close()
    except OSError:
        return False
    return True


def read_all(client):
    received = b""
    with contextlib.suppress(OSError):
        while part := client.recv(65_536):
            received += part
    return received


def test_probes_are_answered_on_one_connection(info):
    with info.connect() as client:
        for _ in range(2):
            client.sendall(PROBE)
            answer = client.recv(1_024)
            assert answer.startswith(b"HTTP/1.1 200 OK")
            assert answer.endswith(b"{}")
    assert info.asked == [("/v1/readyz", "a=b%20c")] * 2


# Guards against probes of HTTP/1.0 that are refused, as they send no Host.
def test_an_old_probe_is_answered(info):
    with info.connect() as client:
        client.sendall(b"GET /v1/readyz HTTP/1.0\r\n\r\n")
        assert read_all(client).startswith(b"HTTP/1.1 200")


# Guards against requests sent ahead that keep the processor from others.
def test_requests_sent_ahead_are_not_answered(info):
    with info.connect() as client:
        client.sendall(PROBE * 5)
        answer = read_all(client)
    assert answer.count(b"HTTP/1.1 200") == 1
    assert b"Connection: close" in answer


# Guards against bodies that are read, or asked for, where none is of use.
@pytest.mark.parametrize(
    "framing", ["Content-Length: 1000000000", "Transfer-Encoding: chunked"]
)
def test_a_body_is_refused_without_reading_it(info, framing):
    with info.connect() as client:
        client.sendall(f"POST / HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode())
        answer = client.recv(1_024)
    assert answer.startswith(b"HTTP/1.1 413")
    assert info.asked == []
    assert info.memory.peak_bytes == 0


# Guards against fields that aren't paid for, and against a single request
# within the limits that is refused though there is memory.
def test_fields_are_paid_for_as_long_as_they_are_held(info):
    fields = "".join(f"{number:x}:\r\n" for number in range(500))
    with info.connect() as client:
        client.sendall(f"GET / HTTP/1.1\r\nHost: h\r\n{fields}\r\n".encode())
        assert client.recv(1_024).startswith(b"HTTP/1.1 200")
    assert info.memory.peak_bytes > 400_000
    assert wait_until(lambda: info.memory.held_bytes == 0, 5.0)
    info.memory.limit_bytes = 100_000
    with info.connect() as client:
        client.sendall(f"GET / HTTP/1.1\r\nHost: h\r\n{fields}\r\n".encode())
        answer = read_all(client)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: " in answer
    assert len(info.asked) == 1


# Guards against clients that keep all connections, so that no other can
# connect.
def test_idle_clients_make_room_at_the_bound():
    info = Info(connections=4)
    info.server.start()
    assert wait_until(lambda: is_listening(info), 5.0)
    with contextlib.ExitStack() as clients:
        for _ in range(8):
            clients.enter_context(info.connect())
        asking = clients.enter_context(info.connect())
        asking.sendall(PROBE)
        assert asking.recv(1_024).startswith(b"HTTP/1.1 200")
    key = (CounterName.BOUNDED_CONNECTIONS, "descriptors")
    assert info.telemetry._counters[key] >= 4
    info.server._server.stop()


class Handler:
    """Keeps the requests that were run."""

    def __init__(self):
        self.ran = []

    def handle(self, request, responder):
        self.ran.append(request.request_id)
        responder.respond(200, (), b"whole")


def request(request_id, length):
    return (
        f"POST /a HTTP/1.1\r\nHost: h\r\nX-Waxwingwinch-Request-Id: {request_id}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


# Guards against slow bodies that keep all threads, and against a request that
# ran although its caller was told otherwise.
def test_slow_bodies_are_cut_as_others_need_their_threads(monkeypatch):
    limits = CallerLimits(header_timeout_seconds=0.5)
    monkeypatch.setattr(FrontServer, "limits", property(lambda _: limits))
    handler, address = Handler(), ("127.0.0.1", free_port())
    server = FrontServer(
        Address(*address),
        handler,  # type: ignore[arg-type]
        PlatformRequestDecoder(),
        CurrentTable(),
        SystemClock(),
        1,
        UnansweredConnections(Telemetry()),
        MemoryAccount(10**9),
    )
    server.start_in_background()
    with contextlib.ExitStack() as clients:
        slow = []
        for number in range(server.requests.max):
            client = clients.enter_context(socket.create_connection(address, 5.0))
            client.sendall(request(f"slow-{number}", 1_000))
            slow.append(client)
        asking = clients.enter_context(socket.create_connection(address, 5.0))
        asking.settimeout(0.1)
        asking.sendall(request("asking", 0))
        answer = b""
        while not answer and server.requests.qsize:
            for client in slow:
                with contextlib.suppress(OSError):
                    client.sendall(b"x")
            with contextlib.suppress(TimeoutError):
                answer = asking.recv(1_024)
        asking.settimeout(5.0)
        answer = answer or asking.recv(1_024)
        assert answer.startswith(b"HTTP/1.1 200")
    server.stop()
    assert handler.ran == ["asking"]
