"""An engine whose streams can be resumed, and may pause or crash midway."""

import socket
import struct
import threading
import time

from standins import PREFIX, Beats, Handler, serve, serve_again

EVENTS = 12
EVENT_SECONDS = 0.04
STAMP = PREFIX + "Response-Stamp"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionEnded(Exception):
    """The gateway has closed the connection."""


def event(number):
    return b"id: %d\ndata: piece %d of the answer\n\n" % (number, number)


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class EngineHandler(Handler):
    def setup(self):
        super().setup()
        self.owner.connections.add(self.connection)

    def finish(self):
        self.owner.connections.discard(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def do_GET(self):
        if self.path == "/healthz":
            headers = [(PREFIX + "Instance-Id", self.owner.beats.name)]
            self.reply(200, b"", headers)
        else:
            self.reply(404)

    def do_POST(self):
        owner, request_id = self.owner, self.headers[PREFIX + "Request-Id"]
        body = self.read_body()
        identity = [(PREFIX + "Request-Id", request_id)]
        if self.headers[PREFIX + "Expect-Instance"] != owner.beats.name:
            own = (PREFIX + "Instance-Id", owner.beats.name)
            self.reply(421, b"", [*identity, own])
            return
        last = int(self.headers.get("Last-Event-Id") or 0)
        run = owner.begin(request_id, last, body)
        try:
            self.write_stream(run, [*identity, (STAMP, f"stamp-{owner.beats.name}")])
            owner.end(run, "ends whole")
        except (ConnectionEnded, OSError):
            self.close_connection = True
            owner.end(run, "is cut off")

    def write_stream(self, run, headers):
        plan = self.owner.plan(run)
        self.work(plan.get("head", 0.0))
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.work(plan.get("first", 0.02))
        for number in range(run["last"] + 1, EVENTS + 1):
            if number == plan.get("pause_before"):
                self.work(plan["pause"])
            data = event(number)
            self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            self.work(EVENT_SECONDS)
            if number == plan.get("crash_after"):
                self.owner.crash()
                raise ConnectionEnded
        self.wfile.write(b"0\r\n\r\n")

    def work(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.owner.is_down or self.is_closed():
                raise ConnectionEnded
            time.sleep(0.005)


class Engine:
    """
    A language engine that is registered in the store.

    ``plan_of(engine, run)`` returns how it answers: ``head`` and ``first`` are
    seconds of work before the head and the first event, ``pause`` those before
    event ``pause_before``, ``crash_after`` the event after which it crashes.
    """

    def __init__(self, store, record, name, zone, plan_of, away_seconds=3.0):
        self.record, self.plan_of = record, plan_of
        self.beats = Beats(store, record, name, "tahi-llm", zone)
        self.store, self.away_seconds = store, away_seconds
        self.connections, self.is_down = set(), False
        self.runs, self.crashes, self.lock = [], [], threading.Lock()
        self.start()

    def start(self):
        self.is_down = False
        self.server, self.port = serve(EngineHandler, self)
        self.beats.start(self.port)

    def plan(self, run):
        return self.plan_of(self, run)

    def begin(self, request_id, last, body):
        run = {
            "id": request_id,
            "last": last,
            "body": body,
            "began": self.record.now(),
            "ended": None,
            "engine": self.beats.name,
        }
        with self.lock:
            self.runs.append(run)
        self.record.write(
            self.beats.name, f"begins to work on {request_id} after event {last}"
        )
        return run

    def end(self, run, how):
        run["ended"] = self.record.now()
        took = run["ended"] - run["began"]
        self.record.write(
            self.beats.name, f"its work on {run['id']} {how} after {took:.3f} s"
        )

    def refuse_connections(self, seconds):
        """
        Reset new connections for a while, and go on with those that are open.

        Without a listening socket, the system resets them.
        """
        self.record.write(self.beats.name, f"is full for {seconds} s")
        self.server.shutdown()
        self.server.socket.close()
        threading.Timer(seconds, self._listen_again).start()

    def _listen_again(self):
        self.server = serve_again(EngineHandler, self, self.port)
        self.record.write(self.beats.name, "takes connections again")

    def crash(self):
        """Reset all connections, refuse new ones, and come back later."""
        with self.lock:
            if self.is_down:
                return
            self.is_down = True
            self.crashes.append(self.record.now())
        self.record.write(self.beats.name, "crashes")
        self.beats.stop()
        self.server.socket.shutdown(socket.SHUT_RDWR)
        for connection in list(self.connections):
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self._come_back, daemon=True).start()

    def _come_back(self):
        self.server.shutdown()
        self.server.server_close()
        time.sleep(self.away_seconds)
        self.start()
        self.record.write(self.beats.name, "is back, a new incarnation")
