"""Stand-ins for the platform of the cases 6 to 10, from the standard library.

They do what PROTOCOL.md says, on loopback addresses. Everything that a server
sees is written to one record.
"""

import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
#: Time that the store takes for an answer, from the sheets.
STORE_ANSWER_SECONDS = 0.004


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():9.3f} {text}\n")
                self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Write no access log."""

    def handle(self):
        try:
            super().handle()
        except OSError:
            self.close_connection = True

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            data = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                data += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return data
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)

    def answer_json(self, status, value):
        body = json.dumps(value).encode()
        self.answer(status, body, (("Content-Type", "application/json"),))


class _HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


class Server:
    """An HTTP server in threads of this process."""

    handler = Handler

    def __init__(self):
        outer = self

        class Bound(self.handler):
            owner = outer

        self.http = _HttpServer((HOST, 0), Bound)
        self.port = self.http.server_address[1]
        self.address = f"{HOST}:{self.port}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()

    def stop(self):
        self.http.shutdown()
        self.http.server_close()


class _StoreHandler(Handler):
    def do_GET(self):
        self.route()

    def do_POST(self):
        self.route()

    def route(self):
        body = self.body()
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.owner.note_call(url.path, query)
        match url.path:
            case "/v1/log-append":
                self.append(query, body)
            case "/v1/log-read":
                self.read(query)
            case "/v1/log-newest":
                self.newest(query)
            case _:
                self.answer(404)

    def late(self):
        time.sleep(self.owner.answer_seconds)

    def append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        at = int(query["at"]) if "at" in query else None
        offset, end = self.owner.append(query["topic"], records, at)
        self.late()
        if offset is None:
            self.answer_json(412, {"end": end})
        else:
            self.answer_json(200, {"offset": offset, "end": end})

    def read(self, query):
        start = int(query["from"])
        wait_seconds = int(query.get("waitMs", 0)) / 1000
        first, end, records = self.owner.read(query["topic"], start, wait_seconds)
        self.late()
        if start < first or start > end:
            self.answer_json(410, {"first": first})
            return
        page = struct.pack(">QQ", end, first)
        for record in records:
            page += struct.pack(">I", len(record)) + record
        self.answer(200, page)

    def newest(self, query):
        newest, end = self.owner.newest(query["topic"])
        self.late()
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
        ]
        self.answer_json(200, {"items": items, "hasMore": False, "end": end})


class Store(Server):
    """The platform's store; records expire after ``keep_seconds``."""

    handler = _StoreHandler

    def __init__(self, record, keep_seconds=300.0):
        self.record = record
        self.keep_seconds = keep_seconds
        self.answer_seconds = STORE_ANSWER_SECONDS
        self.changed = threading.Condition()
        self.topics = {}
        self.kept_newest = {}
        self.on_append = lambda topic, offset, payload: None
        self.calls = {}
        super().__init__()

    def note_call(self, path, query):
        key = (path, query.get("topic"))
        with self.changed:
            self.calls[key] = self.calls.get(key, 0) + 1

    def _topic(self, name):
        """Return [first offset, records as (time, payload)] without old ones."""
        topic = self.topics.setdefault(name, [0, []])
        oldest = time.monotonic() - self.keep_seconds
        while topic[1] and topic[1][0][0] < oldest:
            topic[1].pop(0)
            topic[0] += 1
        return topic

    def append(self, name, payloads, at):
        with self.changed:
            topic = self._topic(name)
            end = topic[0] + len(topic[1])
            if at is not None and at != end:
                return None, end
            for index, payload in enumerate(payloads):
                topic[1].append((time.monotonic(), payload))
                if name.startswith("keyed."):
                    key, value = split_keyed(payload)
                    newest = self.kept_newest.setdefault(name, {})
                    if value:
                        newest[key] = (value, end + index)
                    else:
                        newest.pop(key, None)
            self.changed.notify_all()
        for index, payload in enumerate(payloads):
            self.on_append(name, end + index, payload)
        return end, end + len(payloads)

    def read(self, name, start, wait_seconds):
        def has_more():
            topic = self._topic(name)
            return start < topic[0] or start < topic[0] + len(topic[1])

        with self.changed:
            self.changed.wait_for(has_more, wait_seconds)
            first, records = self._topic(name)
            end = first + len(records)
            return first, end, [payload for _, payload in records[start - first :]]

    def newest(self, name):
        with self.changed:
            topic = self._topic(name)
            return dict(self.kept_newest.get(name, {})), topic[0] + len(topic[1])

    def put(self, topic, key, value):
        encoded = key.encode()
        payload = json.dumps(value).encode() if value is not None else b""
        self.append(f"keyed.{topic}", [bytes([len(encoded)]) + encoded + payload], None)


