"""Requests that the server of callers can't parse, or gets as it stops."""

import contextlib
import socket
import threading
import time
from typing import Any

import eliot
import pytest
from cheroot.connections import ConnectionManager

from waxwingwinch._types import Address
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front import FrontConnection, FrontServer
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform.tests.standin import wait_until


class AnsweringHandler:
    def handle(self, request, responder):
        responder.respond(200, (), b"whole")


@contextlib.contextmanager
def front_server(handler: Any):
    address = Address("127.0.0.1", free_port())
    server = FrontServer(
        address,
        handler,
        PlatformRequestDecoder(),
        CurrentTable(),
        FakeClock(),
        4,
    )
    server.start_in_background()
    try:
        yield address, server
    finally:
        server.stop()


def status_of(address, target):
    """Return the status of the response to a request for a target."""
    head = b"GET %s HTTP/1.1\r\nHost: h\r\nX-Waxwingwinch-Request-Id: r\r\n\r\n"
    with socket.create_connection((address.host, address.port), 5.0) as connection:
        connection.sendall(head % target)
        return connection.recv(1_024).split(b" ", 2)[1]


# Guards against malformed targets that are answered as a fault of the server.
@pytest.mark.parametrize("target", [b"//[", b"http://[::1", b"//[x]/a"])
def test_a_malformed_target_is_a_bad_request(target):
    with front_server(AnsweringHandler()) as (address, _):
        assert status_of(address, target) == b"400"
        assert status_of(address, b"/a") == b"200"


class ObservingHandler:
    """Tells whether the caller of its request seems to have left."""

    def __init__(self):
        self.may_look = threading.Event()
        self.seen = []

    def handle(self, request, responder):
        self.may_look.wait(5.0)
        watched = request.connection
        self.seen.append(watched is not None and is_closed_by_peer(watched))
        responder.respond(200, (), b"whole")


# Guards against a request that is cancelled as if its caller had left, as it
# arrived while a stopping front ended the reading of its connection.
def test_a_request_that_arrives_as_reading_ends_is_not_cancelled(monkeypatch):
    handler = ObservingHandler()
    with front_server(handler) as (address, server):
        with socket.create_connection((address.host, address.port), 5.0) as caller:
            caller.sendall(b"G")
            while not server.under_way:
                time.sleep(0.01)
            stop_reading = FrontConnection.stop_reading

            def send_and_stop(connection):
                caller.sendall(
                    b"ET /a HTTP/1.1\r\nHost: h\r\nX-Waxwingwinch-Request-Id: r\r\n\r\n"
                )
                time.sleep(0.3)
                stop_reading(connection)

            monkeypatch.setattr(FrontConnection, "stop_reading", send_and_stop)
            server.close_to_callers()
            handler.may_look.set()
            caller.settimeout(5.0)
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")
    assert handler.seen == [False]


REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Waxwingwinch-Request-Id: r\r\n\r\n"


# Guards against kept connections that are closed all at once, or never, as the
# time of day is set.
@pytest.mark.parametrize("step_seconds", [3_600.0, -3_600.0])
def test_idle_connections_end_in_time_whatever_the_time_of_day(
    monkeypatch, step_seconds
):
    wall_seconds = time.time
    timeout_seconds = 2.5
    monkeypatch.setattr(
        FrontServer, "timeout", property(lambda _: timeout_seconds, lambda *_: None)
    )
    with (
        front_server(AnsweringHandler()) as (address, _),
        socket.create_connection((address.host, address.port), 5.0) as caller,
    ):
        caller.sendall(REQUEST)
        assert caller.recv(1_024).startswith(b"HTTP/1.1 200")
        # The server keeps the connection only after it has written the answer.
        time.sleep(0.2)
        monkeypatch.setattr(time, "time", lambda: wall_seconds() + step_seconds)
        time.sleep(1.3)
        assert not is_closed_by_peer(caller)
        time.sleep(3.0)
        assert is_closed_by_peer(caller)


# Guards against callers that connect and send nothing, and take the threads of
# those that ask.
def test_silent_callers_hold_up_no_others():
    with contextlib.ExitStack() as callers:
        address, server = callers.enter_context(front_server(AnsweringHandler()))
        for _ in range(server.requests.max):
            callers.enter_context(
                socket.create_connection((address.host, address.port), 5.0)
            )
        time.sleep(0.2)
        asking = callers.enter_context(
            socket.create_connection((address.host, address.port), 1.0)
        )
        asking.sendall(REQUEST)
        assert asking.recv(1_024).startswith(b"HTTP/1.1 200")


# Guards against log lines on the server's errors that do not say which.
def test_an_error_of_the_server_is_named_in_the_log(monkeypatch):
    messages: list[dict[str, Any]] = []

    def accept(manager, listener):
        listener.accept()[0].close()
        raise MemoryError

    with front_server(AnsweringHandler()) as (address, _):
        monkeypatch.setattr(ConnectionManager, "_from_server_socket", accept)
        eliot.add_destinations(messages.append)
        try:
            socket.create_connection((address.host, address.port), 5.0).close()
            assert wait_until(lambda: reasons_of(messages), 5.0)
        finally:
            eliot.remove_destination(messages.append)
    assert reasons_of(messages) == ["Error in HTTPServer.serve (MemoryError)"]


def reasons_of(messages):
    return [
        message["reason"]
        for message in messages
        if message["message_type"] == "front:server_error"
    ]


# Guards against heads that arrive by the byte and hold their threads for as
# long as their callers like.
def test_a_head_that_arrives_slowly_ends_at_its_timeout(monkeypatch):
    limits = CallerLimits(header_timeout_seconds=0.5)
    monkeypatch.setattr(FrontServer, "limits", property(lambda _: limits))
    with contextlib.ExitStack() as callers:
        address, server = callers.enter_context(front_server(AnsweringHandler()))
        slow = [
            callers.enter_context(
                socket.create_connection((address.host, address.port), 5.0)
            )
            for _ in range(server.requests.max)
        ]
        asking = callers.enter_context(
            socket.create_connection((address.host, address.port), 0.2)
        )
        answer = b""
        for number in range(15):
            for caller in slow:
                with contextlib.suppress(OSError):
                    caller.sendall(REQUEST[number : number + 1])
            if number == 1:
                asking.sendall(REQUEST)
            if number >= 1 and not answer:
                with contextlib.suppress(TimeoutError):
                    answer = asking.recv(1_024)
            time.sleep(0.1)
        assert answer.startswith(b"HTTP/1.1 200")
