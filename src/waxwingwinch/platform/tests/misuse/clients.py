"""Misbehaving clients: what they send, and how they keep on."""

import contextlib
import itertools
import socket
import threading
from collections.abc import Callable, Iterator

from attrs import define, field, frozen

from waxwingwinch.platform.tests.standin import HOST, KEY

#: Clients at once: more than the threads of a process with ``MAX_FDS``.
CLIENTS = 64
#: Size of a body that the configuration allows.
LEGAL_BYTES = 4_194_304
#: All but the last byte of such a body; shared by the clients.
SHORT_BODY = bytes(LEGAL_BYTES - 1)
#: Header or query fields of a request that stays below ``maxHeaderBytes``.
MANY_FIELDS = 2_200
#: Requests sent ahead on one connection.
PIPELINED = 2_000
#: Pause between two bytes, below each timeout of the configuration, and
#: before a client connects again.
SLOW_SECONDS = 0.3
REST_SECONDS = 0.1
#: Longest wait of a client for the process to take what it sends.
SEND_SECONDS = 3.0


@frozen
class Step:
    """
    Part of what a client sends.

    :param data: Sent in one piece.
    :param pause_seconds: Pause after it.
    """

    data: bytes
    pause_seconds: float = 0.0


def head(target, more="", method="POST", version="1.1"):
    return (
        f"{method} {target} HTTP/{version}\r\nHost: shop.example\r\n"
        f"X-Waxwingwinch-Request-Id: m\r\nX-Waxwingwinch-Key: {KEY}\r\n{more}\r\n"
    ).encode()


def _sized(target, length):
    return Step(head(target, f"Content-Length: {length}\r\n"))


def unfinished_body(target):
    yield _sized(target, LEGAL_BYTES)
    yield Step(SHORT_BODY)


def unfinished_pieces(target):
    length = 131_072
    yield _sized(target, length)
    yield from itertools.repeat(Step(bytes(64)), length // 64 - 1)
    yield Step(bytes(63))


def unfinished_chunks(target):
    yield Step(head(target, "Transfer-Encoding: chunked\r\n"))
    yield from itertools.repeat(Step(b"10\r\n" + bytes(16) + b"\r\n"), 4_000)
    yield Step(b"10\r\n" + bytes(15))


def huge_length(target):
    yield _sized(target, 1_000_000_000)
    yield from itertools.repeat(Step(bytes(65_536)))


def endless_chunks(target):
    yield Step(head(target, "Transfer-Encoding: chunked\r\n"))
    yield from itertools.repeat(Step(b"10000\r\n" + bytes(65_536) + b"\r\n"))


def many_header_fields(target):
    fields = "".join(f"{number:x}:\r\n" for number in range(MANY_FIELDS))
    yield Step(head(target, f"{fields}Content-Length: 0\r\n"))


def many_query_fields(target):
    query = "&".join(f"a{number}=" for number in range(MANY_FIELDS))
    yield Step(head(f"{target}?{query}", method="GET"))


def pipelined_unread(target):
    yield Step(head(target, method="GET") * PIPELINED)


def slow_head(target):
    for byte in head(target, f"X-Long: {'x' * 4_000}\r\n"):
        yield Step(bytes([byte]), SLOW_SECONDS)


def slow_body(target):
    yield _sized(target, 10_000)
    yield from itertools.repeat(Step(b"x", SLOW_SECONDS), 9_999)


def unfinished_head(target):
    yield Step(head(target)[:-2])


def silent(target):
    yield from ()


def old_version(target):
    yield Step(head(target, "Connection: Keep-Alive\r\n", "GET", "1.0") * 50)


def expecting_without_body(target):
    yield Step(head(target, "Expect: 100-continue\r\nContent-Length: 100000\r\n"))


def upgraded(target):
    key = "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    key += "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
    yield Step(head(target, key, "GET"))
    yield Step(b"\x82\xff" + LEGAL_BYTES.to_bytes(8) + bytes(4))
    yield Step(SHORT_BODY)


#: What clients send, by name.
SENDERS: dict[str, Callable[[str], Iterator[Step]]] = {
    sender.__name__: sender
    for sender in (
        unfinished_body,
        unfinished_pieces,
        unfinished_chunks,
        huge_length,
        endless_chunks,
        many_header_fields,
        many_query_fields,
        pipelined_unread,
        slow_head,
        slow_body,
        unfinished_head,
        silent,
        old_version,
        expecting_without_body,
        upgraded,
    )
}
SENDERS["slow_reader"] = pipelined_unread
#: Senders whose clients read a byte at a time; the others read nothing.
READING = ("slow_reader",)
#: Senders whose clients leave and return once a request has been sent.
RETURNING = ("many_header_fields", "many_query_fields", "old_version")


@define(eq=False)
class Crowd:
    """
    Clients that send the same, and connect again when they were closed.

    :param port: Port that they connect to.
    :param target: Path that they ask for.
    :param kind: Name of what they send.
    """

    port: int
    target: str
    kind: str
    leaving: threading.Event = field(factory=threading.Event)
    threads: list[threading.Thread] = field(factory=list)

    def __enter__(self):
        for _ in range(CLIENTS):
            thread = threading.Thread(target=self.run, daemon=True)
            thread.start()
            self.threads.append(thread)
        return self

    def __exit__(self, *_):
        self.leaving.set()
        for thread in self.threads:
            thread.join(2 * SEND_SECONDS)

    def run(self):
        while not self.leaving.wait(REST_SECONDS):
            with (
                contextlib.suppress(OSError),
                socket.create_connection((HOST, self.port), SEND_SECONDS) as client,
            ):
                self.misbehave(client)

    def misbehave(self, client):
        for step in SENDERS[self.kind](self.target):
            # A client that the process has stopped reading stays connected.
            with contextlib.suppress(TimeoutError):
                client.sendall(step.data)
            if self.leaving.wait(step.pause_seconds):
                return
        if self.kind in RETURNING:
            client.settimeout(SEND_SECONDS)
            client.recv(1_024)
            return
        client.settimeout(SLOW_SECONDS)
        flags = 0 if self.kind in READING else socket.MSG_PEEK
        while not self.leaving.wait(SLOW_SECONDS):
            with contextlib.suppress(TimeoutError):
                if not client.recv(1, flags):
                    return
