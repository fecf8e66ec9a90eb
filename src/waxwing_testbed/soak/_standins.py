"""Stand-ins of the store and upstreams that fail when told to."""

import contextlib
import itertools
import select
import socket
import struct
import time
from collections.abc import Iterable
from urllib.parse import parse_qs, urlsplit

from waxwing_testbed.soak._events import Run, RunEnd
from waxwing_testbed.soak._recorder import Recorder, make_body, make_event
from waxwing_testbed.soak._schedule import Action
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.platform.tests.standin import (
    HOST,
    Standin,
    StoreHandler,
    StoreStandin,
    UpstreamHandler,
)

SERVICE = "shop"
ZONE = "north"
HEARTBEAT_SECONDS = 1.2
#: Interval between two looks at the mode.
_LOOK_SECONDS = 0.05
#: Large answers come in pieces, so that faults hit them in their middle.
_PIECE_BYTES = 65_536
_PIECE_SECONDS = 0.005
#: ``struct linger`` that makes closing send a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


#: Malformed heads, with the id of the request and the signature of the run.
_MALFORMED_HEADS = (
    b"HTTP/1.1 200 OK\r\n%b%bContent-Length: +9\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%b%bTransfer-Encoding: gzip\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%b%bgarbage\r\nContent-Length: 9\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%b%bX\x01A: a\r\nContent-Length: 9\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n%b%bX A: a\r\nContent-Length: 9\r\n\r\n",
    b"HTTP/1.x 200 OK\r\n%b%bContent-Length: 9\r\n\r\n",
    b"HTTP/1.1 000 OK\r\n%b%bContent-Length: 9\r\n\r\n",
)
#: Follows a malformed head; an event, so that a stream would look complete.
_MALFORMED_BODY = b"data: x\n\n"


class _FailingStoreHandler(StoreHandler):
    def handle(self) -> None:
        with contextlib.suppress(ConnectionError):
            super().handle()

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        is_answered = self.owner.mode not in (Action.STORE_LOSING, Action.STORE_SILENT)
        while self.owner.mode is Action.STORE_SILENT:
            time.sleep(_LOOK_SECONDS)
        if is_answered:
            super().respond(status, body, headers)
        else:
            self.close_connection = True


class SoakStore(StoreStandin):
    """The platform's store."""

    handler = _FailingStoreHandler

    def __init__(self) -> None:
        #: How it fails at present; None if it doesn't.
        self.mode: Action | None = None
        super().__init__()

    def set_mode(self, mode: Action | None) -> None:
        """
        Begin or end a disruption.

        :param mode: How it fails; None for a sound store.
        """
        self.mode = mode
        self.is_down = mode is Action.STORE_DOWN


class _BrokenOff(Exception):
    """The upstream ends its work by itself."""


class _Malformed(Exception):
    """The upstream has sent a malformed answer."""


