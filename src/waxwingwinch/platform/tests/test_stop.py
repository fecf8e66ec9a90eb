"""Callers of a gateway process during a planned stop."""

import errno
import signal
import socket
import threading
import time

import pytest
from attrs import define, frozen

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    UpstreamStandin,
    wait_until,
)

GRACE_SECONDS = 4.0
#: Fraction of the grace period in which callers use kept connections.
LAST_KEPT_FRACTION = 0.85
WORK_SECONDS = 0.05
BURST_CONNECTIONS = 16
PAUSE_SECONDS = 0.02
#: How long a caller waits for its answer.
WAIT_SECONDS = 6.0


@frozen
class Answer:
    """An answer, or the error in its place."""

    kind: str
    request_id: str
    at_seconds: float
    status: int | None
    headers: dict[str, str]
    error: str = ""


class CallerConnection:
    """A connection that sends whole requests and reads their answers."""

    def __init__(self, port):
        self.socket = socket.create_connection((HOST, port), timeout=WAIT_SECONDS)
        self.stream = self.socket.makefile("rb")

    def send(self, *request_ids):
        requests = [
            f"POST /u/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Waxwingwinch-Request-Id: {request_id}\r\n"
            f"X-Waxwingwinch-Deadline-Ms: 3000\r\nX-Waxwingwinch-Key: {KEY}\r\n"
            f"Content-Length: 4\r\n\r\nbody"
            for request_id in request_ids
        ]
        self.socket.sendall("".join(requests).encode())

    def receive(self):
        """Return status and headers of the next answer once it is whole."""
        status = int(self._line().split()[1])
        headers = {}
        while line := self._line().strip():
            name, _, value = line.partition(": ")
            headers[name] = value
        length = int(headers["Content-Length"])
        if len(self.stream.read(length)) < length:
            raise EOFError("the body ended early")
        return status, headers

    def _line(self):
        line = self.stream.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError(f"the connection ended at {line!r}")
        return line.decode()

    def is_closed(self):
        self.socket.setblocking(False)
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
        finally:
            self.socket.settimeout(WAIT_SECONDS)

    def close(self):
        self.stream.close()
        self.socket.close()


@define
class Callers:
    """Callers of all kinds, each in a thread, until the process is gone."""

    gateway: Gateway
    answers: list[Answer]
    refused: int = 0
    count: int = 0
    signalled_seconds: float = 0.0

    def seconds(self):
        return time.monotonic() - self.signalled_seconds

    def connect(self):
        """Connect; return None if that was refused."""
        try:
            return CallerConnection(self.gateway.front)
        except OSError as error:
            if error.errno != errno.ECONNREFUSED:
                self.note("connect", "", error=error)
            elif self.gateway.process.poll() is None:
                self.refused += 1
            return None

    def note(self, kind, request_id, status=None, headers=None, error=None):
        self.answers.append(
            Answer(kind, request_id, self.seconds(), status, headers or {}, repr(error))
        )

    def new_id(self):
        self.count += 1
        return f"r-{threading.get_ident()}-{self.count}"

    def receive(self, kind, connection, request_id):
        """Read an answer; return whether the connection can be kept."""
        try:
            status, headers = connection.receive()
        except (OSError, EOFError) as error:
            self.note(kind, request_id, error=error)
            return False
        self.note(kind, request_id, status, headers)
        return headers.get("Connection") != "close"

    def exchange(self, kind, connection, *request_ids):
        """Send requests together, read their answers."""
        try:
            connection.send(*request_ids)
        except OSError as error:
            self.note(kind, request_ids[0], error=error)
            return False
        # Each is read: a whole request is owed an answer.
        return all(
            [self.receive(kind, connection, request_id) for request_id in request_ids]
        )

    def until_gone(self, play):
        while self.gateway.process.poll() is None:
            play()
            time.sleep(PAUSE_SECONDS)

    def call_anew(self):
        if connection := self.connect():
            self.exchange("new", connection, self.new_id())
            connection.close()

    def call_in_pairs(self):
        if connection := self.connect():
            self.exchange("pipelined", connection, self.new_id(), self.new_id())
            connection.close()

    def call_in_bursts(self):
        connections = [
            connection
            for _ in range(BURST_CONNECTIONS)
            if (connection := self.connect())
        ]
        sent = [(connection, self.new_id()) for connection in connections]
        for connection, request_id in sent:
            try:
                connection.send(request_id)
            except OSError as error:
                self.note("burst", request_id, error=error)
        for connection, request_id in sent:
            self.receive("burst", connection, request_id)
            connection.close()

    def call_kept(self):
        connection = self.connect()
        while (
            connection
            and self.seconds() < LAST_KEPT_FRACTION * GRACE_SECONDS
            and self.exchange("kept", connection, self.new_id())
        ):
            time.sleep(PAUSE_SECONDS)
        if connection:
            connection.close()

    def call_late(self, connection, at_seconds):
        """Send a request on a connection that has been idle since a first."""
        time.sleep(max(at_seconds - self.seconds(), 0.0))
        if not connection.is_closed():
            self.exchange("late", connection, self.new_id())
        connection.close()


