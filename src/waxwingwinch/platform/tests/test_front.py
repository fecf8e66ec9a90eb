"""Requests that the server of callers can't parse, or gets as it stops."""

import contextlib
import socket
import threading
import time
from typing import Any

import pytest

from waxwingwinch._types import Address
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front import FrontConnection, FrontServer
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform._requests import PlatformRequestDecoder


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
            while not server.under_way:
                time.sleep(0.01)
            stop_reading = FrontConnection.stop_reading

            def send_and_stop(connection):
                caller.sendall(
                    b"GET /a HTTP/1.1\r\nHost: h\r\n"
                    b"X-Waxwingwinch-Request-Id: r\r\n\r\n"
                )
                time.sleep(0.3)
                stop_reading(connection)

            monkeypatch.setattr(FrontConnection, "stop_reading", send_and_stop)
            server.close_to_callers()
            handler.may_look.set()
            caller.settimeout(5.0)
            assert caller.recv(1_000).startswith(b"HTTP/1.1 200")
    assert handler.seen == [False]
