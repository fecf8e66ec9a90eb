"""Which answers the adapter takes statements from."""

import pytest

from waxwingwinch._exceptions import PlatformRefused
from waxwingwinch._types import EngineRole, InstanceId
from waxwingwinch.gateway.tests.relay_harness import upstream
from waxwingwinch.http import AnswerMissing, HttpReply
from waxwingwinch.kernel import SystemClock
from waxwingwinch.platform._duty_calls import PlatformDutyCalls
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform.tests.raw_engine import KeepOpen, raw_engine
from waxwingwinch.platform.tests.test_transport import Caller, answer, head, refusal

LEAVING = "Server-Leaving: 1"
E1 = upstream("e1")


class Observed:
    """Records what answers state."""

    def __init__(self):
        self.leaving = []
        self.returns = []
        self.limits_ended = 0

    def observe(self, known, statements, sent_seconds):
        self.limits_ended += statements.may_end_limit
        if statements.is_leaving:
            self.leaving.append(str(known.upstream_id))
        if statements.return_seconds is not None:
            self.returns.append((str(known.upstream_id), statements.return_seconds))


def observed_caller(engine):
    caller, observed = Caller(engine), Observed()
    caller.transport.on_statements = observed.observe
    return caller, observed


def test_the_answer_to_a_request_states_that_its_upstream_leaves():
    with raw_engine([(answer("r-0", "whole", 200, LEAVING),)]) as engine:
        caller, observed = observed_caller(engine)
        assert caller.body("r-0") == b"whole"
        assert observed.leaving == ["e"]


# Guards against a refusal that names a return and doesn't promise that the
# request was not executed.
def test_a_refusal_that_is_no_promise_still_names_the_return():
    refused = answer("r-0", "", 503, "Retry-After: 2.5", LEAVING)
    with raw_engine([(refused,)]) as engine:
        caller, observed = observed_caller(engine)
        with pytest.raises(AnswerMissing):
            caller.open("r-0")
        assert observed.returns == [("e", 2.5)]
        assert observed.leaving == ["e"]


# Guards against statements of an answer that belongs to another request.
@pytest.mark.parametrize(
    "late",
    [
        answer("r-other", "", 503, LEAVING, "Retry-After: 5"),
        head(503, LEAVING, "Retry-After: 5", "Content-Length: 0"),
    ],
    ids=["another id", "no id"],
)
def test_a_late_or_extra_answer_states_nothing(late):
    with raw_engine([(refusal("r-0"),), (late, KeepOpen())]) as engine:
        caller, observed = observed_caller(engine)
        caller.body("r-0")
        with pytest.raises(AnswerMissing):
            caller.open("r-1")
        assert observed.leaving == observed.returns == []


def test_an_informational_answer_states_nothing():
    early = head(103, LEAVING) + answer("r-0")
    with raw_engine([(early, KeepOpen())]) as engine:
        caller, observed = observed_caller(engine)
        assert caller.open("r-0").head.status == 200
        assert observed.leaving == []


@pytest.fixture
def reply_with(monkeypatch):
    """Let calls of the gateway itself get an answer with given headers."""

    def patch(status, *headers):
        for module in ("_transport", "_duty_calls"):
            monkeypatch.setattr(
                f"waxwingwinch.platform.{module}.exchange",
                lambda *_, **__: HttpReply(status, headers, b'{"held": []}'),
            )

    return patch


def test_calls_of_the_gateway_itself_are_observed(reply_with):
    observed, transport = Observed(), PlatformTransport(SystemClock())
    transport.on_statements = observed.observe
    reply_with(200, ("Server-Leaving", "1"))
    transport.cached_parts(E1)
    transport.release_handle(E1, "h")
    assert observed.leaving == ["e1", "e1"]


# Guards against the end of a limit by an answer that would not name it.
def test_only_answers_to_requests_of_callers_end_a_limit(reply_with):
    observed, transport = Observed(), PlatformTransport(SystemClock())
    transport.on_statements = observed.observe
    calls = PlatformDutyCalls(None, InstanceId("own"), SystemClock(), observed.observe)
    reply_with(200)
    transport.cached_parts(E1)
    transport.release_handle(E1, "h")
    calls.change_role(E1, EngineRole.DECODE, 1)
    assert observed.limits_ended == 0
    with raw_engine([(answer("r-0"),)]) as engine:
        caller, observed = observed_caller(engine)
        caller.body("r-0")
        assert observed.limits_ended == 1


def test_the_answer_to_an_order_is_observed(reply_with):
    observed = Observed()
    calls = PlatformDutyCalls(None, InstanceId("own"), SystemClock(), observed.observe)
    reply_with(202, ("Server-Leaving", "1"))
    calls.change_role(E1, EngineRole.DECODE, 1)
    reply_with(503, ("Retry-After", "3"))
    with pytest.raises(PlatformRefused):
        calls.change_role(E1, EngineRole.DECODE, 1)
    assert (observed.leaving, observed.returns) == (["e1"], [("e1", 3.0)])


def test_repeated_headers_of_an_order_are_malformed(reply_with):
    observed = Observed()
    calls = PlatformDutyCalls(None, InstanceId("own"), SystemClock(), observed.observe)
    reply_with(202, ("Server-Leaving", "1"), ("server-leaving", "1"))
    calls.change_role(E1, EngineRole.DECODE, 1)
    assert observed.leaving == []
