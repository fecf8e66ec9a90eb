"""Answers to handshakes of peers that violate the grammar of HTTP."""

import contextlib
import re
import socket
import threading

import pytest
from websockets.exceptions import InvalidHandshake
from websockets.sync.client import connect
from websockets.utils import accept_key

from waxwingwinch._types import Address
from waxwingwinch.http.tests.malformed_answers import NO_FIELDS
from waxwingwinch.peers._options import DIAL_OPTIONS

SWITCHED = b"HTTP/1.1 101 Switching Protocols"


@contextlib.contextmanager
def answering_peer(status_line, *fields):
    """Yield the address of a peer that accepts one connection."""

    def serve():
        connection, _ = listener.accept()
        with connection:
            request = connection.recv(65_536)
            (key,) = re.findall(rb"Sec-WebSocket-Key: (\S+)", request)
            lines = (
                status_line,
                b"Upgrade: websocket",
                *fields,
                b"Connection: Upgrade",
                b"Sec-WebSocket-Accept: " + accept_key(key.decode()).encode(),
            )
            connection.sendall(b"\r\n".join(lines) + b"\r\n\r\n")
            while connection.recv(65_536):
                pass

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield Address(*listener.getsockname())
        thread.join(5.0)


@pytest.mark.parametrize("field", [None, b"X-A: a", b"X-A:\xff"])
def test_a_proper_handshake_is_accepted(field):
    fields = () if field is None else (field,)
    with answering_peer(SWITCHED, *fields) as address:
        connection = connect(f"ws://{address}", **DIAL_OPTIONS)
        connection.socket.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("field", NO_FIELDS, ids=repr)
def test_a_handshake_with_a_line_that_is_no_field_is_refused(field):
    with answering_peer(SWITCHED, field) as address:
        with pytest.raises(InvalidHandshake):
            connect(f"ws://{address}", **DIAL_OPTIONS)


@pytest.mark.parametrize(
    "status_line",
    [
        SWITCHED.replace(b"1.1", b"1.x"),
        SWITCHED.replace(b"1.1", b"2.0"),
        SWITCHED.replace(b"101", b"+101"),
        SWITCHED.replace(b"101", b"000"),
        SWITCHED.replace(b"101 ", b"101\t"),
        SWITCHED + b"\x01",
    ],
    ids=repr,
)
def test_a_handshake_with_a_malformed_status_line_is_refused(status_line):
    with answering_peer(status_line) as address:
        with pytest.raises(InvalidHandshake):
            connect(f"ws://{address}", **DIAL_OPTIONS)
