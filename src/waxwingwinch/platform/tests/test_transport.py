"""Answers of engines that send other bytes than they should."""

import time

import pytest

from waxwingwinch._types import UpstreamId, ZoneName
from waxwingwinch.gateway import (
    Cancellation,
    FullExecution,
    GatewayRequest,
    RegisteredState,
    Upstream,
    UpstreamCall,
)
from waxwingwinch.gateway._connections import CancelReason
from waxwingwinch.http import AnswerMissing
from waxwingwinch.kernel import SystemClock
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform.tests.raw_engine import (
    KeepOpen,
    RawEngine,
    Reset,
    raw_engine,
)

WAIT_SECONDS = 3.0


def head(status, *headers):
    lines = (f"HTTP/1.1 {status} Text", *headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(request_id, body="whole", status=200, *headers):
    return (
        head(
            status,
            f"X-Waxwingwinch-Request-Id: {request_id}",
            "X-Waxwingwinch-Response-Stamp: s",
            f"Content-Length: {len(body)}",
            *headers,
        )
        + body.encode()
    )


REFUSAL_WITHOUT_ID = head(503, "X-Waxwingwinch-Not-Executed: 1", "Content-Length: 0")
MISDIRECTED_WITHOUT_ID = head(
    421, "X-Waxwingwinch-Instance-Id: i-2", "Content-Length: 0"
)


def refusal(request_id):
    return answer(request_id, "", 503, "X-Waxwingwinch-Not-Executed: 1")


class Caller:
    """Calls one engine through a transport."""

    def __init__(self, engine: RawEngine) -> None:
        self.clock = SystemClock()
        self.transport = PlatformTransport(self.clock)
        self.engine = engine
        self.cancellation = Cancellation()

    def open(self, request_id, needs_new_connection=False, method="POST"):
        self.cancellation = Cancellation()
        upstream = Upstream(
            UpstreamId("e"),
            1,
            "llm",
            self.engine.address,
            ZoneName("z"),
            RegisteredState.READY,
            6,
        )
        request = GatewayRequest(
            request_id, method, "/x", "/x", "a.example", (("Host", "a.example"),), b""
        )
        now_seconds = self.clock.now_seconds()
        call = UpstreamCall(
            request,
            FullExecution(),
            None,
            0,
            now_seconds + WAIT_SECONDS,
            needs_new_connection=needs_new_connection,
        )
        return self.transport.open(
            upstream, call, self.cancellation, now_seconds, WAIT_SECONDS
        )

    def body(self, request_id, **options):
        response = self.open(request_id, **options)
        try:
            body = response.read_all(WAIT_SECONDS)
        except AnswerMissing:
            response.abort()
            raise
        response.finish()
        return body


LEFTOVER_REFUSALS = pytest.mark.parametrize(
    "leftover",
    [refusal("r-0"), REFUSAL_WITHOUT_ID, MISDIRECTED_WITHOUT_ID],
    ids=["id", "no id", "421 without id"],
)


# Guards against an earlier refusal, repeated on a kept connection, that is
# taken for the answer to a request that the engine runs.
@LEFTOVER_REFUSALS
def test_a_refusal_repeated_on_a_kept_connection_answers_no_later_request(leftover):
    with raw_engine([(refusal("r-0"),), (leftover, KeepOpen())]) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b""
        with pytest.raises(AnswerMissing):
            caller.open("r-1")
        assert engine.connections == 1
        assert len(engine.requests) == 2


# Guards against a running request that is reported as not executed.
@LEFTOVER_REFUSALS
def test_a_refusal_repeated_after_its_answer_is_not_read_for_the_next(leftover):
    with raw_engine(
        [(refusal("r-0") + leftover,), (answer("r-1"),)], [(answer("r-1"),)]
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b""
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 2


@pytest.mark.parametrize("cut", [1, 20, len(REFUSAL_WITHOUT_ID) - 1])
def test_a_connection_with_a_part_of_a_further_answer_is_not_kept(cut):
    """
    Guards against the rest of a repeated answer that is read as an answer.

    Its first part arrives with the answer before, the rest after the next
    request.
    """
    first, rest = REFUSAL_WITHOUT_ID[:cut], REFUSAL_WITHOUT_ID[cut:]
    with raw_engine(
        [(answer("r-0") + first,), (rest, KeepOpen())], [(answer("r-1"),)]
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 2


def test_bytes_after_the_last_chunk_close_the_connection():
    """Guards against bytes that the parser of an answer has buffered."""
    chunked = head(
        200,
        "X-Waxwingwinch-Request-Id: r-0",
        "X-Waxwingwinch-Response-Stamp: s",
        "Transfer-Encoding: chunked",
    )
    with raw_engine(
        [(chunked + b"5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 503",), (answer("r-1"),)],
        [(answer("r-1"),)],
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 2


def test_a_connection_is_kept_after_an_exact_answer():
    with raw_engine([(answer("r-0"),), (answer("r-1"),)]) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 1


@pytest.mark.parametrize(
    "first", [refusal("r-0"), REFUSAL_WITHOUT_ID, MISDIRECTED_WITHOUT_ID]
)
def test_a_refusal_on_a_new_connection_states_that_the_request_did_not_run(first):
    with raw_engine([(first,)]) as engine:
        assert Caller(engine).open("r-0").head.not_executed


# Guards against a request that ran and is answered as one that did not.
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_refusal_counts_only_if_it_states_that_the_request_did_not_run(status):
    with raw_engine([(answer("r-0", "busy", status),)]) as engine:
        with pytest.raises(AnswerMissing):
            Caller(engine).open("r-0")


@pytest.mark.parametrize("status", [400, 404, 500, 504])
def test_a_failure_that_promises_nothing_is_an_answer(status):
    with raw_engine([(answer("r-0", "failed", status),)]) as engine:
        assert not Caller(engine).open("r-0").head.not_executed


def test_a_request_that_may_run_once_never_uses_a_kept_connection():
    """Guards against a leftover answer for a request that may run once."""
    with raw_engine(
        [(answer("r-0"),), (refusal("r-1"),)], [(answer("r-1"),)]
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        assert caller.body("r-1", needs_new_connection=True) == b"whole"
        assert engine.connections == 2


def test_an_interim_response_leaves_no_answer_for_another_request():
    """Guards against the next answer being read for another request."""
    early = head(103, "X-Waxwingwinch-Request-Id: r-0")
    with raw_engine([(early + answer("r-0", "zero"),), (answer("r-1", "one"),)]) as e:
        caller = Caller(e)
        assert caller.body("r-0") == b"zero"
        assert caller.body("r-1") == b"one"
        assert e.connections == 1


def test_an_interim_response_alone_is_no_answer():
    """Guards against an interim response being taken for the final one."""
    early = head(103, "X-Waxwingwinch-Request-Id: r-0")
    with raw_engine([(early, Reset())]) as engine:
        with pytest.raises(AnswerMissing):
            Caller(engine).open("r-0")


def test_a_continue_status_is_skipped():
    with raw_engine([(head(100) + answer("r-0"),)]) as engine:
        assert Caller(engine).body("r-0") == b"whole"


UNFRAMED = head(
    200, "X-Waxwingwinch-Request-Id: r-0", "X-Waxwingwinch-Response-Stamp: s"
)
CHUNKED = head(200, "X-Waxwingwinch-Request-Id: r-0", "Transfer-Encoding: chunked")


@pytest.mark.parametrize(
    ("reply", "is_framed"),
    [
        (UNFRAMED + b"whole", False),
        (answer("r-0"), True),
        (CHUNKED + b"0\r\n\r\n", True),
        (head(204, "X-Waxwingwinch-Request-Id: r-0"), True),
    ],
    ids=["connection", "length", "chunks", "no body"],
)
def test_a_head_states_whether_its_body_is_framed(reply, is_framed):
    with raw_engine([(reply,)]) as engine:
        assert Caller(engine).open("r-0").head.is_framed is is_framed


def test_a_body_without_framing_ends_with_its_connection():
    with raw_engine([(UNFRAMED + b"whole",)]) as engine:
        assert Caller(engine).body("r-0") == b"whole"


# Guards against a part of a body that is forwarded as the whole body.
def test_a_body_without_framing_that_is_reset_is_incomplete():
    with raw_engine([(UNFRAMED + b"par", Reset())]) as engine:
        caller = Caller(engine)
        response = caller.open("r-0")
        assert response.read_some(WAIT_SECONDS) == b"par"
        engine.go_on()
        with pytest.raises(AnswerMissing):
            response.read_some(WAIT_SECONDS)


# Guards against a part of a body that is forwarded as the whole body.
def test_a_body_without_framing_that_is_cancelled_is_incomplete():
    with raw_engine([(UNFRAMED + b"par", KeepOpen())]) as engine:
        caller = Caller(engine)
        response = caller.open("r-0")
        assert response.read_some(WAIT_SECONDS) == b"par"
        caller.cancellation.cancel(CancelReason.CALLER_GONE)
        with pytest.raises(AnswerMissing):
            response.read_some(WAIT_SECONDS)


@pytest.mark.parametrize(
    "truncated",
    [
        answer("r-0")[:-2],
        head(200, "X-Waxwingwinch-Request-Id: r-0", "Transfer-Encoding: chunked")
        + b"5\r\nwhole\r\n",
        head(200, "X-Waxwingwinch-Request-Id: r-0", "Transfer-Encoding: chunked")
        + b"5\r\nwho",
    ],
    ids=["length", "no last chunk", "in a chunk"],
)
def test_a_body_shorter_than_its_framing_is_incomplete(truncated):
    with raw_engine([(truncated,)]) as engine:
        with pytest.raises(AnswerMissing):
            Caller(engine).body("r-0")


def test_a_body_longer_than_its_length_is_cut_and_its_connection_closed():
    with raw_engine(
        [(answer("r-0") + b"more",), (answer("r-1"),)], [(answer("r-1"),)]
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 2


def test_bytes_that_arrive_while_a_connection_is_idle_close_it():
    with raw_engine(
        [(answer("r-0"), REFUSAL_WITHOUT_ID), (answer("r-1"),)], [(answer("r-1"),)]
    ) as engine:
        caller = Caller(engine)
        assert caller.body("r-0") == b"whole"
        engine.go_on()
        time.sleep(0.05)
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 2


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("POST", 204), ("POST", 304)]
)
def test_a_connection_is_kept_after_an_answer_without_a_body(method, status):
    bodiless = head(status, "X-Waxwingwinch-Request-Id: r-0", "Content-Length: 0")
    with raw_engine([(bodiless,), (answer("r-1"),)]) as engine:
        caller = Caller(engine)
        assert caller.body("r-0", method=method) == b""
        assert caller.body("r-1") == b"whole"
        assert engine.connections == 1
