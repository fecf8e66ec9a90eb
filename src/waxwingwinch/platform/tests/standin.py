"""Stand-ins for the store and upstreams, with the platform's protocol."""

import base64
import http.client
import json
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import frozen

from waxwingwinch.peers.tests.ports import free_port

SOURCE = Path(__file__).resolve().parents[3]
HOST = "127.0.0.1"
KEY = "key-alice"
WAIT_SECONDS = 15.0


def wait_until(predicate, timeout_seconds=WAIT_SECONDS):
    """Poll a condition until it holds or time is up; return its value."""
    end_seconds = time.monotonic() + timeout_seconds
    while time.monotonic() < end_seconds:
        if predicate():
            return True
        time.sleep(0.02)
    return bool(predicate())


def reset_on_close(connection: socket.socket) -> None:
    """
    Let closing a connection reset it, in place of an orderly end.

    :param connection: The connection.
    """
    # struct linger with a timeout of 0.
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Head and body are separate writes, so Nagle's algorithm would delay the
    # body.
    disable_nagle_algorithm = True
    owner: Any

    def log_message(self, format, *arguments):
        """Suppress the access log in the test output."""

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        try:
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    # Hundreds of requests may arrive at once, and the test process may pause;
    # beyond the backlog, the kernel drops their connections.
    request_queue_size = 1_024


