"""The gateway process against stand-ins for the store and upstreams."""

import http.client
import json
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    SOURCE,
    Gateway,
    StoreStandin,
    UpstreamStandin,
    make_configuration,
    wait_until,
)


class PlatformHarness:
    def __init__(self, folder):
        self.folder = folder
        self.store = StoreStandin()
        self.upstreams = [UpstreamStandin("u1"), UpstreamStandin("u2")]
        self.gateways = []
        self.request_count = 0

    def start(self, gateways=1):
        self.store.put("op", "config", make_configuration(1))
        for upstream in self.upstreams:
            upstream.register(self.store)
        for number in range(gateways):
            name = f"edge-{number}"
            self.gateways.append(Gateway(self.folder, self.store, name))
        for gateway in self.gateways:
            assert wait_until(
                lambda checked_gateway=gateway: self.is_ready(checked_gateway)
            )
            assert wait_until(
                lambda checked_gateway=gateway: (
                    self.send_request(gateway=checked_gateway)[0] == 200
                )
            )

    def stop(self):
        for gateway in self.gateways:
            gateway.stop()
        self.store.stop()
        for upstream in self.upstreams:
            upstream.stop()

    def get(self, port, path):
        connection = http.client.HTTPConnection(HOST, port, timeout=5.0)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self, gateway):
        return self.get(gateway.ready, "/v1/readyz")[0] == 200

    def headers(self, key=KEY):
        self.request_count += 1
        return {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"request-{self.request_count}",
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": key,
        }

    def send_request(self, path="/a/x", key=KEY, body=b"", gateway=None):
        gateway = gateway or self.gateways[0]
        connection = http.client.HTTPConnection(HOST, gateway.front, timeout=5.0)
        try:
            connection.request("POST", path, body, self.headers(key))
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        except (OSError, http.client.HTTPException):
            return 0, b"", {}
        finally:
            connection.close()

    def requests(self):
        return sum(len(upstream.requests) for upstream in self.upstreams)


@pytest.fixture
def harness(tmp_path):
    harness = PlatformHarness(tmp_path)
    yield harness
    harness.stop()


def test_a_request_is_relayed_with_its_signature(harness):
    harness.start()
    status, body, headers = harness.send_request(body=b"order")
    assert status == 200
    assert body in (b"from u1", b"from u2")
    assert headers["X-Waxwingwinch-Response-Stamp"].startswith("stamp-")
    sent = [request for upstream in harness.upstreams for request in upstream.requests]
    path, headers, body = next(request for request in sent if request[2] == b"order")
    assert path == "/a/x"
    assert headers["X-Waxwingwinch-Tenant"] == "alice"
    assert "X-Waxwingwinch-Key" not in headers
    assert 0 < int(headers["X-Waxwingwinch-Deadline-Ms"]) <= 3_000


def test_a_stream_is_relayed_event_by_event(harness):
    harness.start()
    for upstream in harness.upstreams:
        upstream.pause_seconds = 0.1
    connection = http.client.HTTPConnection(
        HOST, harness.gateways[0].front, timeout=5.0
    )
    connection.request("POST", "/s/stream", b"", harness.headers())
    response = connection.getresponse()
    started_seconds = time.monotonic()
    first = response.read1()
    assert first.startswith(b"id: 1\n")
    assert time.monotonic() - started_seconds < 0.3
    assert response.read().endswith(b"id: 5\ndata: t\n\n")
    connection.close()


def test_upstream_work_is_cancelled_when_the_caller_disconnects(harness):
    harness.start()
    for upstream in harness.upstreams:
        upstream.events, upstream.pause_seconds = 200, 0.05
    connection = http.client.HTTPConnection(
        HOST, harness.gateways[0].front, timeout=5.0
    )
    connection.request("POST", "/s/stream", b"", harness.headers())
    connection.getresponse().read1()
    connection.close()
    assert wait_until(
        lambda: sum(upstream.broken for upstream in harness.upstreams) == 1, 1.0
    )


def test_new_configurations_take_effect_and_removed_keys_are_refused(harness):
    harness.start()
    harness.store.put("op", "config", make_configuration(4, keys=("new",)))
    assert wait_until(lambda: harness.send_request(key="new")[0] == 200, 2.0)
    assert harness.send_request()[0] == 401
    harness.store.put("op", "config", make_configuration(9, prefix="/b/"))
    assert wait_until(lambda: harness.send_request("/b/x")[0] == 200, 2.0)
    assert harness.send_request("/a/x")[0] == 404
    # An older version that is published later must not take effect.
    harness.store.put("op", "config", make_configuration(5))
    time.sleep(0.3)
    assert harness.send_request("/b/x")[0] == 200


