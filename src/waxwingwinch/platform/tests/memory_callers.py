"""Callers with long bodies, and an upstream that keeps none of them."""

import contextlib
import fcntl
import select
import socket
import struct
import termios
import threading
import time
from pathlib import Path

from attrs import define, field

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamHandler,
    UpstreamStandin,
    make_configuration,
    wait_until,
)

#: The longest body that the configuration allows.
MAX_BODY_BYTES = 4_194_304
PART = bytes(65_536)
BYTES_PER_MB = 1_048_576
#: Longest time for which a caller waits for its answer.
ANSWER_SECONDS = 12.0


class DiscardingHandler(UpstreamHandler):
    def body(self):
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            left -= len(self.rfile.read(min(left, len(PART))))
        return b""


class DiscardingUpstream(UpstreamStandin):
    """Keeps the ids of its requests, but not their bodies."""

    handler = DiscardingHandler

    @property
    def request_ids(self):
        return {arrival.request_id for arrival in self.arrivals}


@define(eq=False)
class Caller:
    """
    Sends one request in parts and reads the answer.

    :param port: Port of the gateway.
    :param request_id: Id of the request.
    :param length: Length of the body; None for chunks without end.
    :param sent_bytes: How much of the body is sent.
    :param pause_seconds: Pause between two parts.
    """

    port: int
    request_id: str
    length: int | None = MAX_BODY_BYTES
    sent_bytes: int | None = MAX_BODY_BYTES
    pause_seconds: float = 0.0
    answer: bytes = b""
    error: str = ""
    thread: threading.Thread = field(init=False)

    def __attrs_post_init__(self):
        self.thread = threading.Thread(target=self.run, daemon=True)

    @property
    def status(self):
        """Status of the answer; 0 if there was none."""
        is_whole = b"\r\n\r\n" in self.answer
        return int(self.answer.split(b" ", 2)[1]) if is_whole else 0

    def run(self):
        try:
            with socket.create_connection((HOST, self.port), 5.0) as connection:
                connection.settimeout(ANSWER_SECONDS)
                self.send(connection)
                while piece := connection.recv(65_536):
                    self.answer += piece
                    if self.status:
                        return
        except OSError as error:
            self.error = repr(error)

    def send(self, connection):
        framing = (
            "Transfer-Encoding: chunked"
            if self.length is None
            else f"Content-Length: {self.length}"
        )
        connection.sendall(
            "POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Waxwingwinch-Request-Id: {self.request_id}\r\n"
            "X-Waxwingwinch-Deadline-Ms: 9000\r\n"
            f"X-Waxwingwinch-Key: {KEY}\r\n{framing}\r\n\r\n".encode()
        )
        if self.length is None:
            self.send_chunks(connection)
            return
        left = self.sent_bytes or 0
        while left > 0:
            connection.sendall(PART[:left])
            left -= len(PART)
            time.sleep(self.pause_seconds)

    def send_ahead(self, connection):
        """Send until nothing is taken; return what the gateway's side took."""
        connection.settimeout(0.5)
        sent_bytes = 0
        with contextlib.suppress(TimeoutError):
            while sent_bytes < 10 * MAX_BODY_BYTES:
                sent_bytes += connection.send(PART)
        (unsent_bytes,) = struct.unpack(
            "i", fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4))
        )
        return sent_bytes - unsent_bytes

    def send_chunks(self, connection):
        """Send chunks until an answer arrives."""
        chunk = b"%x\r\n%b\r\n" % (len(PART), PART)
        while not select.select((connection,), (), (), self.pause_seconds)[0]:
            connection.sendall(chunk)


class MemoryHarness:
    """A gateway process with a limit of memory, a store and an upstream."""

    def __init__(self, folder, memory_mb, work_seconds=0.0):
        self.store, self.upstream = StoreStandin(), DiscardingUpstream("u1")
        self.upstream.work_seconds = work_seconds
        self.upstream.slots = 1_000
        configuration = make_configuration(1)
        configuration["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        configuration["services"][0]["maxConns"] = 1_000
        self.store.put("op", "config", configuration)
        self.upstream.register(self.store)
        self.gateway = Gateway(
            folder,
            self.store,
            f"edge-{memory_mb}",
            more_settings=f"limits.memoryMb={memory_mb}\nlimits.maxFds=4100\n",
        )
        self.count = 0

    def __enter__(self):
        assert wait_until(lambda: self.call(self.caller(length=0)).status == 200)
        return self

    def __exit__(self, *_):
        self.gateway.stop()
        self.store.stop()
        self.upstream.stop()

    def caller(self, **options):
        self.count += 1
        options.setdefault("sent_bytes", options.get("length", MAX_BODY_BYTES))
        return Caller(self.gateway.front, f"request-{self.count}", **options)

    def call(self, *callers):
        """Let callers send their requests at once; return the last."""
        for caller in callers:
            caller.thread.start()
        for caller in callers:
            caller.thread.join(2 * ANSWER_SECONDS)
        return callers[-1]

    def memory_mb(self, name="VmHWM"):
        """Return a figure of the process's memory, by default its peak."""
        status = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        return int(status.split(f"{name}:")[1].split()[0]) / 1_024
