import socket
import threading
import time

from waxwingwinch._types import Address
from waxwingwinch.http import HttpRequest, exchange


def serve_late(listener, delay_seconds):
    connection, _ = listener.accept()
    with connection:
        connection.recv(65_536)
        time.sleep(delay_seconds)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")


def test_an_answer_may_take_longer_than_a_connection():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=serve_late, args=(listener, 0.5), daemon=True).start()
        address = Address("127.0.0.1", listener.getsockname()[1])
        reply = exchange(address, HttpRequest("GET", "/"), 5.0, 0.2)
    assert reply.body == b"late"