def test_a_draining_upstream_gets_no_requests_after_two_seconds(harness):
    harness.start()
    leaving, staying = harness.upstreams
    leaving.register(harness.store, state="draining")
    time.sleep(1.5)
    before = len(leaving.requests)
    for _ in range(10):
        assert harness.send_request()[1] == b"from u2"
    # A delayed registration record with a lower sequence number must not
    # reactivate it.
    leaving.sequence = 0
    leaving.register(harness.store)
    time.sleep(1.0)
    for _ in range(10):
        assert harness.send_request()[1] == b"from u2"
    assert len(leaving.requests) == before
    assert staying.requests


def test_requests_are_served_while_the_store_is_down(harness):
    harness.start()
    harness.store.is_down = True
    for _ in range(10):
        assert harness.send_request()[0] == 200
        time.sleep(0.1)
    harness.store.is_down = False
    harness.store.put("op", "config", make_configuration(3, prefix="/b/"))
    assert wait_until(lambda: harness.send_request("/b/x")[0] == 200, 3.0)


def test_a_planned_stop_interrupts_no_request(harness):
    harness.start()
    for upstream in harness.upstreams:
        upstream.work_seconds = 1.0
    connection = http.client.HTTPConnection(
        HOST, harness.gateways[0].front, timeout=5.0
    )
    connection.request("POST", "/a/x", b"", harness.headers())
    time.sleep(0.2)
    harness.gateways[0].process.send_signal(signal.SIGTERM)
    response = connection.getresponse()
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    assert response.read().startswith(b"from")
    connection.close()
    assert not harness.is_ready(harness.gateways[0])
    assert harness.gateways[0].process.wait(6.0) == 0


# Guards against requests that are read by a stopping process and cut at its
# end, since requests keep arriving until then (LOST after SIGTERM).
def test_requests_that_arrive_during_a_stop_are_answered_or_not_read(harness):
    harness.start()
    for upstream in harness.upstreams:
        upstream.work_seconds = 0.3
        upstream.requests.clear()
    process = harness.gateways[0].process
    answered = []

    def send_until_stopped():
        while process.poll() is None:
            if harness.send_request()[0] == 200:
                answered.append(1)
            else:
                time.sleep(0.01)

    callers = [threading.Thread(target=send_until_stopped) for _ in range(4)]
    for caller in callers:
        caller.start()
    process.send_signal(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert harness.requests() == len(answered)
    assert len(answered) > 10


def send_with_deadline(harness, path, deadline_ms):
    headers = {**harness.headers(), "X-Waxwingwinch-Deadline-Ms": str(deadline_ms)}
    port = harness.gateways[0].front
    connection = http.client.HTTPConnection(HOST, port, timeout=6.0)
    try:
        connection.request("POST", path, b"", headers)
        response = connection.getresponse()
        response.read()
        return response
    finally:
        connection.close()


# Guards against requests that come late in a planned stop, are passed on, and
# are cut without an answer at its end.
@pytest.mark.parametrize("path", ["/u/x", "/a/x", "/s/stream"])
def test_a_late_request_is_refused_if_the_stop_could_cut_it(harness, path):
    harness.start()
    for upstream in harness.upstreams:
        upstream.work_seconds = upstream.pause_seconds = 3.0
    requests = harness.requests()
    harness.gateways[0].process.send_signal(signal.SIGTERM)
    time.sleep(1.7)
    response = send_with_deadline(harness, path, 4_000)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) < 1.0
    assert response.headers["Connection"] == "close"
    assert harness.requests() == requests


def test_a_late_request_is_served_if_its_deadline_lies_before_the_end(harness):
    harness.start()
    harness.gateways[0].process.send_signal(signal.SIGTERM)
    time.sleep(1.7)
    assert send_with_deadline(harness, "/u/x", 1_000).status == 200


# Guards against a request that is still unanswered at the end of a planned
# stop and cut without an answer.
@pytest.mark.parametrize("sent_before", [True, False])
def test_a_request_is_answered_before_its_process_ends(harness, sent_before):
    harness.start()
    for upstream in harness.upstreams:
        upstream.work_seconds = 8.0
    responses = []

    def send():
        responses.append(send_with_deadline(harness, "/u/x", 10_000))

    caller = threading.Thread(target=send)
    process = harness.gateways[0].process
    if sent_before:
        caller.start()
        time.sleep(0.1)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    if not sent_before:
        caller.start()
    caller.join()
    assert [response.status for response in responses] in ([502], [504])
    assert process.wait(3.0) == 0


