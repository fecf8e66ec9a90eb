"""Upstreams that answer a long upload at once and reset the connection."""

import socket
import threading
import time

import pytest

from waxwingwinch._types import Address
from waxwingwinch.gateway import UpstreamConnection
from waxwingwinch.http import AnswerMissing, HttpRequest, exchange
from waxwingwinch.platform.tests.standin import reset_on_close

BODY = bytes(3_000_000)


def read_by_gateway(address):
    connection = UpstreamConnection(address, 1.0)
    try:
        connection.send("POST", "/x", [("Host", "h")], BODY, 1.0)
        connection.read_head(1.0)
        return connection.read_all(1.0)
    finally:
        connection.close()


def read_by_exchange(address):
    return exchange(address, HttpRequest("POST", "/x", (), BODY), 1.0).body


def answer_in_part(listener, head, delay_seconds):
    connection, _ = listener.accept()
    connection.recv(1_024)
    connection.sendall(b"HTTP/1.1 200 OK\r\n" + head + b"\r\npart")
    time.sleep(delay_seconds)
    reset_on_close(connection)
    connection.close()


# Guards against a part of a response that looks complete, since the write of
# the request has consumed the error of the reset.
@pytest.mark.parametrize("read", [read_by_gateway, read_by_exchange])
@pytest.mark.parametrize("head", [b"", b"Content-Length: 12\r\n"])
@pytest.mark.parametrize("delay_seconds", [0.0, 0.01, 0.3])
def test_a_part_before_a_reset_is_no_answer(read, head, delay_seconds):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=answer_in_part, args=(listener, head, delay_seconds)
        )
        server.start()
        with pytest.raises(AnswerMissing):
            read(Address(*listener.getsockname()))
        server.join()
