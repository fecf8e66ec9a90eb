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
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.gateway._telemetry import Telemetry
from waxwingwinch.gateway._unanswered import UnansweredConnections
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
        UnansweredConnections(Telemetry()),
        MemoryAccount(10**9),
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


def connect(address):
    return socket.create_connection((address.host, address.port), 5.0)


# Guards against connections in the listen queue that a stop resets.
def test_connections_of_the_queue_are_answered_as_listening_ends(monkeypatch):
    with front_server(AnsweringHandler()) as (address, server):
        callers: list[socket.socket] = []
        accept = server._connections._from_server_socket

        def connect_and_accept(listener):
            # More connections arrive while the queue is emptied.
            if len(callers) < 20:
                callers.append(connect(address))
                callers[-1].sendall(REQUEST)
            return accept(listener)

        monkeypatch.setattr(
            server._connections, "_from_server_socket", connect_and_accept
        )
        callers.append(connect(address))
        callers[-1].sendall(REQUEST)
        server.stop_listening(5.0)
        with pytest.raises(ConnectionRefusedError):
            connect(address)
        assert len(callers) == 20
        for caller in callers:
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")
            caller.close()


def test_no_handshake_begins_once_they_are_refused():
    with front_server(AnsweringHandler()) as (address, server):
        with connect(address) as before:
            server.refuse_handshakes()
            with pytest.raises(TimeoutError):
                socket.create_connection((address.host, address.port), 0.3)
            before.sendall(REQUEST)
            assert before.recv(1_000).startswith(b"HTTP/1.1 200")


# Guards against requests on kept connections that a stop closes unread.
def test_kept_connections_are_closed_only_if_nothing_has_arrived(monkeypatch):
    with front_server(AnsweringHandler()) as (address, server):
        idle, used = connect(address), connect(address)
        for caller in (idle, used):
            caller.sendall(REQUEST)
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")
        deadline_seconds = time.monotonic() + 5.0
        while server.under_way and time.monotonic() < deadline_seconds:
            time.sleep(0.01)
        close_idle = server._close_idle

        def send_and_close():
            used.sendall(REQUEST)
            close_idle()

        monkeypatch.setattr(server, "_close_idle", send_and_close)
        server.begin_stop()
        server.close_to_callers()
        server.close_idle(5.0)
        assert idle.recv(1_000) == b""
        answer = used.recv(1_000)
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in answer
        idle.close()
        used.close()


def test_pipelined_requests_are_all_answered_during_a_stop():
    with front_server(AnsweringHandler()) as (address, server):
        server.begin_stop()
        with connect(address) as caller:
            caller.sendall(REQUEST * 3)
            received = b""
            while part := caller.recv(1_000):
                received += part
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.count(b"Connection: close") == 1


class LargeHandler:
    """Answers with more than the buffers of a connection hold."""

    body = bytes(16 * 1_024 * 1_024)

    def handle(self, request, responder):
        responder.respond(200, (), self.body)


# Guards against answers that are cut if a caller pauses reading for longer
# than it may take to send the head of a request.
def test_a_caller_may_pause_reading_its_answer(monkeypatch):
    limits = CallerLimits(header_timeout_seconds=0.3, idle_timeout_seconds=5.0)
    monkeypatch.setattr(FrontServer, "limits", limits)
    with front_server(LargeHandler()) as (address, _), connect(address) as caller:
        caller.sendall(REQUEST)
        time.sleep(1.0)
        received = 0
        while received < len(LargeHandler.body):
            part = caller.recv(1_048_576)
            assert part, f"the answer ends after {received} bytes"
            received += len(part)


# Guards against a request that arrives as its connection expires, as many do
# at once when the configuration shortens the idle timeout.
def test_a_request_that_arrives_before_its_connection_expires_is_answered(
    monkeypatch,
):
    limits = CallerLimits(idle_timeout_seconds=60.0)
    monkeypatch.setattr(FrontServer, "limits", limits)
    with front_server(AnsweringHandler()) as (address, server):
        with connect(address) as caller:
            caller.sendall(REQUEST)
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")
            close_idle = server._connections._close_idle

            def send_and_close(expired):
                # Only the first look comes right after a request.
                monkeypatch.setattr(server._connections, "_close_idle", close_idle)
                caller.sendall(REQUEST)
                close_idle(expired)

            monkeypatch.setattr(server._connections, "_close_idle", send_and_close)
            shortened = CallerLimits(idle_timeout_seconds=-1.95)
            time.sleep(0.2)
            monkeypatch.setattr(FrontServer, "limits", shortened)
            # The server looks for idle connections after an event.
            connect(address).close()
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")


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


class FailingHandler:
    """Fails in the middle of an answer, as for lack of memory."""

    def handle(self, request, responder):
        responder.begin(200, ())
        responder.write(b"half")
        raise MemoryError


# Guards against half an answer that looks complete to a caller who finds its
# end by that of the connection (MIXED).
def test_an_unexpected_error_resets_an_answer_that_ends_with_its_connection():
    with front_server(FailingHandler()) as (address, _), connect(address) as caller:
        caller.sendall(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        with pytest.raises(ConnectionResetError):
            while caller.recv(1_024):
                pass


# Guards against kept connections that end with each refusal for memory.
def test_a_request_without_a_body_keeps_its_connection_if_there_is_no_memory():
    class RefusingHandler(AnsweringHandler):
        def refuse_for_memory(self, request, responder, exhausted):
            responder.respond(503, (), b"")

    with front_server(RefusingHandler()) as (address, server):
        server.memory.limit_bytes = 0
        with connect(address) as caller:
            for _ in range(2):
                caller.sendall(REQUEST)
                assert caller.recv(1_024).startswith(b"HTTP/1.1 503")
            server.memory.limit_bytes = 10**9
            caller.sendall(REQUEST)
            assert caller.recv(1_024).startswith(b"HTTP/1.1 200")
