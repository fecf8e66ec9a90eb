"""Stand-in for an engine whose streams fall silent and can be resumed."""

import time

from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.platform.tests.standin import HOST, Standin, UpstreamHandler

EVENTS = 8
EVENT_SECONDS = 0.02


def make_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


STREAM = b"".join(make_event(number) for number in range(1, EVENTS + 1))


class EngineHandler(UpstreamHandler):
    def serve(self):
        self.body()
        owner = self.owner
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        last = int(self.headers.get("Last-Event-Id", 0))
        owner.arrivals.append((time.monotonic(), last))
        if owner.rejects(last):
            self.respond(503, b"", [("X-Waxwingwinch-Not-Executed", "busy")])
            return
        try:
            if self.path.endswith("/stream"):
                self.write_stream(request_id, last)
                return
            self.pause(owner.silent_seconds)
            self.respond(200, owner.name.encode(), self.signature(request_id))
        except OSError:
            owner.broken_seconds.append(time.monotonic())

    def write_stream(self, request_id, last):
        owner = self.owner
        if last:
            self.pause(owner.head_seconds)
        self.send_response(200)
        for name, value in self.signature(request_id):
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        if last:
            self.pause(owner.first_event_seconds)
        for number in range(last + 1, EVENTS + 1):
            if number == owner.silent_before and not last:
                self.pause(owner.silent_seconds)
            self.write_chunk(make_event(number))
            self.pause(EVENT_SECONDS)
        self.wfile.write(b"0\r\n\r\n")

    def signature(self, request_id):
        return [
            ("X-Waxwingwinch-Request-Id", request_id),
            ("X-Waxwingwinch-Response-Stamp", f"stamp-{self.owner.name}"),
        ]

    def pause(self, seconds):
        """Do nothing for a while; fail once the connection is closed."""
        end_seconds = time.monotonic() + seconds
        while time.monotonic() < end_seconds:
            if is_closed_by_peer(self.connection):
                raise ConnectionResetError("closed by the gateway")
            time.sleep(0.005)

    def write_chunk(self, data):
        # Separate writes, so that parts of a chunk arrive before a silence.
        for part in (b"%x\r\n" % len(data), data[:4], data[4:], b"\r\n"):
            self.wfile.write(part)


class EngineStandin(Standin):
    """Stand-in for an engine whose streams can be resumed."""

    handler = EngineHandler

    def __init__(self, name):
        self.name = name
        self.sequence = 0
        self.silent_before = 0
        self.silent_seconds = 0.0
        self.head_seconds = 0.0
        #: Time from the head of a resumed stream to its first event.
        self.first_event_seconds = 0.0
        self.rejects = lambda last: False
        self.arrivals = []
        self.broken_seconds = []
        super().__init__()

    def register(self, store):
        self.sequence += 1
        registration = {
            "service": "shop",
            "address": f"{HOST}:{self.port}",
            "zone": "north",
            "slots": 60,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": self.sequence,
            "born": 1_000,
        }
        store.put("servers", self.name, registration)
