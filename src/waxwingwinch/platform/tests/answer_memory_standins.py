"""Upstreams that send much, and callers that read slowly."""

import http.client
import select
import socket
import threading
import time
import zlib

from attrs import frozen

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

MEGABYTE = 1_000_000
PART = bytes(range(256)) * 256
#: What an upstream sends of an answer without end; the connection stays open.
ENDLESS_BYTES = 120 * MEGABYTE
READ_BYTES = 65_536
#: How long a caller in these tests waits for its answer.
PATIENCE_SECONDS = 20.0


def body_parts(size_bytes):
    """Yield the parts of the body of an answer of some size."""
    while size_bytes > 0:
        part = PART[:size_bytes]
        size_bytes -= len(part)
        yield part


def checksum(size_bytes):
    """Return the checksum of the body of an answer of some size."""
    value = 0
    for part in body_parts(size_bytes):
        value = zlib.crc32(part, value)
    return value


class LargeHandler(UpstreamHandler):
    """Answers as the path says: ``/a/size/BYTES``, or without end."""

    def serve(self):
        self.body()
        kind, _, argument = self.path.strip("/").partition("/")[2].partition("/")
        try:
            getattr(self, f"send_{kind.replace('-', '_')}")(argument)
        except OSError:
            self.close_connection = True

    def begin(self, *framing, media_type="text/plain", end=b"\r\n"):
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Waxwingwinch-Request-Id: {request_id}",
            "X-Waxwingwinch-Response-Stamp: stamp",
            f"Content-Type: {media_type}",
            *framing,
        ]
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n" + end)

    def send_size(self, argument):
        self.begin(f"Content-Length: {int(argument)}")
        if self.command == "HEAD":
            return
        for part in body_parts(int(argument)):
            self.wfile.write(part)

    def send_chunked_size(self, argument):
        self.begin("Transfer-Encoding: chunked")
        for part in body_parts(int(argument)):
            self.send_chunk(part)
        self.wfile.write(b"0\r\n\r\n")

    def send_unframed_size(self, argument):
        self.begin("Connection: close")
        for part in body_parts(int(argument)):
            self.wfile.write(part)
        self.close_connection = True

    def send_cut(self, argument):
        """Break off after a number of bytes of a body twice as long."""
        self.begin(f"Content-Length: {2 * int(argument)}")
        for part in body_parts(int(argument)):
            self.wfile.write(part)
        self.close_connection = True

    def send_endless_chunked(self, _):
        self.begin("Transfer-Encoding: chunked")
        self.send_endless(self.send_chunk, PART)

    def send_endless_unframed(self, _):
        self.begin("Connection: close")
        self.send_endless(self.wfile.write, PART)

    def send_huge_length(self, _):
        self.begin("Content-Length: 1000000000000")
        self.send_endless(self.wfile.write, PART)

    def send_endless_head(self, _):
        self.begin(end=b"")
        self.send_endless(self.wfile.write, b"X-More: " + b"a" * 60_000 + b"\r\n")

    def send_endless_line(self, _):
        self.begin(end=b"")
        self.send_endless(self.wfile.write, b"a" * 60_000)

    def send_endless_trailer(self, _):
        self.begin("Transfer-Encoding: chunked")
        self.send_chunk(b"body")
        self.wfile.write(b"0\r\n")
        self.send_endless(self.wfile.write, b"X-More: " + b"a" * 6_000 + b"\r\n")

    def send_endless_event(self, _):
        self.begin("Transfer-Encoding: chunked", media_type="text/event-stream")
        self.send_chunk(b"id: 1\ndata: t\n\n")
        self.send_endless(self.send_chunk, b"data: " + b"a" * 60_000 + b"\n")

    def send_long_event(self, argument):
        """Send a part of an event, and the rest after a while."""
        self.begin("Transfer-Encoding: chunked", media_type="text/event-stream")
        self.send_chunk(b"id: 1\ndata: t\n\ndata: " + b"a" * int(argument))
        time.sleep(2.0)
        self.send_chunk(b"\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def send_events(self, argument):
        """Send events of 60 kB up to a number of bytes."""
        self.begin("Transfer-Encoding: chunked", media_type="text/event-stream")
        for number in range(1, int(argument) // 60_000 + 1):
            self.send_chunk(b"id: %d\ndata: %b\n\n" % (number, b"a" * 60_000))
        self.wfile.write(b"0\r\n\r\n")

    def send_chunk(self, data):
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_endless(self, send, part):
        for _ in range(ENDLESS_BYTES // len(part)):
            send(part)
        # Closed by the reader, or by its process.
        select.select((self.connection,), (), (), PATIENCE_SECONDS)


class LargeUpstream(UpstreamStandin):
    """Stand-in for an upstream with large answers and many slots."""

    handler = LargeHandler

    def put(self, store):
        self.sequence += 1
        registration = {
            "service": "shop",
            "address": f"{HOST}:{self.port}",
            "zone": "north",
            "slots": 300,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": self.sequence,
            "born": 1_000,
        }
        store.put("servers", self.name, registration)


@frozen
class Outcome:
    """
    What a caller got.

    :param status: HTTP status; 0 if there was no head.
    :param size_bytes: Size of the body read.
    :param checksum: Checksum of the body read.
    :param is_whole: True if the answer looked complete.
    :param first_seconds: Time until the first bytes of the body.
    """

    status: int
    size_bytes: int = 0
    checksum: int = 0
    is_whole: bool = False
    first_seconds: float = 0.0


class MemoryHarness:
    """A gateway with a memory limit, and its callers."""

    def __init__(self, folder, memory_mb, limits=None):
        self.store = StoreStandin()
        self.upstreams = [LargeUpstream("u1"), LargeUpstream("u2")]
        configuration = make_configuration(1)
        for route in configuration["routes"]:
            route["timeoutMs"] = int(PATIENCE_SECONDS * 1_000)
        configuration["limits"].update(limits or {})
        configuration["services"][0]["maxConns"] = 1_000
        self.store.put("op", "config", configuration)
        for upstream in self.upstreams:
            upstream.put(self.store)
        self.gateway = Gateway(
            folder, self.store, "edge", more_settings=f"limits.memoryMb={memory_mb}\n"
        )
        self._numbers = iter(range(1_000_000))
        assert wait_until(lambda: self.call("/a/size/10").status == 200)

    def stop(self):
        self.gateway.stop()
        self.store.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def peak_megabytes(self):
        """Return the largest resident size of the process so far."""
        with open(f"/proc/{self.gateway.process.pid}/status") as status:
            fields = dict(line.split(":", 1) for line in status)
        return int(fields["VmHWM"].split()[0]) * 1_024 / MEGABYTE

    def is_running(self):
        return self.gateway.process.poll() is None

    def headers(self):
        return {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"request-{next(self._numbers)}",
            "X-Waxwingwinch-Deadline-Ms": str(int(PATIENCE_SECONDS * 1_000)),
            "X-Waxwingwinch-Key": KEY,
        }

    def open(self, path, method="POST"):
        """Send a request with a small receive buffer."""
        connection = http.client.HTTPConnection(HOST, self.gateway.front, timeout=30)
        connection.sock = socket.socket()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        connection.sock.settimeout(30.0)
        connection.sock.connect((HOST, self.gateway.front))
        connection.request(method, path, b"", self.headers())
        return connection

    def call(self, path, bytes_per_second=None, pause_seconds=0.0, method="POST"):
        """Send a request and read its answer at a rate, after a pause."""
        started_seconds = time.monotonic()
        try:
            connection = self.open(path, method)
        except OSError:
            return Outcome(0)
        try:
            response = connection.getresponse()
        except (OSError, http.client.HTTPException):
            connection.close()
            return Outcome(0)
        size_bytes, value, first_seconds, is_whole = 0, 0, 0.0, False
        try:
            while part := response.read(READ_BYTES):
                first_seconds = first_seconds or time.monotonic() - started_seconds
                size_bytes += len(part)
                value = zlib.crc32(part, value)
                time.sleep(pause_seconds)
                pause_seconds = 0.0
                if bytes_per_second is not None:
                    time.sleep(len(part) / bytes_per_second)
            is_whole = response.length in (None, 0)
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            connection.close()
        return Outcome(response.status, size_bytes, value, is_whole, first_seconds)

    def call_at_once(self, count, path, bytes_per_second=None):
        """Return the outcomes of callers that send at once."""
        outcomes = []
        threads = [
            threading.Thread(
                target=lambda: outcomes.append(self.call(path, bytes_per_second))
            )
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return outcomes
