"""The real program before a store and upstreams that speak the protocol."""

import http.client
import json
import signal
import socket
import subprocess
import sys
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


class World:
    def __init__(self, folder):
        self.folder = folder
        self.store = StoreStandin()
        self.upstreams = [UpstreamStandin("u1"), UpstreamStandin("u2")]
        self.gateways = []
        self.asked = 0

    def begin(self, gateways=1):
        self.store.put("op", "config", make_configuration(1))
        for upstream in self.upstreams:
            upstream.register(self.store)
        for number in range(gateways):
            name = f"edge-{number}"
            self.gateways.append(Gateway(self.folder, self.store, name))
        for gateway in self.gateways:
            assert wait_until(lambda one=gateway: self.is_ready(one))
            assert wait_until(lambda one=gateway: self.ask(gateway=one)[0] == 200)

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
        self.asked += 1
        return {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"request-{self.asked}",
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": key,
        }

    def ask(self, path="/a/x", key=KEY, body=b"", gateway=None):
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
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.stop()


def test_a_request_is_relayed_with_its_signature(world):
    world.begin()
    status, body, headers = world.ask(body=b"order")
    assert status == 200
    assert body in (b"from u1", b"from u2")
    assert headers["X-Waxwingwinch-Response-Stamp"].startswith("stamp-")
    sent = [one for upstream in world.upstreams for one in upstream.requests]
    path, headers, body = next(one for one in sent if one[2] == b"order")
    assert path == "/a/x"
    assert headers["X-Waxwingwinch-Tenant"] == "alice"
    assert "X-Waxwingwinch-Key" not in headers
    assert 0 < int(headers["X-Waxwingwinch-Deadline-Ms"]) <= 3_000


def test_a_stream_is_relayed_event_by_event(world):
    world.begin()
    for upstream in world.upstreams:
        upstream.pause_seconds = 0.1
    connection = http.client.HTTPConnection(HOST, world.gateways[0].front, timeout=5.0)
    connection.request("POST", "/s/stream", b"", world.headers())
    response = connection.getresponse()
    started_seconds = time.monotonic()
    first = response.read1()
    assert first.startswith(b"id: 1\n")
    assert time.monotonic() - started_seconds < 0.3
    assert response.read().endswith(b"id: 5\ndata: t\n\n")
    connection.close()


def test_work_ends_when_the_caller_leaves(world):
    world.begin()
    for upstream in world.upstreams:
        upstream.events, upstream.pause_seconds = 200, 0.05
    connection = http.client.HTTPConnection(HOST, world.gateways[0].front, timeout=5.0)
    connection.request("POST", "/s/stream", b"", world.headers())
    connection.getresponse().read1()
    connection.close()
    assert wait_until(lambda: sum(one.broken for one in world.upstreams) == 1, 1.0)


def test_configurations_are_in_force_at_once_and_keys_stop_working(world):
    world.begin()
    world.store.put("op", "config", make_configuration(4, keys=("new",)))
    assert wait_until(lambda: world.ask(key="new")[0] == 200, 2.0)
    assert world.ask()[0] == 401
    world.store.put("op", "config", make_configuration(9, prefix="/b/"))
    assert wait_until(lambda: world.ask("/b/x")[0] == 200, 2.0)
    assert world.ask("/a/x")[0] == 404
    # An older version that turns up later changes nothing.
    world.store.put("op", "config", make_configuration(5))
    time.sleep(0.3)
    assert world.ask("/b/x")[0] == 200


def test_a_leaving_upstream_gets_nothing_after_two_seconds(world):
    world.begin()
    leaving, staying = world.upstreams
    leaving.register(world.store, state="draining")
    time.sleep(1.5)
    before = len(leaving.requests)
    for _ in range(10):
        assert world.ask()[1] == b"from u2"
    # A late entry of an earlier moment doesn't bring it back.
    leaving.sequence = 0
    leaving.register(world.store)
    time.sleep(1.0)
    for _ in range(10):
        assert world.ask()[1] == b"from u2"
    assert len(leaving.requests) == before
    assert staying.requests