class _SoakUpstreamHandler(UpstreamHandler):
    def handle(self) -> None:
        with contextlib.suppress(ConnectionError):
            super().handle()

    def serve(self) -> None:
        body = self.body()
        if len(body) < int(self.headers.get("Content-Length", 0)):
            self.close_connection = True
            return
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        if request_id is None:
            # A health check.
            self.respond(200)
            return
        recorder = self.owner.recorder
        started_seconds = recorder.now()
        stamp = f"{self.owner.name}-{next(self.owner.numbers)}"
        end = RunEnd.WHOLE
        try:
            self._answer(request_id, stamp)
        except _BrokenOff:
            end = RunEnd.BROKEN
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
            self.connection.close()
        except _Malformed:
            end = RunEnd.BROKEN
        except OSError:
            end = RunEnd.ABANDONED
        self.close_connection |= end is not RunEnd.WHOLE
        if body != make_body(request_id, len(body)):
            stamp = "another body"
        run = Run(request_id, stamp, started_seconds, recorder.now(), end)
        recorder.record(run)

    def _answer(self, request_id: str, stamp: str) -> None:
        query = {
            name: int(values[0])
            for name, values in parse_qs(urlsplit(self.path).query).items()
        }
        events = query.get("events", 0)
        last = int(self.headers.get("Last-Event-Id", 0))
        self._pause(query.get("ms", 0) / 1_000)
        if self.owner.mode is Action.UPSTREAM_MALFORMED:
            self._answer_malformed(request_id, stamp)
        self.send_response(200)
        self.send_header("X-Waxwingwinch-Request-Id", request_id)
        self.send_header("X-Waxwingwinch-Response-Stamp", stamp)
        if not events:
            body = make_body(request_id, query.get("size", 100))
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            for start in range(0, len(body), _PIECE_BYTES):
                self.wfile.write(body[start : start + _PIECE_BYTES])
                self._pause(_PIECE_SECONDS)
            return
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(last + 1, events + 1):
            if number == events // 2 and not last:
                self._pause(query.get("silent", 0) / 1_000)
            event = make_event(request_id, number)
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            self._pause(query.get("gap", 0) / 1_000)
        self.wfile.write(b"0\r\n\r\n")

    def _answer_malformed(self, request_id: str, stamp: str) -> None:
        head = next(self.owner.malformed_heads) % (
            b"X-Waxwingwinch-Request-Id: %b\r\n" % request_id.encode(),
            b"X-Waxwingwinch-Response-Stamp: %b\r\n" % stamp.encode(),
        )
        self.wfile.write(head + _MALFORMED_BODY)
        raise _Malformed

    def _pause(self, seconds: float) -> None:
        """Work for a time; fail if the upstream or the gateway ends it."""
        end_seconds = time.monotonic() + seconds
        while True:
            if self.owner.mode is Action.UPSTREAM_RESET:
                raise _BrokenOff
            is_silent = self.owner.mode is Action.UPSTREAM_SILENT
            left_seconds = end_seconds - time.monotonic()
            if left_seconds <= 0 and not is_silent:
                return
            wait_seconds = _LOOK_SECONDS if is_silent else left_seconds
            select.select([self.connection], [], [], min(wait_seconds, _LOOK_SECONDS))
            if is_closed_by_peer(self.connection):
                raise ConnectionResetError("closed by the gateway")


class SoakUpstream(Standin):
    """
    An upstream that answers as the query of a request asks.

    :param name: Its id.
    :param store: Where it registers.
    :param recorder: Keeps its runs.
    """

    handler = _SoakUpstreamHandler

    def __init__(self, name: str, store: SoakStore, recorder: Recorder) -> None:
        self.name = name
        self.recorder = recorder
        self._store = store
        #: Numbers of its runs.
        self.numbers = itertools.count(1)
        #: Heads that it sends while its answers are malformed.
        self.malformed_heads = itertools.cycle(_MALFORMED_HEADS)
        #: How it fails at present; None if it doesn't.
        self.mode: Action | None = None
        self._sequence = 0
        self._born = int(time.time() * 1_000)
        super().__init__()
        #: Port under which it registers; another one behind a proxy.
        self.public_port = self.port

    def set_mode(self, mode: Action | None) -> None:
        """
        Begin or end a disruption.

        :param mode: How it fails; None for a sound upstream.
        """
        if mode is None and self.mode is Action.LEAVE:
            # Nothing comes back from leaving but a new start.
            self._born = int(time.time() * 1_000)
        self.mode = mode
        self._register()

    def keep_registered(self) -> None:
        """Write its entry now and then, until the soak ends."""
        self._register()
        while not self.recorder.stopping.wait(HEARTBEAT_SECONDS):
            self._register()

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "service": SERVICE,
            "address": f"{HOST}:{self.public_port}",
            "zone": ZONE,
            "slots": 64,
            "state": "draining" if self.mode is Action.LEAVE else "ready",
            "coldLeftMs": 0,
            "seqNo": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)