class Standin:
    """An HTTP server in threads of the test process."""

    handler: type[BaseHTTPRequestHandler]

    def __init__(self) -> None:
        outer = self

        class Handler(self.handler):  # type: ignore[name-defined,misc]
            owner = outer

        self.server = _Server((HOST, 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class StoreHandler(QuietHandler):
    def do_GET(self):
        self.route()

    def do_POST(self):
        self.route()

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        if self.owner.era is not None:
            headers = [*headers, ("Store-Era", str(self.owner.era))]
        super().respond(status, body, headers)

    def route(self):
        body = self.body()
        with self.owner.changed:
            self.owner.calls += 1
        if self.owner.is_down:
            self.respond(503)
            return
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        match url.path:
            case "/v1/log-append":
                self.append(query, body)
            case "/v1/log-read":
                self.read(query)
            case "/v1/log-newest":
                self.newest(query)
            case _:
                self.respond(404)

    def append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self.owner.changed:
            topic = self.owner.topics.setdefault(query["topic"], [])
            end = len(topic)
            if "at" in query and int(query["at"]) != end:
                self.respond(412, json.dumps({"end": end}).encode())
                return
            topic.extend(records)
            self.owner.changed.notify_all()
        reply = {"offset": end, "end": end + len(records)}
        self.respond(200, json.dumps(reply).encode())

    def read(self, query):
        start = int(query["from"])
        wait_seconds = int(query.get("waitMs", 0)) / 1_000
        with self.owner.changed:
            era = self.owner.era
            topic = self.owner.topics.setdefault(query["topic"], [])
            self.owner.changed.wait_for(
                lambda: len(topic) > start or self.owner.era != era, wait_seconds
            )
            records = list(self.owner.topics.get(query["topic"], []))
        if start > len(records):
            self.respond(410, json.dumps({"first": 0}).encode())
            return
        page = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            page += struct.pack(">I", len(record)) + record
        self.respond(200, page)

    def newest(self, query):
        newest, end = self.owner.newest(query["topic"])
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        reply = {"items": items, "hasMore": False, "end": end}
        self.respond(200, json.dumps(reply).encode())


def split_keyed(record):
    """Split a record of a keyed topic into its key and value."""
    length = record[0]
    return record[1 : 1 + length].decode(), record[1 + length :]


class StoreStandin(Standin):
    """Stand-in for the platform's store."""

    handler = StoreHandler

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.changed = threading.Condition()
        self.is_down = False
        self.calls = 0
        #: Number of returns from an older copy; None without the header.
        self.era: int | None = None
        super().__init__()

    def copy(self):
        """Return a copy to which the store may return."""
        with self.changed:
            return {topic: list(records) for topic, records in self.topics.items()}

    def restore(self, copy):
        """Return from an older copy; the offsets since are given out again."""
        with self.changed:
            self.topics = {topic: list(records) for topic, records in copy.items()}
            self.era = (self.era or 0) + 1
            self.changed.notify_all()

    def put(self, topic: str, key: str, value: Any) -> None:
        encoded = key.encode()
        payload = json.dumps(value).encode() if value is not None else b""
        record = bytes([len(encoded)]) + encoded + payload
        with self.changed:
            self.topics.setdefault(f"keyed.{topic}", []).append(record)
            self.changed.notify_all()

    def newest(self, topic):
        """Return value and offset of each key, and the topic's end offset."""
        newest = {}
        with self.changed:
            records = list(self.topics.get(topic, []))
        for offset, record in enumerate(records):
            key, value = split_keyed(record)
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest, len(records)


@frozen
class Arrival:
    """When a request reached an upstream."""

    at_seconds: float
    request_id: str


class UpstreamHandler(QuietHandler):
    def do_GET(self):
        self.serve()

    def do_HEAD(self):
        self.serve()

    def do_POST(self):
        self.serve()

    def serve(self):
        body = self.body()
        owner = self.owner
        request_id = self.headers["X-Waxwingwinch-Request-Id"]
        owner.requests.append((self.path, dict(self.headers.items()), body))
        owner.arrivals.append(Arrival(time.monotonic(), request_id))
        signed = [
            ("X-Waxwingwinch-Request-Id", request_id),
            ("X-Waxwingwinch-Response-Stamp", f"stamp-{owner.name}"),
        ]
        if owner.limit_per_second is not None:
            if owner.named_seconds is None:
                owner.named_seconds = time.monotonic()
            signed.append(("Server-Limit", str(owner.limit_per_second)))
        if owner.return_seconds is not None:
            refusal = [
                ("X-Waxwingwinch-Not-Executed", "busy"),
                ("Retry-After", str(owner.return_seconds)),
            ]
            self.respond(503, b"", [*signed, *refusal])
            return
        if self.path.endswith("/stream"):
            self.stream(signed)
            return
        time.sleep(owner.work_seconds)
        if owner.drops_responses:
            self.close_connection = True
            return
        self.respond(200, b"from " + owner.name.encode(), signed)

    def stream(self, signed):
        self.send_response(200)
        for name, value in signed:
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            for number in range(1, self.owner.events + 1):
                event = b"id: %d\ndata: t\n\n" % number
                self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                time.sleep(self.owner.pause_seconds)
            self.wfile.write(b"0\r\n\r\n")
            self.owner.finished += 1
        except OSError:
            self.owner.broken += 1


class UpstreamStandin(Standin):
    """Stand-in for an upstream of a plain service."""

    handler = UpstreamHandler

    def __init__(self, name):
        self.name = name
        self.requests = []
        self.arrivals = []
        self.limit_per_second = None
        #: Seconds for which it turns requests away; None if it takes them.
        self.return_seconds = None
        #: Monotonic time of the first answer that names the limit.
        self.named_seconds = None
        self.work_seconds = 0.0
        self.drops_responses = False
        self.slots = 6
        self.cold_ms = 0
        self.events = 5
        self.pause_seconds = 0.01
        self.finished = 0
        self.broken = 0
        self.sequence = 0
        super().__init__()

    def register(self, store, state="ready"):
        self.sequence += 1
        registration = {
            "service": "shop",
            "address": f"{HOST}:{self.port}",
            "zone": "north",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": self.cold_ms,
            "seqNo": self.sequence,
            "born": 1_000,
        }
        store.put("servers", self.name, registration)


def make_configuration(version, keys=(KEY,), prefix="/a/", quota=None):
    """
    Return a configuration with three routes.

    Route ``r`` is idempotent, ``s`` streaming and ``u`` non-idempotent. The
    quota is a dictionary of the platform's quota fields.
    """
    route = {
        "host": "shop.example",
        "timeoutMs": 4000,
        "sloMs": 500,
        "service": "shop",
        "attempts": 2,
    }
    return {
        "version": version,
        "routes": [
            {**route, "name": "r", "pathPrefix": prefix, "routeKind": "idempotent"},
            {**route, "name": "s", "pathPrefix": "/s/", "routeKind": "streaming"},
            {**route, "name": "u", "pathPrefix": "/u/", "routeKind": "non_idempotent"},
        ],
        "services": [{"name": "shop", "maxConns": 100}],
        "limits": {"maxBodyBytes": 10_000},
        "tenants": [{"name": "alice", "apiKeys": list(keys), **(quota or {})}],
    }


class Gateway:
    """A gateway process with its own settings file."""

    def __init__(self, folder, store, name, zone="north", more_settings=""):
        ports = sorted(free_port() for _ in range(5))
        first, second, self.front, self.ready, self.directory = ports
        self.peers, self.metrics = first, second
        self.hold_ports()
        settings = folder / f"{name}.conf"
        settings.write_text(
            f"nodeName={name}\nzone={zone}\nzones.{zone}=region\nip={HOST}\n"
            f"listen.front={HOST}:{self.front}\n"
            f"listen.readyAddr={HOST}:{self.ready}\n"
            f"listen.directoryAddr={HOST}:{self.directory}\n"
            f"portRange={first},{second}\nfirstStart=true\n"
            f"platform.address={HOST}:{store.port}\nbounds.graceS=4\n"
            f"{more_settings}"
        )
        self.log = (folder / f"{name}.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "waxwingwinch.platform", str(settings)],
            cwd=SOURCE,
            env={"PYTHONPATH": str(SOURCE)},
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    def is_ready(self):
        """Ask the process whether it takes callers."""
        connection = http.client.HTTPConnection(HOST, self.ready, timeout=2.0)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def hold_ports(self):
        """Do nothing; tests use ports of the gateway before it starts."""

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def stop_all(callers, gateways, store, upstreams):
    """Wait for the callers that were started, and stop all servers."""
    for caller in callers:
        if caller.ident is not None:
            caller.join()
    for server in (*gateways, store, *upstreams):
        server.stop()
