"""Single requests that crash upstreams, and come again."""

import pytest

from waxwingwinch._types import InstanceId
from waxwingwinch.gateway._crash_evidence import CrashEvidence
from waxwingwinch.gateway._model import RequestKind
from waxwingwinch.gateway._requests import Prompt, PromptPart
from waxwingwinch.gateway.tests.relay_harness import (
    RelayHarness,
    ScriptedResponse,
    upstream,
)
from waxwingwinch.gateway.tests.test_crashing_prompts import EVENTS, RESET, TIMED_OUT

UPSTREAMS = [f"u{number}" for number in range(6)]
CRASH = ScriptedResponse(error=RESET, delay_seconds=0.05)
SOUND = ScriptedResponse(pieces=EVENTS)
SHARED = Prompt("m", 300, 20, (PromptPart("book", 200), PromptPart("own", 100)))


def make_harness():
    harness = RelayHarness()
    harness.add(*(upstream(name) for name in UPSTREAMS))
    harness.add_engines(decode=6)
    harness.publish()
    return harness


@pytest.fixture
def harness():
    return make_harness()


def script_all(harness, script):
    for name in [*UPSTREAMS, *(f"d{number}" for number in range(6))]:
        harness.transport.scripts[name] = script


def send(harness, body=b"deadly", **changes):
    harness.clock.seconds += 0.1
    return harness.send(body=body, **changes)


def report_to(harness, other, sequence):
    """Apply what one instance knows at another."""
    now_seconds = harness.clock.seconds
    report = harness.crashes.report(now_seconds)
    other.crashes.apply(report, f"own-{sequence}", now_seconds)


# Guards against a plain request that crashes upstream after upstream.
@pytest.mark.parametrize("body_error", [False, True])
def test_a_plain_request_is_refused_after_two_crashes(harness, body_error):
    crash = CRASH
    if body_error:
        crash = ScriptedResponse(pieces=(b"wh", RESET), delay_seconds=0.05)
    script_all(harness, crash)
    assert send(harness, request_id="r-1").status == 502
    assert len(harness.transport.calls) == 2
    response = send(harness, request_id="r-2")
    assert response.status == 503
    assert float(response.header("Retry-After")) >= 29.0
    assert len(harness.transport.calls) == 2


# Guards against sound requests of the same caller and path that are refused.
def test_another_body_is_served_beside_a_refused_request(harness):
    script_all(harness, CRASH)
    send(harness)
    script_all(harness, ScriptedResponse())
    assert send(harness, body=b"sound").status == 200
    assert send(harness).status == 503


# Guards against requests that may run once and crash one upstream each time
# that they come again.
def test_a_request_that_is_never_repeated_here_is_refused_when_it_returns(harness):
    harness.publish(kind=RequestKind.NON_IDEMPOTENT)
    script_all(harness, CRASH)
    assert [send(harness).status for _ in range(4)] == [502, 502, 503, 503]
    assert len(harness.transport.calls) == 2


# Guards against a request that crashes two upstreams at each instance.
def test_an_instance_refuses_a_request_that_crashed_upstreams_of_others(harness):
    other = make_harness()
    script_all(harness, CRASH)
    send(harness)
    other.clock.seconds = harness.clock.seconds
    report_to(harness, other, 1)
    assert send(other).status == 503
    assert send(other, body=b"sound").status == 200


# Guards against blame of the shared parts of a prompt for a request that
# crashes engines with them.
def test_a_generation_is_refused_while_its_shared_parts_are_served(harness):
    harness.publish_stream()
    script_all(harness, SOUND)
    assert send(harness, body=b"sound", prompt=SHARED).is_complete
    script_all(harness, CRASH)
    send(harness, prompt=SHARED)
    calls = len(harness.transport.calls)
    assert send(harness, prompt=SHARED).status == 503
    assert len(harness.transport.calls) == calls
    script_all(harness, SOUND)
    assert send(harness, body=b"sound", prompt=SHARED).is_complete


# Guards against blame of a shared part that no generation went well with yet.
def test_of_a_request_and_its_parts_the_request_is_blamed(harness):
    harness.publish_stream()
    script_all(harness, CRASH)
    send(harness, prompt=SHARED)
    script_all(harness, SOUND)
    assert send(harness, body=b"sound", prompt=SHARED).is_complete


# Guards against a request that stays suspect after it was answered.
def test_an_answer_clears_a_request(harness):
    script_all(harness, CRASH)
    harness.publish(max_attempts=1)
    send(harness)
    script_all(harness, ScriptedResponse(status=500))
    assert send(harness).status == 500
    script_all(harness, CRASH)
    assert [send(harness).status for _ in range(3)] == [502, 502, 502]


# Guards against blame for failures that are no crashes.
@pytest.mark.parametrize(
    "script",
    [
        ScriptedResponse(error=TIMED_OUT, delay_seconds=0.05),
        ScriptedResponse(pieces=(TIMED_OUT,), delay_seconds=0.05),
        ScriptedResponse(status=503, not_executed=True),
        ScriptedResponse(is_signed=False),
    ],
)
def test_other_failures_of_a_plain_request_blame_nothing(harness, script):
    script_all(harness, script)
    for _ in range(3):
        send(harness)
        # Upstreams that failed are avoided for a time.
        harness.clock.seconds += 5.0
    script_all(harness, ScriptedResponse())
    assert send(harness).status == 200


# Guards against blame for upstreams that lose single answers and run on.
def test_plain_answers_disprove_crashes(harness):
    harness.publish(max_attempts=1)
    script_all(harness, CRASH)
    send(harness)
    crashed = harness.called_upstreams()[0]
    script_all(harness, ScriptedResponse())
    harness.clock.seconds += 1.0
    for _ in range(30):
        send(harness, body=b"sound")
    assert crashed in harness.called_upstreams()[1:]
    script_all(harness, CRASH)
    send(harness)
    script_all(harness, ScriptedResponse())
    assert send(harness).status == 200


# Guards against ids of parts that are taken for requests.
def test_a_part_named_like_a_request_blames_no_request(harness):
    script_all(harness, CRASH)
    send(harness)
    (blamed,) = harness.crashes.report(harness.clock.seconds).crashes[0].part_ids
    spoofed = Prompt("m", 300, 20, (PromptPart(blamed, 200), PromptPart("own", 100)))
    harness.publish_stream()
    script_all(harness, SOUND)
    assert send(harness, body=b"sound", prompt=spoofed).is_complete


# Guards against sound evidence on parts that requests push out of its bounds.
def test_answers_to_plain_requests_push_no_parts_out():
    evidence = CrashEvidence(InstanceId("own"))
    evidence.record_sound(("book",), 1.0)
    for number in range(5_000):
        evidence.record_sound((f"request-{number}",), 2.0)
    assert evidence._sound_seconds == {"book": 1.0}
