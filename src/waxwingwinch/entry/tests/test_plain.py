"""Tests of plain calls and malformed requests over a real socket."""

import json
import socket
import time
from collections.abc import Iterator
from urllib.parse import urlsplit

import pytest

from waxwingwinch._exceptions import Outcome
from waxwingwinch.configuration import Defaults
from waxwingwinch.contracts import (
    ClaimedOutcome,
    ClaimHeld,
    ClaimUnavailable,
    ClaimWithoutOutcome,
    Freshness,
    StoredAnswer,
)
from waxwingwinch.entry.tests.fakes import KEY, EntryHarness, running_entry

WITH_KEY = {"Idempotency-Key": "order-1"}


@pytest.fixture
def entry() -> Iterator[EntryHarness]:
    with running_entry(Defaults(max_body_bytes=10_000)) as fixture:
        yield fixture


def outcome_of(response) -> object:
    return json.loads(response.data)["error"]["outcome"]


def test_does_not_relay_credentials(entry):
    headers = {"Cookie": "c", "X-Api-Key": "k", "X-Customer-Id": "other"}
    response = entry.call("POST", "/book?a=1", body=b"bench", headers=headers)
    assert (response.status, response.data) == (201, b"booked")
    assert response.headers["X-Seat"] == "4"
    assert "Set-Cookie" not in response.headers
    call = entry.plain.calls[0][1]
    sent = {name.lower(): value for name, value in call.headers}
    assert not {"authorization", "cookie", "x-api-key"} & set(sent)
    assert sent["x-customer-id"] == "tahi-1"
    assert (call.method, call.path, call.body) == ("POST", "/book?a=1", b"bench")


def test_key_outside_its_header_is_refused(entry):
    assert entry.call("POST", f"/book?k={KEY}").status == 400
    assert entry.call("POST", "/book", body=KEY.encode()).status == 400
    headers = {"User-Agent": f"app {KEY}"}
    assert entry.call("POST", "/book", headers=headers).status == 400
    assert entry.plain.calls == []


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("DELETE", "/book", 405),
        ("GET", "/v1/completions", 405),
        ("GET", "/nothing", 404),
        ("GET", "/open/../seats", 400),
        ("GET", "/open/%2e%2E/seats", 400),
        ("GET", "/open/%2fseats", 400),
        ("GET", "/open//seats", 400),
        ("GET", "/openseats", 404),
    ],
)
def test_rejects_invalid_paths_and_methods(entry, method, path, status):
    address = urlsplit(entry.base_url)
    with socket.create_connection((address.hostname, address.port)) as caller:
        # A raw socket, since urllib3 would normalise the path.
        caller.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Authorization: Bearer {KEY}\r\n\r\n".encode()
        )
        answer = b"".join(iter(lambda: caller.recv(65_536), b""))
    assert int(answer.split()[1]) == status
    assert (b"\r\nAllow: " in answer) == (status == 405)
    assert b'"outcome": "not_run"' in answer
    assert entry.plain.calls == []


def test_open_route_needs_no_key(entry):
    assert entry.call("GET", "/open/times", key=None).status == 201
    assert entry.call("GET", "/seats", key=None).status == 401
    assert entry.call("GET", "/seats", key="wrong").status == 401
    entry.configuration.state = Freshness.STALE
    stale = entry.call("GET", "/open/times", key=None)
    assert (stale.status, outcome_of(stale)) == (503, "not_run")


def test_idempotent_call_is_retried(entry):
    entry.plain.failures = {11: Outcome.UNKNOWN}
    assert entry.call("GET", "/seats").status == 201
    assert [port for port, _ in entry.plain.calls] == [11, 12]


def test_non_idempotent_call_is_not_retried_after_bytes_were_sent(entry):
    entry.plain.failures = {11: Outcome.UNKNOWN}
    response = entry.call("POST", "/book", body=b"x")
    assert (response.status, outcome_of(response)) == (502, "unknown")
    assert len(entry.plain.calls) == 1


def test_non_idempotent_call_is_retried_if_nothing_was_sent(entry):
    entry.plain.failures = {11: Outcome.NOT_RUN}
    assert entry.call("POST", "/book").status == 201
    entry.plain.failures[12] = Outcome.NOT_RUN
    response = entry.call("POST", "/book")
    assert (response.status, outcome_of(response)) == (503, "not_run")


@pytest.mark.parametrize(("crashed", "status"), [(set(), 201), ({11, 12}, 503)])
def test_only_crashes_quarantine_later_calls(entry, crashed, status):
    entry.plain.failures = {11: Outcome.UNKNOWN}
    entry.plain.crashed = crashed
    assert entry.call("POST", "/book", body=b"bench").status == 502
    entry.plain.failures = {12: Outcome.UNKNOWN}
    entry.fleet.plain_views = entry.fleet.plain_views[1:]
    assert entry.call("POST", "/book", body=b"bench").status == 502
    entry.plain.failures = {}
    assert entry.call("POST", "/book", body=b"bench").status == status


def test_outcome_of_claimed_call_is_recorded(entry):
    assert entry.call("POST", "/book", headers=WITH_KEY).status == 201
    assert entry.store.answers[0].body == b"booked"
    entry.plain.failures = {11: Outcome.UNKNOWN, 12: Outcome.UNKNOWN}
    assert outcome_of(entry.call("POST", "/book", headers=WITH_KEY)) == "unknown"
    assert (entry.store.unknown, entry.store.not_run) == (1, 0)
    entry.plain.failures = {11: Outcome.NOT_RUN, 12: Outcome.NOT_RUN}
    assert outcome_of(entry.call("POST", "/book", headers=WITH_KEY)) == "not_run"
    assert (entry.store.unknown, entry.store.not_run) == (1, 1)


