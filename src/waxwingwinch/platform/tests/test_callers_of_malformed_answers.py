"""What callers get when an engine's answer violates the grammar of HTTP."""

import http.client
import json
import time

import pytest

from waxwingwinch.http.tests.malformed_answers import (
    BODIES,
    BODY,
    CHUNK,
    CHUNKED,
    HEADS,
    IDENTITY,
    LENGTH,
    PROPER,
    answer,
)
from waxwingwinch.platform.tests.standin import (
    HOST,
    KEY,
    Gateway,
    StoreStandin,
    UpstreamHandler,
    UpstreamStandin,
    make_configuration,
    reset_on_close,
    wait_until,
)
from waxwingwinch.platform.tests.test_broken_streams import retry_budget

#: Routes whose requests may be repeated, may not, and are streams.
PATHS = ("/a/x", "/u/x", "/s/stream")
ROUTES = pytest.mark.parametrize("path", PATHS)
#: A body that is larger than what sockets hold of it unread.
LARGE_BODY_BYTES = 8_000_000


class ScriptedHandler(UpstreamHandler):
    """Answers with the next bytes of a script, and closes the connection."""

    def serve(self):
        script = self.owner.script
        reset_seconds = script.reset_seconds
        if reset_seconds is None:
            self.body()
        script.served.append((self.owner.name, self.client_address))
        content = script.answers.pop(0) if script.answers else answer(LENGTH)
        request_id = self.headers["X-Waxwingwinch-Request-Id"].encode()
        fields = (
            b"X-Waxwingwinch-Request-Id: " + request_id,
            b"X-Waxwingwinch-Response-Stamp: stamp",
        )
        self.wfile.write(content.replace(IDENTITY, b"\r\n".join(fields)))
        self.close_connection = not script.keeps_open
        if reset_seconds is not None:
            time.sleep(reset_seconds)
            reset_on_close(self.connection)


class Script:
    """The answers of all upstreams of a deployment."""

    def __init__(self):
        #: Bytes of the next answers; a proper answer once there are none.
        self.answers = []
        #: The upstream and the connection of each request.
        self.served = []
        #: Whether connections are kept open after an answer.
        self.keeps_open = False
        #: Time after which a connection is reset before the request was read;
        #: None to read it.
        self.reset_seconds = None


class ScriptedUpstream(UpstreamStandin):
    """An upstream whose answers are those of a script."""

    handler = ScriptedHandler

    def __init__(self, name, script):
        self.script = script
        super().__init__(name)


class Deployment:
    """A gateway before two upstreams."""

    def __init__(self, folder, is_resumable=False):
        self.script = Script()
        self.store = StoreStandin()
        configuration = make_configuration(1)
        configuration["limits"]["maxBodyBytes"] = LARGE_BODY_BYTES
        for route in configuration["routes"]:
            if route["routeKind"] == "streaming":
                route["resumable"] = is_resumable
        self.store.put("op", "config", configuration)
        self.upstreams = [ScriptedUpstream(n, self.script) for n in ("u1", "u2")]
        for upstream in self.upstreams:
            upstream.register(self.store)
        self.gateway = Gateway(folder, self.store, "edge-0")
        self.log = folder / "edge-0.log"
        self.sent = 0

    def is_ready(self):
        registered = self.log.read_text().count('"upstream:registered"')
        return registered == len(self.upstreams) and self.send("/a/x")[0] == 200

    def send(self, path, body_bytes=20):
        """Return the status and the body, or the error in place of either."""
        self.sent += 1
        # Equal requests at which connections break are refused for a time.
        body = f"request-{self.sent}".encode().ljust(body_bytes)
        headers = {
            "Host": "shop.example",
            "X-Waxwingwinch-Request-Id": f"request-{self.sent}",
            "X-Waxwingwinch-Deadline-Ms": "3000",
            "X-Waxwingwinch-Key": KEY,
        }
        connection = http.client.HTTPConnection(HOST, self.gateway.front, timeout=5.0)
        try:
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return 0, error
        try:
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            return response.status, error
        finally:
            connection.close()

    def send_to(self, content, path):
        """Send a request; all answers but the first, given one are proper."""
        self.script.answers = [content]
        self.script.served.clear()
        return self.send(path)

    def failures(self):
        """Return what the log tells of failed calls of the last request."""
        # The last line may still be being written.
        whole, _, _ = self.log.read_text().rpartition("\n")
        lines = map(json.loads, whole.splitlines())
        request_id = f"request-{self.sent}"
        return [
            line
            for line in lines
            if line["message_type"] == "upstream:failed"
            and line["request_id"] == request_id
        ]

    def stop(self):
        self.gateway.stop()
        self.store.stop()
        for upstream in self.upstreams:
            upstream.stop()


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    deployment = Deployment(tmp_path_factory.mktemp("deployment"))
    assert wait_until(deployment.is_ready)
    yield deployment
    deployment.stop()