# Guards against a stop that waits for connections on which nothing was sent.
def test_a_stop_waits_for_no_idle_connection(harness):
    harness.start()
    idle = [
        socket.create_connection((HOST, harness.gateways[0].front)) for _ in range(3)
    ]
    started_seconds = time.monotonic()
    harness.gateways[0].process.send_signal(signal.SIGTERM)
    assert harness.gateways[0].process.wait(6.0) == 0
    assert time.monotonic() - started_seconds < 3.2
    for connection in idle:
        connection.close()


def test_a_stopped_instance_is_removed_from_the_members(harness):
    harness.start(gateways=2)
    stopped = harness.gateways[1]

    def is_recorded():
        newest, _ = harness.store.newest("keyed.members")
        return "edge-1" in newest

    assert wait_until(is_recorded)
    stopped.process.send_signal(signal.SIGTERM)
    assert stopped.process.wait(6.0) == 0
    assert not is_recorded()


def test_reloading_settings_interrupts_no_request(harness):
    harness.start()
    gateway = harness.gateways[0]
    for upstream in harness.upstreams:
        upstream.work_seconds = 0.5
    connection = http.client.HTTPConnection(HOST, gateway.front, timeout=5.0)
    connection.request("POST", "/a/x", b"", harness.headers())
    path = harness.folder / "edge-0.conf"
    path.write_text(path.read_text() + "bounds.retrySlack=7\n")
    gateway.process.send_signal(signal.SIGHUP)
    assert connection.getresponse().status == 200
    connection.close()
    log = harness.folder / "edge-0.log"
    assert wait_until(lambda: b"settings:reloaded" in log.read_bytes(), 3.0)
    assert harness.send_request()[0] == 200


def test_invalid_settings_end_the_program(tmp_path):
    file = tmp_path / "bad.conf"
    file.write_text("nodeName=\n")
    command = [sys.executable, "-m", "waxwingwinch.platform", str(file), "--check"]
    done = subprocess.run(
        command, cwd=SOURCE, capture_output=True, text=True, check=False
    )
    assert done.returncode == 2
    assert "bad.conf:1:1: nodeName" in done.stderr


def test_resolving_returns_all_live_instances(harness):
    harness.start(gateways=2)

    def resolved_addresses(gateway):
        path = "/v1/resolve?name=shop.example&region=region&zone=north"
        status, body = harness.get(gateway.directory, path)
        return set(json.loads(body)["addresses"]) if status == 200 else set()

    fronts = {f"{HOST}:{gateway.front}" for gateway in harness.gateways}
    assert wait_until(
        lambda: all(
            resolved_addresses(gateway) == fronts for gateway in harness.gateways
        )
    )
    first, second = harness.gateways
    second.process.kill()
    assert wait_until(
        lambda: resolved_addresses(first) == {f"{HOST}:{first.front}"}, 5.0
    )


def raw_exchange(port, data):
    with socket.create_connection((HOST, port), timeout=5.0) as connection:
        connection.sendall(data)
        received = b""
        while part := connection.recv(65_536):
            received += part
        return received


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 40\r\n",
        b"Content-Length : 4\r\n",
        b"Transfer-Encoding: chunked, gzip\r\n",
    ],
)
def test_smuggled_requests_reach_no_upstream(harness, framing):
    harness.start()
    before = harness.requests()
    head = (
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Waxwingwinch-Request-Id: outer\r\n"
        b"X-Waxwingwinch-Key: key-alice\r\n"
    )
    inner = b"GET /a/inner HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    received = raw_exchange(
        harness.gateways[0].front, head + framing + b"\r\n0\r\n\r\n" + inner
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert harness.requests() == before


def test_bodies_over_the_limit_are_refused(harness):
    harness.start()
    assert harness.send_request(body=b"x" * 10_001)[0] == 413


def test_metrics_are_served(harness):
    harness.start()
    status, body = harness.get(harness.gateways[0].metrics, "/metrics")
    assert status == 200
    assert b"waxwing_configuration_version 1.0" in body
    for name in (
        b"waxwing_store_call_seconds_bucket",
        b"waxwing_retry_budget_level",
        b"waxwing_running_requests",
        b"waxwing_quota_share",
        b"waxwing_store_age_seconds",
    ):
        assert name in body