def test_requests_are_served_while_the_store_is_down(world):
    world.begin()
    world.store.is_down = True
    for _ in range(10):
        assert world.ask()[0] == 200
        time.sleep(0.1)
    world.store.is_down = False
    world.store.put("op", "config", make_configuration(3, prefix="/b/"))
    assert wait_until(lambda: world.ask("/b/x")[0] == 200, 3.0)


def test_a_planned_stop_cuts_no_request(world):
    world.begin()
    for upstream in world.upstreams:
        upstream.work_seconds = 1.0
    connection = http.client.HTTPConnection(HOST, world.gateways[0].front, timeout=5.0)
    connection.request("POST", "/a/x", b"", world.headers())
    time.sleep(0.2)
    world.gateways[0].process.send_signal(signal.SIGTERM)
    response = connection.getresponse()
    assert response.status == 200
    assert response.headers["Connection"] == "close"
    assert response.read().startswith(b"from")
    connection.close()
    assert not world.is_ready(world.gateways[0])
    assert world.gateways[0].process.wait(6.0) == 0


def test_a_stopped_instance_shares_no_limits_until_it_starts_again(world):
    world.begin(gateways=2)
    stopped = world.gateways[1]

    def is_recorded():
        newest, _ = world.store.newest("keyed.members")
        return "edge-1" in newest

    assert wait_until(is_recorded)
    stopped.process.send_signal(signal.SIGTERM)
    assert stopped.process.wait(6.0) == 0
    assert not is_recorded()


def test_a_changed_settings_file_does_not_cut_requests(world):
    world.begin()
    gateway = world.gateways[0]
    for upstream in world.upstreams:
        upstream.work_seconds = 0.5
    connection = http.client.HTTPConnection(HOST, gateway.front, timeout=5.0)
    connection.request("POST", "/a/x", b"", world.headers())
    path = world.folder / "edge-0.conf"
    path.write_text(path.read_text() + "bounds.retrySlack=7\n")
    gateway.process.send_signal(signal.SIGHUP)
    assert connection.getresponse().status == 200
    connection.close()
    log = world.folder / "edge-0.log"
    assert wait_until(lambda: b"settings:reloaded" in log.read_bytes(), 3.0)
    assert world.ask()[0] == 200


def test_mistakes_of_the_settings_end_the_program(tmp_path):
    file = tmp_path / "bad.conf"
    file.write_text("nodeName=\n")
    command = [sys.executable, "-m", "waxwingwinch.platform", str(file), "--check"]
    done = subprocess.run(
        command, cwd=SOURCE, capture_output=True, text=True, check=False
    )
    assert done.returncode == 2
    assert "bad.conf:1:1: nodeName" in done.stderr


def test_callers_are_told_of_all_instances_that_take_them(world):
    world.begin(gateways=2)

    def told(gateway):
        path = "/v1/resolve?name=shop.example&region=region&zone=north"
        status, body = world.get(gateway.directory, path)
        return set(json.loads(body)["addresses"]) if status == 200 else set()

    fronts = {f"{HOST}:{one.front}" for one in world.gateways}
    assert wait_until(lambda: all(told(one) == fronts for one in world.gateways))
    first, second = world.gateways
    second.process.kill()
    assert wait_until(lambda: told(first) == {f"{HOST}:{first.front}"}, 5.0)


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
def test_smuggled_requests_reach_no_upstream(world, framing):
    world.begin()
    before = world.requests()
    head = (
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Waxwingwinch-Request-Id: outer\r\n"
        b"X-Waxwingwinch-Key: key-alice\r\n"
    )
    inner = b"GET /a/inner HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    received = raw_exchange(
        world.gateways[0].front, head + framing + b"\r\n0\r\n\r\n" + inner
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert world.requests() == before


def test_long_bodies_are_refused(world):
    world.begin()
    assert world.ask(body=b"x" * 10_001)[0] == 413


def test_metrics_are_served(world):
    world.begin()
    status, body = world.get(world.gateways[0].metrics, "/metrics")
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
