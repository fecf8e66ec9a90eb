"""Answers to requests whose bodies are still being sent."""

import selectors
import socket
import threading

import pytest

from waxwingwinch.gateway import _lingering_close
from waxwingwinch.gateway._lingering_close import LingeringCloser
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.platform.tests.standin import wait_until
from waxwingwinch.platform.tests.test_front import AnsweringHandler, front_server

PART = bytes(65_536)
LENGTH = 6_000_000


def send_and_read(address, head):
    """Send a whole request, then read the answer."""
    with socket.create_connection((address.host, address.port), 5.0) as caller:
        caller.sendall(head)
        for _ in range(LENGTH // len(PART)):
            caller.sendall(PART)
        answer = b""
        while piece := caller.recv(1_024):
            answer += piece
        return answer


# Guards against answers that are lost, as the connection is reset while the
# caller still sends its body.
@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"X-Waxwingwinch-Request-Id: r\r\nContent-Length: 6000000", b"413"),
        (b"Content-Length: 4000000", b"400"),
        (b"Content-Length: 6000000\r\nContent-Length: 6000000", b"400"),
        (b"X-Waxwingwinch-Request-Id: r\r\nTransfer-Encoding: chunked", b"400"),
    ],
)
def test_a_caller_that_still_sends_gets_the_answer(head, status):
    with front_server(AnsweringHandler()) as (address, _):
        request = b"POST /a HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n" % head
        answer = send_and_read(address, request)
    assert answer.startswith(b"HTTP/1.1 %b " % status)
    assert b"Connection: close\r\n" in answer


def lingering_pair(clock):
    """Return a closer and the caller's end of a connection given to it."""
    caller, connection = socket.socketpair()
    caller.settimeout(0.05)
    closer = LingeringCloser(clock)
    closer.add(connection)
    return closer, caller


def is_closed(caller):
    try:
        caller.sendall(b"x")
    except TimeoutError:
        return False
    except OSError:
        return True
    return False


# Guards against connections that callers hold open without end.
def test_a_connection_is_closed_after_a_time():
    clock = FakeClock()
    _, caller = lingering_pair(clock)
    with caller:
        assert caller.recv(1) == b""
        assert not wait_until(lambda: is_closed(caller), 0.5)
        clock.seconds += _lingering_close.LINGER_SECONDS
        assert wait_until(lambda: is_closed(caller), 2.0)


# Guards against reading a body without end.
def test_a_connection_is_closed_after_an_amount(monkeypatch):
    monkeypatch.setattr(_lingering_close, "LINGER_BYTES", 100_000)
    _, caller = lingering_pair(FakeClock())
    with caller:
        caller.sendall(bytes(50_000))
        assert not wait_until(lambda: is_closed(caller), 0.5)
        caller.sendall(bytes(60_000))
        assert wait_until(lambda: is_closed(caller), 2.0)


# Guards against a thread that runs on, or one that is not started again.
def test_the_thread_ends_and_starts_with_the_connections():
    closer, first = lingering_pair(FakeClock())
    first.close()
    assert wait_until(lambda: not closer._is_running, 2.0)
    caller, connection = socket.socketpair()
    closer.add(connection)
    caller.close()
    assert wait_until(lambda: connection.fileno() == -1, 2.0)


# Guards against connections that are never closed, as no thread or descriptor
# was left for the first of them.
@pytest.mark.parametrize("refused", ["thread", "selector"])
def test_connections_are_closed_at_once_if_there_is_no_room(monkeypatch, refused):
    def refuse(*_):
        raise RuntimeError if refused == "thread" else OSError(24, "no descriptor")

    with monkeypatch.context() as patched:
        if refused == "thread":
            patched.setattr(threading.Thread, "start", refuse)
        else:
            patched.setattr(selectors, "DefaultSelector", refuse)
        closer, first = lingering_pair(FakeClock())
        assert wait_until(lambda: is_closed(first), 2.0)
        assert wait_until(lambda: not closer._is_running, 2.0)
    first.close()
    caller, connection = socket.socketpair()
    closer.add(connection)
    caller.close()
    assert wait_until(lambda: connection.fileno() == -1, 2.0)


# Guards against lingering connections that take all descriptors.
def test_the_oldest_connection_is_closed_beyond_the_maximum(monkeypatch):
    monkeypatch.setattr(_lingering_close, "MAX_LINGERING", 1)
    closer, first = lingering_pair(FakeClock())
    second, connection = socket.socketpair()
    closer.add(connection)
    with first, second:
        assert wait_until(lambda: is_closed(first), 2.0)
        assert not is_closed(second)
