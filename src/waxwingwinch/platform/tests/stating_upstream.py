"""Stand-in for an upstream that states in its answers how it is."""

import json
import threading
import time

from attrs import frozen

from waxwingwinch.gateway._placement import (
    DECODE_SLOWDOWN,
    FIRST_EVENT_SECONDS,
    estimate_prefill_seconds,
)
from waxwingwinch.platform.tests.standin import HOST, Standin, UpstreamHandler

#: Events of a stream.
EVENTS = 5
#: Time between two events.
EVENT_SECONDS = 0.02
#: Event after which a stream that is cut ends.
LAST_EVENT_BEFORE_CUT = 2


@frozen
class Arrival:
    """A request that reached an upstream, and what it was asked to do."""

    at_seconds: float
    request_id: str
    kind: str


class StatingHandler(UpstreamHandler):
    def serve(self):
        self.body()
        owner = self.owner
        arrival = Arrival(
            time.monotonic(),
            self.headers["X-Waxwingwinch-Request-Id"],
            self.kind(),
        )
        with owner.lock:
            owner.arrivals.append(arrival)
        wait_seconds = owner.return_seconds - time.monotonic()
        if wait_seconds > 0:
            owner.record(owner.turned_away, arrival.request_id)
            refusal = [
                ("X-Waxwingwinch-Not-Executed", "busy"),
                ("Retry-After", f"{wait_seconds:.3f}"),
            ]
            self.respond(503, b"", [*self.head_lines(arrival), *refusal])
            return
        try:
            self.answer(arrival)
        except OSError:
            self.close_connection = True

    def kind(self):
        if self.headers["X-Waxwingwinch-Serving-Stage"]:
            return "prefill"
        if self.headers["Last-Event-Id"]:
            return "resume"
        if self.headers["X-Waxwingwinch-Kv-Source"]:
            return "decode"
        return "stream" if self.path.startswith("/s/") else "plain"

    def head_lines(self, arrival):
        """Return the headers of an answer, with the upstream's statements."""
        owner = self.owner
        lines = [
            ("X-Waxwingwinch-Request-Id", arrival.request_id),
            ("X-Waxwingwinch-Response-Stamp", f"stamp-{owner.name}"),
        ]
        if owner.is_leaving:
            owner.record(owner.told_leaving, arrival.request_id)
            lines.append(("Server-Leaving", "1"))
        return lines

    def answer(self, arrival):
        if arrival.kind in ("stream", "decode", "resume"):
            self.write_stream(arrival)
            return
        if arrival.kind == "prefill":
            time.sleep(self.prefill_seconds() + FIRST_EVENT_SECONDS)
            handle = f"kv-{arrival.request_id}"
            body = json.dumps({"kvHandle": handle, "tokens": 1, "version": 1}).encode()
        else:
            time.sleep(self.owner.work_seconds)
            body = self.owner.name.encode()
        self.respond(200, body, self.head_lines(arrival))

    def prefill_seconds(self):
        """
        Return the time of a prefill on a prefill engine of the data sheet.

        Gateways learn how fast engines are. If these answered at once, decode
        engines would seem fast enough to prefill all prompts themselves.
        """
        prompt_tokens = int(self.headers["X-Waxwingwinch-Token-Counts"].split(",")[0])
        return estimate_prefill_seconds(prompt_tokens, cached_tokens=0)

    def write_stream(self, arrival):
        self.send_response(200)
        for name, value in self.head_lines(arrival):
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        if arrival.kind == "stream":
            time.sleep(DECODE_SLOWDOWN * self.prefill_seconds() + FIRST_EVENT_SECONDS)
        first = int(self.headers["Last-Event-Id"] or 0) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: t\n\n" % number
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            if number == LAST_EVENT_BEFORE_CUT and self.owner.cuts_stream(arrival):
                self.close_connection = True
                return
            time.sleep(EVENT_SECONDS)
        self.wfile.write(b"0\r\n\r\n")


class StatingUpstream(Standin):
    """
    Stand-in for an upstream that speaks of itself in its answers.

    :param name: Its id.
    :param service: Name of its service.
    :param stage: Role of an engine; None for a plain upstream.
    """

    handler = StatingHandler

    def __init__(self, name, service, stage=None):
        self.name = name
        self.service = service
        self.stage = stage
        self.lock = threading.Lock()
        self.arrivals = []
        self.is_leaving = False
        #: Monotonic time until which it turns requests away.
        self.return_seconds = 0.0
        self.work_seconds = 0.01
        self.cuts_stream = lambda arrival: False
        #: Monotonic time of the first statement to each instance.
        self.told_leaving = {}
        self.turned_away = {}
        self.sequence = 0
        super().__init__()

    def record(self, first_seconds, request_id):
        """Record when an instance was first told something."""
        with self.lock:
            first_seconds.setdefault(instance_of(request_id), time.monotonic())

    def register(self, store, state="ready"):
        self.sequence += 1
        registration = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-0",
            "slots": 64,
            "state": state,
            "coldLeftMs": 0,
            "seqNo": self.sequence,
            "born": 1_000,
        }
        if self.stage is not None:
            registration["stage"] = self.stage
        store.put("servers", self.name, registration)


def instance_of(request_id):
    """Return the number of the instance that a request was sent to."""
    return int(request_id.split("-")[1])
