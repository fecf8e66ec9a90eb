"""Requests whose request line the server of callers can't parse."""

import contextlib
import socket
from typing import Any

import pytest

from waxwingwinch._types import Address
from waxwingwinch.gateway._current_table import CurrentTable
from waxwingwinch.gateway._front import FrontServer
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform._requests import PlatformRequestDecoder


class AnsweringHandler:
    def handle(self, request, responder):
        responder.respond(200, (), b"whole")


@contextlib.contextmanager
def front_server():
    address = Address("127.0.0.1", free_port())
    handler: Any = AnsweringHandler()
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
        yield address
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
    with front_server() as address:
        assert status_of(address, target) == b"400"
        assert status_of(address, b"/a") == b"200"
