"""Stand-in of an engine that crashes when it begins on some requests."""

import socket
import threading
import time
from http.server import BaseHTTPRequestHandler

from waxwingwinch.platform.tests.standin import (
    HOST,
    Standin,
    UpstreamHandler,
    reset_on_close,
    wait_until,
)

#: Time for which a crashed engine is away.
RESTART_SECONDS = 2.0
#: Time from the head of a response to its first event.
FIRST_EVENT_SECONDS = 0.05
#: Body of the request at which engines crash.
DEADLY_BODY = b"deadly"


class EngineHandler(UpstreamHandler):
    def setup(self):
        super().setup()
        self.owner.connections.add(self.connection)

    def finish(self):
        self.owner.connections.discard(self.connection)
        super().finish()

    def serve(self):
        body = self.body()
        prompt = self.headers["X-Waxwingwinch-Prompt-Prefix"] or ""
        parts = [part.partition(":")[0] for part in prompt.split(",")]
        engines, deadly = self.owner.engines, self.owner.engines.deadly_part
        is_deadly = deadly in parts[:-1] or body == DEADLY_BODY
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        engines.arrivals.append((time.monotonic(), request_id, is_deadly))
        try:
            self.write_events(request_id, is_deadly)
        except OSError:
            self.close_connection = True

    def write_events(self, request_id, is_deadly):
        self.send_response(200)
        self.send_header("X-Waxwingwinch-Request-Id", request_id)
        self.send_header("X-Waxwingwinch-Response-Stamp", "stamp")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        time.sleep(FIRST_EVENT_SECONDS)
        if is_deadly:
            self.owner.crash()
            self.close_connection = True
            return
        for number in range(1, 6):
            if self.owner.engines.cuts_stream(request_id, number):
                self.close_connection = True
                return
            event = b"id: %d\ndata: t\n\n" % number
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(0.02)
        self.wfile.write(b"0\r\n\r\n")


class _Incarnation(Standin):
    """One run of an engine, until it crashes."""

    handler: type[BaseHTTPRequestHandler] = EngineHandler

    def __init__(self, engines, name):
        self.engines = engines
        self.name = name
        self.connections = set()
        self.is_down = False
        super().__init__()

    def crash(self):
        """Reset all connections and refuse new ones."""
        with self.engines.lock:
            if self.is_down:
                return
            self.is_down = True
            self.engines.crashes.append(time.monotonic())
        # The listening socket goes first, so that repeats are refused.
        self.server.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(self.connections):
            try:
                reset_on_close(connection)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # Its caller closed it already.
        threading.Thread(target=self.engines.replace, args=(self,)).start()


class CrashingEngines:
    """
    Engines that crash at a part of a prompt or a body.

    They come back under new ids.

    :param store: The store in which they register.
    :param count: Number of engines.
    """

    def __init__(self, store, count):
        self.store = store
        self.deadly_part = "deadly"
        self.arrivals = []
        self.crashes = []
        self.lock = threading.Lock()
        self.is_stopping = False
        self.starts = 0
        #: Decides which streams an engine cuts without crashing.
        self.cuts_stream = lambda request_id, number: False
        self.running = [self.start() for _ in range(count)]

    def start(self):
        with self.lock:
            self.starts += 1
            name = f"engine-{self.starts}"
        engine = _Incarnation(self, name)
        registration = {
            "service": "shop",
            "address": f"{HOST}:{engine.port}",
            "zone": "zone-0",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": 1,
            "born": 1_000 + self.starts,
        }
        self.store.put("servers", name, registration)
        return engine

    def replace(self, crashed):
        """Start another engine some time after a crash."""
        crashed.server.shutdown()
        time.sleep(RESTART_SECONDS)
        self.store.put("servers", crashed.name, None)
        with self.lock:
            if self.is_stopping:
                return
        engine = self.start()
        with self.lock:
            self.running[self.running.index(crashed)] = engine

    def crash_all(self):
        """Let all engines crash at one moment."""
        for engine in list(self.running):
            engine.crash()

    def stop(self):
        with self.lock:
            self.is_stopping = True
        wait_until(lambda: not any(e.is_down for e in self.running), 5.0)
        for engine in self.running:
            engine.stop()
