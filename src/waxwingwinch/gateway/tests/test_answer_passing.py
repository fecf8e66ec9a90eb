"""Long plain answers are passed on in parts, and end as their upstream's."""

import pytest

from waxwingwinch.gateway._answer_start import MAX_HELD_ANSWER_BYTES
from waxwingwinch.gateway._memory_account import MemoryAccount
from waxwingwinch.gateway._model import RequestKind
from waxwingwinch.gateway.tests.relay_harness import (
    RESPONSE_LOST,
    RecordingResponder,
    RelayHarness,
    ScriptedResponse,
    upstream,
)

PART = b"p" * 65_536
LONG = (PART,) * 40
LONG_BODY = b"".join(LONG)


class SlowResponder(RecordingResponder):
    """A caller that takes its time for each part."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    def write(self, piece):
        self.clock.seconds += 1.0
        super().write(piece)


@pytest.fixture
def harness():
    harness = RelayHarness()
    harness.add(upstream("u1"), upstream("u2"))
    return harness


def script(harness, *pieces, **changes):
    harness.transport.scripts = {
        name: ScriptedResponse(pieces=pieces, **changes) for name in ("u1", "u2")
    }


def test_a_long_answer_is_passed_on_whole(harness):
    harness.publish()
    script(harness, *LONG)
    response = harness.send()
    assert (response.status, response.is_complete) == (200, True)
    assert response.body == LONG_BODY
    assert harness.loads.local_loads() == {}
    assert len(harness.called_upstreams()) == 1


# Guards against a broken answer that looks whole, and a second run of a
# request whose answer has begun.
@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_long_answer_that_breaks_off_is_aborted_and_not_retried(harness, kind):
    harness.publish(kind=kind, max_attempts=2)
    script(harness, *LONG, RESPONSE_LOST)
    response = harness.send()
    assert (response.status, response.is_complete) == (200, False)
    assert response.is_aborted
    assert len(harness.called_upstreams()) == 1
    assert harness.loads.local_loads() == {}


def test_an_answer_that_breaks_off_while_it_is_held_is_retried(harness):
    harness.publish()
    harness.transport.scripts = {
        name: [
            ScriptedResponse(pieces=(PART, RESPONSE_LOST)),
            ScriptedResponse(pieces=LONG),
        ]
        for name in ("u1", "u2")
    }
    response = harness.send()
    assert len(harness.called_upstreams()) == 2
    assert response.status in (200, 502)
    assert not response.is_aborted


# Guards against a long failure that is held while another upstream is asked.
def test_a_long_failure_is_dropped_for_another_upstream(harness):
    harness.publish()
    script(harness, *LONG, status=500)
    response = harness.send()
    assert sorted(harness.called_upstreams()) == ["u1", "u2"]
    assert (response.status, response.body) == (500, LONG_BODY)
    assert response.is_complete
    assert harness.loads.local_loads() == {}


def test_a_long_success_without_a_signature_is_not_passed_on(harness):
    harness.publish()
    script(harness, *LONG, is_signed=False)
    assert (harness.send().status, harness.loads.local_loads()) == (502, {})


def test_a_long_rejection_promises_that_the_request_has_not_run(harness):
    harness.publish()
    script(harness, *LONG, status=503, not_executed=True)
    assert (harness.send().status, harness.loads.local_loads()) == (503, {})


# Guards against a request that fails for lack of memory though its answer
# needn't be held.
def test_without_room_an_answer_is_passed_on_at_once(harness):
    harness.publish()
    account = MemoryAccount(10)
    script(harness, PART, b"rest")
    response = harness.send(reservation=account.open())
    assert (response.status, response.body) == (200, PART + b"rest")
    assert response.is_complete


# Guards against an upstream that is blamed for the slowness of a caller.
def test_an_answer_ends_at_the_deadline_of_a_slow_caller(harness):
    harness.publish(timeout_seconds=5.0)
    script(harness, *LONG)
    responder = SlowResponder(harness.clock)
    harness.send(responder)
    assert responder.is_aborted
    assert MAX_HELD_ANSWER_BYTES < len(responder.body) < len(LONG_BODY)
    usable = harness.directory.usable("shop", harness.clock.seconds, frozenset())
    assert {item.upstream_id for item in usable} == {"u1", "u2"}
    assert harness.loads.local_loads() == {}


def test_a_caller_that_leaves_ends_the_call(harness):
    harness.publish()
    script(harness, *LONG)
    harness.send(RecordingResponder(breaks_after=len(PART)))
    assert harness.loads.local_loads() == {}