def test_key_withdrawn_during_claim_prevents_sending(entry):
    entry.store.on_claim = lambda: entry.configuration.withdrawn.add(KEY)
    response = entry.call("POST", "/book", headers=WITH_KEY)
    assert (response.status, outcome_of(response)) == (401, "not_run")
    assert entry.store.not_run == 1
    assert entry.plain.calls == []


def test_call_with_expired_claim_is_not_sent(entry):
    entry.store.result = ClaimHeld("claim", 0.0)
    response = entry.call("POST", "/book", headers=WITH_KEY)
    assert (response.status, outcome_of(response)) == (503, "not_run")
    assert entry.store.not_run == 1
    assert entry.plain.calls == []


@pytest.mark.parametrize(
    ("result", "status", "outcome"),
    [
        (ClaimWithoutOutcome(3.0), 409, "unknown"),
        (ClaimWithoutOutcome(None), 409, "unknown"),
        (ClaimWithoutOutcome(None, same_request=False), 422, "not_run"),
        (ClaimUnavailable(2.0), 503, "not_run"),
    ],
)
def test_requests_without_claim_are_not_run(entry, result, status, outcome):
    entry.store.result = result
    response = entry.call("POST", "/book", headers=WITH_KEY)
    assert (response.status, outcome_of(response)) == (status, outcome)
    has_retry_after = result.retry_after_seconds is not None
    assert ("Retry-After" in response.headers) == has_retry_after
    assert entry.plain.calls == []


def test_stored_answer_is_replayed(entry):
    entry.store.result = ClaimedOutcome(StoredAnswer(201, (("X-Seat", "9"),), b"b"))
    response = entry.call("POST", "/book", headers=WITH_KEY)
    assert response.headers["Idempotency-Replayed"] == "true"
    assert (response.status, response.data) == (201, b"b")
    assert entry.plain.calls == []


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b"\xff", 400),
        (b"[" * 9_000, 400),
        (b"x" * 20_000, 413),
        (b'{"model": 1}', 400),
        (b'{"model": "none", "prompt": "x"}', 404),
        (b'{"model": "assistant:none", "prompt": "x"}', 404),
        (b'{"model": "assistant"}', 400),
        (b'{"model": "assistant", "prompt": "\\ud800"}', 400),
        (b'{"model": "assistant", "prompt": "x", "max_tokens": -1}', 400),
        (b'{"model": "assistant", "prompt": "x", "max_tokens": 1e99}', 400),
        (b'{"model": "assistant", "prompt": "x", "max_tokens": true}', 400),
        (b'{"model": "assistant", "prompt": "x", "max_tokens": 99999999}', 400),
        (b'{"model": "assistant", "prompt": "x", "stream": "yes"}', 400),
        (b'{"model": "assistant", "prompt": "x", "n": 2}', 400),
    ],
)
def test_rejects_malformed_bodies(entry, body, status):
    response = entry.call("POST", "/v1/completions", body=body)
    assert response.status == status
    assert outcome_of(response) == "not_run"
    assert entry.engine.calls == []


def test_validation_errors_are_reported_together(entry):
    body = b'{"model": "assistant", "prompt": 1, "max_tokens": 0, "stream": 2}'
    response = entry.call("POST", "/v1/completions", body=body)
    message = json.loads(response.data)["error"]["message"]
    assert all(name in message for name in ("prompt", "max_tokens", "stream"))


@pytest.mark.parametrize(
    ("head", "code"),
    [
        (b"Content-Length: -5", "invalid_request"),
        (b"Content-Length: +5", "invalid_request"),
        (b"Content-Length: 2\r\nContent-Length: 40", "invalid_request"),
        (b"Authorization: Bearer one\r\nAuthorization: Bearer two", "invalid_request"),
        (b"no colon", "invalid_request"),
        (b"Content-Length: 999999999999", "body_too_large"),
    ],
)
def test_rejects_malformed_heads(entry, head, code):
    address = urlsplit(entry.base_url)
    with socket.create_connection((address.hostname, address.port)) as caller:
        authorization = f"X-Api-Key: {KEY}".encode()
        lines = [b"POST /book HTTP/1.1", b"Host: x", authorization, head, b"", b"{}"]
        caller.sendall(b"\r\n".join(lines))
        caller.settimeout(10)
        answer = caller.recv(65_536)
    error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["outcome"]) == (code, "not_run")
    assert entry.plain.calls == []


def test_slow_body_times_out():
    options: dict[str, object] = {"request_read_timeout_seconds": 0.3}
    with running_entry(options=options) as entry:
        address = urlsplit(entry.base_url)
        with socket.create_connection((address.hostname, address.port)) as caller:
            caller.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 100\r\n\r\n{"
            )
            started = time.monotonic()
            answer = caller.recv(65_536)
        assert answer.split()[1] == b"408"
        assert time.monotonic() - started < 5
        assert entry.complete().status == 200


def test_discovery_models_and_metrics(entry):
    found = json.loads(entry.call("GET", "/discovery", key=None).data)
    assert found["instances"][0]["address"] == "127.0.0.1:1"
    assert found["ttl_seconds"] > 0
    models = json.loads(entry.call("GET", "/v1/models").data)
    assert {m["id"] for m in models["data"]} == {"assistant", "assistant:thread"}
    entry.complete()
    text = entry.call("GET", "/metrics", key=None).data.decode()
    assert 'waxwing_requests_total{customer="tahi-1"' in text


def test_request_ids_are_generated_by_the_entry(entry):
    headers = {"X-Request-Id": "mine"}
    response = entry.call("GET", "/seats", headers=headers)
    assert response.headers["X-Caller-Request-Id"] == "mine"
    assert response.headers["X-Request-Id"] == entry.plain.calls[0][1].request_id
    assert response.headers["X-Request-Id"] != "mine"
