"""
Stand-ins for the platform, engines and clients, for the scripts of the review.

Python's standard library only. All servers listen on 127.0.0.1 at free ports.
Behaviour that the users' pages don't name is that of a sound server.
"""

import base64
import http.client
import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_HOST = "stitch.example"
KEY = "key-of-circle-1"
TENANT = "circle-1"
PREFIX = "X-Waxwingwinch-"
#: Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with its time."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, who, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} s  {who:<10} {text}\n")
            self._file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Say nothing about connections that break."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        """Write no access log."""

    def read_body(self):
        """Read the whole body; return its first bytes, all of a short one."""
        left, first = int(self.headers.get("Content-Length", 0)), b""
        while left:
            part = self.rfile.read(min(left, 65536))
            if not part:
                raise ConnectionError("the body was cut off")
            left, first = left - len(part), first or part
        return first

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def is_closed(self):
        """Tell whether the other side has closed the connection."""
        poller = select.poll()
        poller.register(self.connection, select.POLLIN)
        try:
            return (
                bool(poller.poll(0)) and self.connection.recv(1, socket.MSG_PEEK) == b""
            )
        except OSError:
            return True


def serve_again(handler, owner, port):
    """Serve at a port that was used before; 0 for a free one."""
    bound = type("Bound", (handler,), {"owner": owner})
    server = Server((HOST, port), bound)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


def serve(handler, owner):
    server = serve_again(handler, owner, 0)
    return server, server.server_address[1]


class StoreHandler(Handler):
    def do_GET(self):
        self.route()

    def do_POST(self):
        self.route()

    def route(self):
        body, url = self.read_body(), urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/v1/log-append":
                self.append(query, body)
            case "/v1/log-read":
                self.read(query)
            case "/v1/log-newest":
                self.newest(query)
            case _:
                self.reply(404)

    def append(self, query, body):
        records = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self.owner.changed:
            log = self.owner.topics.setdefault(query["topic"], [])
            end = len(log)
            if "at" in query and int(query["at"]) != end:
                self.reply(412, json.dumps({"end": end}).encode())
                return
            log.extend(records)
            self.owner.changed.notify_all()
        answer = {"offset": end, "end": end + len(records)}
        self.reply(200, json.dumps(answer).encode())

    def read(self, query):
        start, wait = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        with self.owner.changed:
            log = self.owner.topics.setdefault(query["topic"], [])
            self.owner.changed.wait_for(lambda: len(log) > start, wait)
            records = list(log)
        page = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            page += struct.pack(">I", len(record)) + record
        self.reply(200, page)

    def newest(self, query):
        newest = {}
        with self.owner.changed:
            records = list(self.owner.topics.get(query["topic"], []))
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        answer = {"items": items, "hasMore": False, "end": len(records)}
        self.reply(200, json.dumps(answer).encode())


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.topics, self.changed = {}, threading.Condition()
        self.server, self.port = serve(StoreHandler, self)

    def put(self, topic, key, value):
        payload = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + payload
        with self.changed:
            self.topics.setdefault(f"keyed.{topic}", []).append(record)
            self.changed.notify_all()


class Beats:
    """Registers an engine in the store, about every 1.2 s."""

    def __init__(self, store, record, name, service, zone):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.sequence, self.born, self.port = 0, 0, 0
        self.is_up, self.lock = False, threading.Lock()

    def start(self, port):
        with self.lock:
            self.sequence, self.port = 0, port
            self.born, self.is_up = int(time.time() * 1000), True
        self.beat()
        threading.Thread(target=self._run, args=(self.born,), daemon=True).start()

    def _run(self, born):
        while True:
            time.sleep(1.2)
            with self.lock:
                if not self.is_up or self.born != born:
                    return
            self.beat()

    def stop(self):
        with self.lock:
            self.is_up = False

    def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": self.sequence,
            "born": self.born,
        }
        self.store.put("servers", self.name, entry)


def route(name, path, kind, service, **more):
    return {
        "name": name,
        "host": CLIENT_HOST,
        "pathPrefix": path,
        "routeKind": kind,
        "timeoutMs": 8000,
        "sloMs": 400,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gapTargetMs": 150,
        **more,
    }


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def free_ports(count):
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return sorted(ports)


class Gateway:
    """One instance of the project's program, as the deploy file starts it."""

    def __init__(self, folder, record, store, name, zone="iloilo", more=""):
        first, last, self.front, self.ready, directory = free_ports(5)
        self.record, self.name = record, name
        self.settings = Path(folder) / f"{name}.conf"
        self.log_path = Path(folder) / f"{name}.log"
        self.text = (
            f"nodeName={name}\nrole=gateway\nmachineClass=edge\n"
            f"serves=edge,registry\nip={HOST}\nzone={zone}\nregion=visayas\n"
            "zones.iloilo=visayas\nzones.cebu=visayas\nzones.bacolod=visayas\n"
            f"listen.front={HOST}:{self.front}\n"
            f"listen.readyAddr={HOST}:{self.ready}\n"
            f"listen.directoryAddr={HOST}:{directory}\n"
            f"portRange={first},{last}\nlimits.memoryMb=300\nlimits.maxFds=4100\n"
            "heartbeatMs=1200\nbounds.contactMs=3000\nbounds.drainMs=2000\n"
            "bounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
            "bounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=54\n"
            "bounds.quotaWindowS=8\nbounds.quotaOvershoot=0.1\n"
            "bounds.quotaSlack=190000\nbounds.fencing=true\nbounds.leaseMs=3000\n"
            "bounds.usageWindowS=5\nbounds.usageLateS=10\n"
            f"platform.address={HOST}:{store.port}\nplatform.form=log\n"
            f"platform.keep_s=300\n{more}"
        )
        self.process = None

    def start(self, is_first):
        first = "true" if is_first else "false"
        self.settings.write_text(f"{self.text}firstStart={first}\n")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            # DEPLOY.md names it among the variables that the platform sets.
            # With more arenas a process takes more memory.
            "MALLOC_ARENA_MAX": "1",
            "WAXWINGWINCH_CONFIG": str(self.settings),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "src/run_gateway.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(self.name, f"started, firstStart={first}")

    def signal(self, number):
        self.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def resident_bytes(self):
        """Return the memory of the process; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = [line.split()[1] for line in status.splitlines() if "VmRSS" in line]
        return int(found[0]) * 1024 if found else 0

    def is_ready(self):
        connection = http.client.HTTPConnection(HOST, self.ready, timeout=1.0)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def wait_until(predicate, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if predicate():
            return True
        time.sleep(0.05)
    return bool(predicate())


def first_engine(engines, request_id, seconds):
    """Wait until an engine works on a request; return it, or None."""

    def find():
        return next(
            (
                engine
                for engine in engines
                if any(run["id"] == request_id for run in list(engine.runs))
            ),
            None,
        )

    wait_until(lambda: find() is not None, seconds)
    return find()


class Answer:
    """What a client got: its status (0 for none), headers, body and end."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