@pytest.fixture
def deployment(shared):
    shared.script = Script()
    for upstream in shared.upstreams:
        upstream.script = shared.script
    return shared


@pytest.fixture
def saving_deployment(tmp_path):
    """A deployment with retries left, also for streams."""
    deployment = Deployment(tmp_path, is_resumable=True)
    assert wait_until(deployment.is_ready)
    assert wait_until(lambda: retry_budget(deployment.gateway.metrics) >= 1.0)
    yield deployment
    deployment.stop()


# Guards against callers that get a body or a line which is not the engine's.
@ROUTES
@pytest.mark.parametrize("content", HEADS.values(), ids=HEADS)
def test_a_malformed_head_reaches_no_caller(deployment, path, content):
    deployment.script.answers = [content] * 2
    assert deployment.send(path) == (502, b"")


# Guards against a body that looks complete though its framing is malformed. A
# stream that has begun breaks off visibly.
@ROUTES
@pytest.mark.parametrize("content", BODIES.values(), ids=BODIES)
def test_a_malformed_body_is_not_complete(deployment, path, content):
    deployment.script.answers = [content] * 2
    status, body = deployment.send(path)
    assert status == 502 or (status == 200 and isinstance(body, Exception))


@ROUTES
@pytest.mark.parametrize("content", PROPER.values(), ids=PROPER)
def test_proper_answers_reach_callers(deployment, path, content):
    assert deployment.send_to(content, path) == (200, BODY)
    assert len(deployment.script.served) == 1


MALFORMED = answer(LENGTH, b"X\x01A: a")


@pytest.mark.parametrize("path", ["/a/x", "/s/stream"])
def test_what_may_be_repeated_is_sent_to_another_engine(saving_deployment, path):
    assert saving_deployment.send_to(MALFORMED, path) == (200, BODY)
    names = [name for name, _ in saving_deployment.script.served]
    assert sorted(names) == ["u1", "u2"]


def test_what_may_not_be_repeated_is_sent_once(deployment):
    assert deployment.send_to(MALFORMED, "/u/x") == (502, b"")
    assert len(deployment.script.served) == 1


# Guards against the rest of a malformed answer that is read for another one.
def test_the_connection_of_a_malformed_answer_serves_no_other_request(deployment):
    deployment.script.keeps_open = True
    assert deployment.send_to(MALFORMED + answer(LENGTH), "/u/x") == (502, b"")
    (_, malformed_connection), *_ = deployment.script.served
    for _ in range(20):
        assert deployment.send("/u/x") == (200, BODY)
    connections = [connection for _, connection in deployment.script.served]
    assert connections.count(malformed_connection) == 1


def test_the_log_shows_the_engine_and_the_malformed_bytes(deployment):
    deployment.send_to(answer(LENGTH, b"X\x01A: " + b"a" * 5_000), "/u/x")
    (name, _), *_ = deployment.script.served
    # Lines are gathered before they are written.
    assert wait_until(deployment.failures)
    (failure,) = deployment.failures()
    assert failure["upstream_id"] == name
    assert failure["error"] == "AnswerMalformed"
    assert failure["reason"].startswith(r"malformed field: b'X\x01A: aaa")
    assert len(failure["reason"]) < 200
    assert failure["avoided_seconds"] > 0.0


# Guards against a part of an answer that looks complete, as its connection was
# reset while the request was still being sent.
@ROUTES
@pytest.mark.parametrize("reset_seconds", [0.0, 0.01, 0.3])
def test_an_unframed_answer_that_is_reset_is_not_complete(
    deployment, path, reset_seconds
):
    deployment.script.reset_seconds = reset_seconds
    deployment.script.answers = [answer()] * 2
    status, body = deployment.send(path, body_bytes=LARGE_BODY_BYTES)
    assert status != 200 or isinstance(body, Exception)


@pytest.mark.parametrize("reset_seconds", [0.0, 0.01])
def test_a_stream_that_is_reset_is_not_complete(deployment, reset_seconds):
    deployment.script.reset_seconds = reset_seconds
    deployment.script.answers = [answer(CHUNKED, body=CHUNK)] * 2
    status, body = deployment.send("/s/stream")
    assert status != 200 or isinstance(body, Exception)