@pytest.fixture
def upstream(store):
    upstream = UpstreamStandin("u1")
    upstream.work_seconds = WORK_SECONDS
    upstream.register(store)
    yield upstream
    upstream.stop()


def kept_connections(callers, count):
    """Return connections that have carried one request each."""
    connections = []
    for _ in range(count):
        connection = callers.connect()
        assert callers.exchange("first", connection, callers.new_id())
        connections.append(connection)
    return connections


def stop(process, paused_seconds):
    """Send SIGTERM, and SIGKILL at the end of the grace period."""
    process.send_signal(signal.SIGTERM)
    started_seconds = time.monotonic()
    if paused_seconds:
        process.send_signal(signal.SIGSTOP)
        time.sleep(paused_seconds)
        process.send_signal(signal.SIGCONT)
    end_seconds = started_seconds + GRACE_SECONDS
    while process.poll() is None and time.monotonic() < end_seconds:
        time.sleep(0.01)
    if process.poll() is None:
        process.kill()


def play(callers, late, paused_seconds):
    """Let all callers call while the process stops."""
    callers.signalled_seconds = time.monotonic()
    plays = (callers.call_anew, callers.call_in_pairs, callers.call_in_bursts)
    threads = [
        threading.Thread(target=callers.until_gone, args=(play,))
        for play in (*plays, callers.call_kept, callers.call_kept)
    ]
    pause_seconds = LAST_KEPT_FRACTION * GRACE_SECONDS / len(late)
    threads += [
        threading.Thread(
            target=callers.call_late, args=(connection, number * pause_seconds)
        )
        for number, connection in enumerate(late, 1)
    ]
    for thread in threads:
        thread.start()
    stop(callers.gateway.process, paused_seconds)
    for thread in threads:
        thread.join()


# Guards against requests that a stopping process leaves without an answer:
# their connections are accepted, or kept, and closed unread.
@pytest.mark.parametrize("paused_seconds", [0.0, 0.6])
def test_a_stop_leaves_no_request_without_an_answer(
    tmp_path, store, gateways, upstream, paused_seconds
):
    gateways.append(Gateway(tmp_path, store, "edge"))
    assert wait_until(gateways[0].is_ready)
    callers = Callers(gateways[0], [])
    late = kept_connections(callers, 24)
    play(callers, late, paused_seconds)
    assert [answer for answer in callers.answers if answer.status is None] == []
    assert gateways[0].process.wait() == 0
    # While the process runs, new connections are refused at last.
    assert callers.refused > 0
    statuses = {answer.status for answer in callers.answers}
    assert statuses == {200, 503}
    ran = {arrival.request_id for arrival in upstream.arrivals}
    turned_away = [answer for answer in callers.answers if answer.status == 503]
    assert [a for a in turned_away if a.request_id in ran] == []
    assert [a for a in turned_away if "Retry-After" not in a.headers] == []