def split_keyed(payload):
    length = payload[0]
    return payload[1 : 1 + length].decode(), payload[1 + length :]


class _CloudHandler(Handler):
    def do_POST(self):
        call = json.loads(self.body())
        fence = int(self.headers["X-Waxwingwinch-Fence-Token"])
        holder = self.headers["X-Waxwingwinch-Duty-Holder"]
        self.owner.record.write(f"platform {self.path} from {holder} token {fence} {call}")
        self.answer(200)


class Cloud(Server):
    """The platform's API, which takes reports of usage."""

    handler = _CloudHandler

    def __init__(self, record):
        self.record = record
        super().__init__()


def free_ports(count):
    """Return free ports below those that the kernel gives to clients."""
    ports = []
    while len(ports) < count:
        port = random.randint(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return sorted(ports)


class Gateway:
    """A process of the role ``gateway``, started as the deploy file says."""

    def __init__(self, folder, record, name, store, cloud, zones, settings=()):
        self.record, self.name = record, name
        first, last, self.front, ready, directory, control = free_ports(6)
        self.ready_port = ready
        zone = next(iter(zones))
        lines = {
            "nodeName": name, "role": "gateway", "machineClass": "edge",
            "serves": "edge,registry", "ip": HOST, "zone": zone,
            "region": zones[zone],
            **{f"zones.{key}": value for key, value in zones.items()},
            "listen.front": f"{HOST}:{self.front}",
            "listen.readyAddr": f"{HOST}:{ready}",
            "listen.controlAddr": f"{HOST}:{control}",
            "listen.directoryAddr": f"{HOST}:{directory}",
            "portRange": f"{first},{last}",
            "seeds": f"{HOST}:{control}", "firstStart": "true",
            "limits.cpuShare": "0.537", "limits.cores": "2",
            "limits.memoryMb": "300", "limits.maxFds": "4100",
            "discovery": "platform", "entry": "registry", "heartbeatMs": "1200",
            "bounds.drainMs": "2000", "bounds.graceS": "8",
            "bounds.configApplyMs": "2000", "bounds.retryRatio": "0.2",
            "bounds.retryWindowS": "10", "bounds.retrySlack": "54",
            "bounds.leaseMs": "3000", "bounds.thawMs": "300",
            "bounds.usageWindowS": "5", "bounds.fencing": "true",
            "platform.address": store.address, "platform.form": "log",
            "cloud.address": cloud.address, "cloud.duties": "metering",
            **dict(settings),
        }
        self.settings = Path(folder) / f"{name}.conf"
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        self._log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["WAXWINGWINCH_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.record.write(f"start {self.name}")
        self.process = subprocess.Popen(
            ["python3", "src/run_gateway.py"], cwd=ROOT, env=environment,
            stdout=self._log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
        )

    def send_signal(self, number):
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                with socket.create_connection((HOST, self.ready_port), 1.0) as probe:
                    probe.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in probe.recv(64):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{self.name} did not get ready")

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._log.close()


class CannotRun(Exception):
    """The case could not run."""


def main(run, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(Path(os.environ.get("RECORD_FOLDER", folder)) / "record.txt")
    try:
        broken = run(record, os.environ.get("TROUBLE", "1") != "0")
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
        sys.exit(2)
    for line in broken:
        record.write(f"BROKEN {line}")
        print(f"BROKEN {line}")
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(verdict)
    print(verdict)
    record.close()
    sys.exit(1 if broken else 0)