def ask(record, gateway, method, path, request_id, body=b"", deadline_ms=8000, more=()):
    """Send one client attempt on a new connection, and record its answer."""
    headers = {
        "Host": CLIENT_HOST,
        PREFIX + "Request-Id": request_id,
        PREFIX + "Deadline-Ms": str(deadline_ms),
        PREFIX + "Key": KEY,
        **dict(more),
    }
    record.write("client", f"sends {request_id}: {method} {path} to {gateway.name}")
    connection = http.client.HTTPConnection(
        HOST, gateway.front, timeout=deadline_ms / 1000
    )
    status, answer_headers, data, is_whole = 0, {}, b"", False
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        status, answer_headers = response.status, dict(response.headers)
        data = response.read()
        is_whole = True
    except http.client.IncompleteRead as error:
        data = error.partial
    except (OSError, http.client.HTTPException) as error:
        record.write("client", f"{request_id}: {error!r}")
    finally:
        connection.close()
    end = "whole" if is_whole else "not whole"
    record.write(
        "client", f"gets {request_id}: {status}, {len(data)} bytes, body {end}"
    )
    return Answer(status, answer_headers, data, is_whole)


def run_script(folder, play):
    """
    Run a script: ``play(record, store, make_gateway, folder)`` returns the
    exit code. All processes that it has started are ended.
    """
    record, gateways = Record(folder), []
    code = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        store = Store()

        def make_gateway(name, zone="iloilo", more=""):
            gateway = Gateway(scratch, record, store, name, zone, more)
            gateways.append(gateway)
            return gateway

        try:
            code = play(record, store, make_gateway)
        except Exception as error:
            record.write("script", f"could not run: {error!r}")
        finally:
            for gateway in gateways:
                gateway.stop()
            if os.environ.get("REVIEW_LOGS"):
                for gateway in gateways:
                    target = Path(os.environ["REVIEW_LOGS"]) / gateway.log_path.name
                    target.write_bytes(gateway.log_path.read_bytes())
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    trouble = "with the disruption" if TROUBLE else "without the disruption"
    record.write("script", f"{trouble}: rule {names[code]}")
    print(f"{names[code]} ({trouble})")
    return code
