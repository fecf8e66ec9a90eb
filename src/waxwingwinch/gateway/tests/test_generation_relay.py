"""Streams: separate prefill, forwarding, resuming, and aborting."""

import pytest

from waxwingwinch._types import EngineRole, InstanceId, UpstreamId
from waxwingwinch.gateway._job import MAX_CONNECT_FAILURES, MAX_FAILED_PREFILLS
from waxwingwinch.gateway._limit_messages import LimitedSends
from waxwingwinch.gateway._named_limits import NamedLimit
from waxwingwinch.gateway._requests import Prompt, PromptPart
from waxwingwinch.gateway._transport import DecodeFromCache, FullExecution, PrefillOnly
from waxwingwinch.gateway.tests.relay_harness import (
    CONNECT_FAILED,
    PROMPT,
    RESPONSE_LOST,
    SHORT_PROMPT,
    RecordingResponder,
    RelayHarness,
    ScriptedResponse,
    Silence,
    disconnect_caller,
    upstream,
)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


STREAM = (event(1), event(2)[:5], event(2)[5:] + event(3))


@pytest.fixture
def harness():
    harness = RelayHarness()
    harness.add_engines()
    return harness


def script_all_decoders(harness, script):
    for name in ("d0", "d1"):
        harness.transport.scripts[name] = script


def test_a_stream_is_forwarded_completely(harness):
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    response = harness.send(prompt=SHORT_PROMPT)
    assert (response.status, response.body) == (200, events(1, 3))
    assert response.is_complete
    assert harness.loads.local_loads() == {}


def test_a_long_prompt_is_prefilled_separately_and_its_cache_is_fetched(harness):
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    assert harness.send(prompt=PROMPT).body == events(1, 3)
    (reader, read), (decoder, run) = harness.transport.calls
    assert reader == "p0" and isinstance(read.phase, PrefillOnly)
    assert run.phase == DecodeFromCache(harness.directory.get("p0").address, "handle")
    assert decoder in ("d0", "d1")


def test_a_cached_prefix_is_not_prefilled_separately_again(harness):
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    parts = (PromptPart("book", 13_000), PromptPart("own", 500))
    prompt = Prompt("m", 13_500, 20, parts)
    harness.send(prompt=prompt)
    caching_engine = harness.called_upstreams()[-1]
    harness.transport.calls.clear()
    harness.send(prompt=prompt)
    assert harness.called_upstreams() == [caching_engine]


def test_a_failed_prefill_is_done_by_another_engine(harness):
    harness.publish_stream()
    harness.transport.scripts["p0"] = ScriptedResponse(error=RESPONSE_LOST)
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    response = harness.send(prompt=PROMPT)
    assert response.is_complete
    assert isinstance(harness.transport.calls[-1][1].phase, FullExecution)


@pytest.mark.parametrize(
    "failure",
    [
        ScriptedResponse(error=RESPONSE_LOST),
        ScriptedResponse(status=503, not_executed=True),
    ],
    ids=["lost", "rejected"],
)
def test_a_failed_prefill_uses_the_retry_budget(failure):
    """
    Prefill engines accept calls but prefill nothing.

    Each further call is a retry and must be paid from the retry budget.
    """
    harness = RelayHarness(retry_slack=0.0)
    harness.add_engines()
    harness.publish_stream()
    harness.transport.scripts["p0"] = failure
    assert harness.send(prompt=PROMPT).status == 503
    assert harness.called_upstreams() == ["p0"]


def test_an_unreachable_prefill_engine_uses_no_retry_budget():
    harness = RelayHarness(retry_slack=0.0)
    harness.add_engines()
    harness.publish_stream()
    harness.transport.scripts["p0"] = ScriptedResponse(error=CONNECT_FAILED)
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    assert harness.send(prompt=PROMPT).is_complete


# Guards against prefills without end, and unpaid, while engines that generate
# refuse connections.
def test_a_prompt_is_prefilled_again_only_if_the_budget_pays():
    harness = RelayHarness(retry_slack=0.0)
    harness.add_engines(prefill=1, decode=4)
    harness.publish_stream()
    for name in ("d0", "d1", "d2", "d3"):
        harness.transport.scripts[name] = ScriptedResponse(error=CONNECT_FAILED)
    assert harness.send(prompt=PROMPT).status == 503
    assert harness.called_upstreams().count("p0") == 1


# Guards against a retry with two calls that pays for one.
@pytest.mark.parametrize(("slack", "calls"), [(3.0, 2), (6.0, 4)])
def test_both_calls_of_a_split_retry_are_paid(slack, calls):
    harness = RelayHarness(retry_slack=slack)
    harness.add_engines()
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(status=503, not_executed=True))
    assert harness.send(prompt=PROMPT).status == 503
    assert len(harness.transport.calls) == calls


def test_a_decode_engine_removed_during_the_prefill_is_not_called(harness):
    harness.publish_stream()

    def remove_decode_engine(_):
        harness.directory.remove("d0")

    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"h",), during=remove_decode_engine
    )
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    assert harness.send(prompt=PROMPT).is_complete
    assert "d0" not in harness.called_upstreams()


UNREACHABLE = ScriptedResponse(error=CONNECT_FAILED)
MISDIRECTED = ScriptedResponse(status=421, not_executed=True)


# Guards against prefills repeated since one decode engine had just crashed.
@pytest.mark.parametrize("failure", [UNREACHABLE, MISDIRECTED], ids=["down", "421"])
def test_a_cache_that_was_not_fetched_goes_to_another_engine(harness, failure):
    harness.publish_stream()
    first = [failure, ScriptedResponse(pieces=STREAM)]
    harness.transport.scripts = {"d0": list(first), "d1": list(first)}
    harness.directory.record_failure(UpstreamId("d1"), harness.clock.seconds)
    harness.transport.scripts["d1"] = first[1:]
    assert harness.send(prompt=PROMPT).body == events(1, 3)
    assert harness.called_upstreams() == ["p0", "d0", "d1"]
    fetch = DecodeFromCache(harness.directory.get("p0").address, "handle")
    assert harness.transport.calls[-1][1].phase == fetch
    assert harness.transport.released_handles == []


def test_a_cache_offered_after_a_421_is_paid_from_the_retry_budget():
    harness = RelayHarness(retry_slack=0.0)
    harness.add_engines()
    harness.publish_stream()
    script_all_decoders(harness, MISDIRECTED)
    assert harness.send(prompt=PROMPT).status == 503
    assert len(harness.called_upstreams()) == 2
    assert harness.transport.released_handles == [("p0", "handle")]


def test_a_cache_that_no_engine_takes_is_released_after_bounded_tries():
    harness = RelayHarness()
    harness.add_engines(prefill=1, decode=6)
    harness.publish_stream()
    for number in range(6):
        harness.transport.scripts[f"d{number}"] = UNREACHABLE
    assert harness.send(prompt=PROMPT).status == 503
    assert len(harness.called_upstreams()) == 1 + MAX_CONNECT_FAILURES
    assert harness.transport.released_handles == [("p0", "handle")]


def restart_source(harness):
    harness.directory.put(
        upstream("p0", "llm", EngineRole.PREFILL, port=100, started_ms=2)
    )


def lose_source(harness):
    harness.clock.seconds += 0.01
    harness.directory.record_unreachable(UpstreamId("p0"), harness.clock.seconds)


def let_hold_time_pass(harness):
    harness.clock.seconds += 4.0


# Guards against offering a cache that ended with its engine.
@pytest.mark.parametrize("lose", [restart_source, lose_source, let_hold_time_pass])
def test_a_lost_cache_is_not_offered_again(harness, lose):
    harness.publish_stream()
    failure = ScriptedResponse(error=CONNECT_FAILED, during=lambda _: lose(harness))
    harness.transport.scripts = {
        "p0": [ScriptedResponse(pieces=(b"first",))],
        "d0": [failure],
        "d1": [failure],
    }
    harness.send(prompt=PROMPT)
    phases = [call.phase for _, call in harness.transport.calls]
    assert phases[1].handle == "first"
    assert all(getattr(phase, "handle", "") != "first" for phase in phases[2:])


# Guards against a further attempt spent on a cache that may be gone.
def test_a_cache_is_released_if_the_engine_could_not_fetch_it(harness):
    harness.publish_stream()
    rejected = ScriptedResponse(status=503, not_executed=True)
    script_all_decoders(harness, rejected)
    harness.send(prompt=PROMPT)
    assert harness.transport.released_handles[0] == ("p0", "handle")
    assert harness.called_upstreams()[2] == "p0"


# Guards against an engine ejected as unreachable since no time was left.
def test_a_request_past_its_deadline_is_not_sent_to_a_decode_engine(harness):
    harness.publish_stream()
    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), during=lambda _: let_hold_time_pass(harness)
    )
    response = harness.send(prompt=PROMPT, deadline_seconds=harness.clock.seconds + 3.0)
    assert response.status == 503
    assert harness.called_upstreams() == ["p0"]
    assert harness.transport.released_handles == [("p0", "handle")]


def test_the_cache_is_released_if_the_decode_engine_is_unreachable(harness):
    harness.publish_stream()
    harness.directory.remove("d1")
    harness.transport.scripts["d0"] = ScriptedResponse(error=CONNECT_FAILED)
    harness.send(prompt=PROMPT)
    assert harness.transport.released_handles[0] == ("p0", "handle")


def test_a_broken_stream_is_resumed_at_another_engine(harness):
    harness.publish_stream()
    script_all_decoders(harness, None)
    first = ScriptedResponse(pieces=(events(1, 2) + b"id: 3\nda", RESPONSE_LOST))
    rest = ScriptedResponse(pieces=(events(3, 4),))
    harness.transport.scripts = {"d0": [first, rest], "d1": [first, rest]}
    harness.directory.record_failure("d1", harness.clock.seconds)
    harness.transport.scripts["d1"] = [rest]
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 4)
    assert response.is_complete
    assert response.header("X-From") == "d0"
    assert harness.transport.calls[-1][1].last_event_id == "2"
    assert harness.transport.responses[0].outcome == ["aborted"]


def test_a_stream_that_may_not_be_resumed_is_aborted(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(harness, ScriptedResponse(pieces=(events(1, 2), RESPONSE_LOST)))
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete
    assert len(harness.called_upstreams()) == 1


def test_a_stream_that_may_not_be_resumed_is_executed_once(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(harness, ScriptedResponse(error=RESPONSE_LOST))
    assert harness.send(prompt=SHORT_PROMPT).status == 502
    assert len(harness.called_upstreams()) == 1


def test_a_stream_that_ends_within_an_event_is_aborted(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(harness, ScriptedResponse(pieces=(events(1, 2) + b"id: 3\n",)))
    response = harness.send(prompt=SHORT_PROMPT)
    assert not response.is_complete and response.is_aborted


def test_an_error_response_is_not_appended_to_a_resumed_stream(harness):
    harness.publish_stream()
    first = ScriptedResponse(pieces=(events(1, 2), RESPONSE_LOST))
    failure = ScriptedResponse(status=500, pieces=(b"failed",))
    harness.transport.scripts = {"d0": [first, failure], "d1": [first, failure]}
    harness.transport.scripts["d1"] = [failure]
    harness.directory.record_failure("d1", harness.clock.seconds)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 2)
    assert not response.is_complete


def test_max_attempts_bounds_the_engines_of_a_request(harness):
    harness.add(upstream("d2", "llm", EngineRole.DECODE, port=300))
    harness.publish_stream(max_attempts=2)
    for name in ("d0", "d1", "d2"):
        harness.transport.scripts[name] = ScriptedResponse(error=RESPONSE_LOST)
    assert harness.send(prompt=SHORT_PROMPT).status == 502
    assert len(harness.called_upstreams()) == 2


def test_a_rejected_stream_is_reported_as_not_executed_with_retry_after(harness):
    harness.publish_stream(is_resumable=False, max_attempts=1)
    script_all_decoders(harness, ScriptedResponse(status=503, not_executed=True))
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.status == 503
    assert float(response.header("Retry-After")) > 0


def test_a_disconnect_cancels_the_generation(harness):
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    responder = RecordingResponder(breaks_after=1)
    response = harness.send(responder, prompt=SHORT_PROMPT)
    assert response.is_aborted
    assert harness.transport.responses[0].outcome == ["aborted"]
    assert len(harness.called_upstreams()) == 1


def test_a_disconnect_during_the_prefill_cancels_the_request(harness):
    harness.publish_stream()
    harness.transport.scripts["p0"] = ScriptedResponse(
        error=RESPONSE_LOST, during=disconnect_caller
    )
    assert harness.send(prompt=PROMPT).is_aborted
    assert harness.called_upstreams() == ["p0"]


def test_prompts_are_refused_when_the_queues_are_too_long(harness):
    """Far more prompts arrive than the engines can prefill."""
    harness.publish_stream()
    for name in ("p0", "d0", "d1"):
        harness.loads.begin(name, 200_000)
    response = harness.send(prompt=PROMPT)
    assert response.status == 503
    assert harness.called_upstreams() == []


def test_a_stream_counts_once_for_its_customer(harness):
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    harness.send(prompt=SHORT_PROMPT)
    (counts,) = harness.usage.windows().values()
    assert counts == {"alice": 1}


def test_a_prompt_beyond_the_limit_of_an_engine_goes_to_another():
    harness = RelayHarness()
    harness.add_engines(prefill=0, decode=2)
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    harness.transport.scripts["d0"] = ScriptedResponse(
        pieces=STREAM, limit_per_second=0.5
    )
    answers = [harness.send(prompt=SHORT_PROMPT)]
    harness.wait(0.2)
    answers += [harness.send(prompt=SHORT_PROMPT) for _ in range(8)]
    assert {answer.status for answer in answers} == {200}
    assert harness.called_upstreams().count("d0") == 1


def test_prefills_count_against_the_limit_of_their_engine():
    harness = RelayHarness()
    harness.add_engines(prefill=2, decode=1)
    harness.publish_stream()
    for name in ("p0", "p1"):
        harness.limits.observe(
            UpstreamId(name), NamedLimit(1, 0.2, harness.clock.seconds), 0.0
        )
        harness.transport.scripts[name] = ScriptedResponse(
            pieces=(b"handle",), limit_per_second=0.2
        )
    for _ in range(6):
        harness.send(prompt=PROMPT)
    called = harness.called_upstreams()
    assert called.count("p0") <= 1 and called.count("p1") <= 1


def name_used_limit(harness, name):
    """Let another instance report a limit, and the request that uses it up."""
    now_seconds = harness.clock.seconds
    harness.limits.observe(UpstreamId(name), NamedLimit(1, 0.2, now_seconds), 0.0)
    sent = LimitedSends(1, UpstreamId(name), 1, 0.0)
    harness.keeper.record_sends(InstanceId("b"), f"b-{name}", (sent,), now_seconds)


# Guards against decode requests beyond a limit named during their prefill.
def test_a_limit_named_during_a_prefill_holds_for_its_decode():
    harness = RelayHarness()
    harness.add_engines(prefill=1, decode=2)
    harness.publish_stream()
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM))
    harness.loads.begin(UpstreamId("d1"), 1_000)
    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), during=lambda _: name_used_limit(harness, "d0")
    )
    assert harness.send(prompt=PROMPT).status == 200
    assert harness.called_upstreams() == ["p0", "d1"]


def test_a_prompt_is_refused_if_limits_are_used_up_during_its_prefill():
    harness = RelayHarness()
    harness.add_engines(prefill=1, decode=1)
    harness.publish_stream()
    harness.transport.scripts["p0"] = ScriptedResponse(
        pieces=(b"handle",), during=lambda _: name_used_limit(harness, "d0")
    )
    refused = harness.send(prompt=PROMPT)
    assert refused.status == 503
    assert float(refused.header("Retry-After")) > 0
    assert harness.called_upstreams() == ["p0"]
    assert harness.transport.released_handles == [("p0", "handle")]


def test_a_prompt_beyond_all_limits_is_refused_at_once_with_a_true_return():
    """Guards against holding a prompt until its deadline."""
    harness = RelayHarness()
    harness.add_engines(prefill=0, decode=1)
    harness.publish_stream()
    harness.transport.scripts["d0"] = ScriptedResponse(
        pieces=STREAM, limit_per_second=0.5
    )
    statuses = [harness.send(prompt=SHORT_PROMPT).status for _ in range(2)]
    assert statuses == [200, 200]
    harness.wait(0.2)
    refused = harness.send(prompt=SHORT_PROMPT)
    assert refused.status == 503
    return_seconds = float(refused.header("Retry-After"))
    harness.wait(return_seconds + 0.01)
    assert harness.send(prompt=SHORT_PROMPT).status == 200
    assert len(harness.transport.calls) == 3


def make_silent_harness(silent_seconds, replacement, retry_slack=54.0):
    """Return a harness whose first engine is silent within a stream."""
    harness = RelayHarness(retry_slack=retry_slack)
    harness.add_engines(prefill=0, decode=2)
    harness.publish_stream()
    pieces = (events(1, 2) + b"id: 3\nda", Silence(silent_seconds), b"ta: t3\n\n")
    harness.transport.scripts = {
        "d0": [ScriptedResponse(pieces=pieces)],
        "d1": [replacement],
    }
    harness.directory.record_failure(UpstreamId("d1"), harness.clock.seconds)
    return harness


REPLACEMENTS = {
    "rejects": ScriptedResponse(status=503, not_executed=True),
    "unreachable": ScriptedResponse(error=CONNECT_FAILED),
    "breaks": ScriptedResponse(error=RESPONSE_LOST),
    "fails": ScriptedResponse(status=500, pieces=(b"failed",)),
    "unsigned": ScriptedResponse(is_signed=False),
    "breaks after its head": ScriptedResponse(pieces=(RESPONSE_LOST,)),
    "ends within an event": ScriptedResponse(pieces=(events(3, 3)[:5],)),
    "repeats events": ScriptedResponse(pieces=(events(1, 3),)),
    "silent after its head": ScriptedResponse(pieces=(Silence(2.0), events(3, 3))),
    "silent": ScriptedResponse(delay_seconds=3.0),
    "slower": ScriptedResponse(pieces=(events(3, 3),), delay_seconds=0.29),
}


# Guards against a stream broken off because its sound engine was silent for a
# second and the next engine gave no answer (LOST beside a configuration).
@pytest.mark.parametrize("name", list(REPLACEMENTS))
def test_a_silent_engine_is_kept_until_another_has_begun_to_answer(name):
    harness = make_silent_harness(1.2, REPLACEMENTS[name])
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert response.body == events(1, 3)
    assert harness.transport.responses[0].outcome == ["finished"]
    assert harness.loads.local_loads() == {}


# Guards against streams broken off at a silent engine when no retry is left.
def test_a_silent_engine_is_kept_without_retry_budget():
    harness = make_silent_harness(2.5, ScriptedResponse(), retry_slack=0.0)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert response.body == events(1, 3)
    assert harness.called_upstreams() == ["d0"]


def test_a_silent_engine_is_given_up_once_another_has_begun_to_answer():
    harness = make_silent_harness(
        1.8, ScriptedResponse(pieces=(events(3, 3),), delay_seconds=0.2)
    )
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert response.body == events(1, 3)
    assert [answer.outcome for answer in harness.transport.responses] == [
        ["aborted"],
        ["finished"],
    ]
    assert harness.transport.calls[-1][1].last_event_id == "2"
    assert harness.loads.local_loads() == {}


def test_a_silent_engine_is_aborted_if_the_caller_disconnects():
    harness = make_silent_harness(
        1.8, ScriptedResponse(error=RESPONSE_LOST, during=disconnect_caller)
    )
    assert harness.send(prompt=SHORT_PROMPT).is_aborted
    assert harness.transport.responses[0].outcome == ["aborted"]
    assert harness.loads.local_loads() == {}


# Guards against a stream that stays with a failed engine since its replacement
# needs longer than both engines may run it.
def test_an_engine_that_is_silent_and_unreachable_is_replaced_later():
    harness = make_silent_harness(
        4.0, ScriptedResponse(pieces=(events(3, 3),), delay_seconds=0.8)
    )
    for _ in range(2):
        harness.directory.record_failure(UpstreamId("d1"), harness.clock.seconds)
    harness.directory.record_unresponsive(UpstreamId("d0"), harness.clock.seconds + 0.5)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert response.body == events(1, 3)
    assert harness.called_upstreams() == ["d0", "d1"]
    assert harness.clock.seconds < 102.0


# Guards against a stream that runs at two engines (TWICE), since a connection
# that the first one refused counted as its failure.
def test_an_engine_that_refuses_connections_keeps_its_silent_streams():
    harness = make_silent_harness(
        1.8, ScriptedResponse(pieces=(events(3, 3),), delay_seconds=0.7)
    )
    for _ in range(2):
        harness.directory.record_failure(UpstreamId("d1"), harness.clock.seconds)
    harness.directory.record_unreachable(UpstreamId("d0"), harness.clock.seconds + 0.5)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 3)
    assert harness.transport.responses[0].outcome == ["finished"]


# Guards against a stream that runs at two engines (TWICE) if the first one did
# not respond to a connection request, but goes on.
def test_an_engine_that_does_not_respond_is_given_up_before_it_is_replaced():
    harness = make_silent_harness(
        1.5, ScriptedResponse(pieces=(events(3, 3),), delay_seconds=0.8)
    )
    for _ in range(2):
        harness.directory.record_failure(UpstreamId("d1"), harness.clock.seconds)
    harness.directory.record_unresponsive(UpstreamId("d0"), harness.clock.seconds + 0.5)
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 3)
    assert [answer.outcome for answer in harness.transport.responses] == [
        ["aborted"],
        ["finished"],
    ]


# Guards against a stream that is cut before its deadline, as if an error could
# still be sent (LOST).
def test_a_stream_is_read_until_its_deadline():
    harness = RelayHarness()
    harness.add_engines(prefill=0, decode=1)
    harness.publish_stream(max_attempts=1)
    pieces = (events(1, 2), Silence(5.99), events(3, 3))
    harness.transport.scripts = {"d0": [ScriptedResponse(pieces=pieces)]}
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.is_complete
    assert response.body == events(1, 3)


# Guards against new work for an engine that has failed silently: it is avoided
# longer than one whose silence passes.
def test_an_engine_whose_stream_was_taken_over_is_avoided_longer():
    harness = make_silent_harness(5.0, ScriptedResponse(pieces=(events(3, 3),)))
    assert harness.send(prompt=SHORT_PROMPT).body == events(1, 3)
    harness.directory.record_success(UpstreamId("d1"))
    usable = harness.directory.usable("llm", harness.clock.seconds + 0.9)
    assert [engine.upstream_id for engine in usable] == ["d1"]


def resume_with(harness, continuation, is_resumable=True):
    """Let a stream break after two events; return what the caller gets."""
    harness.publish_stream(is_resumable=is_resumable)
    harness.transport.scripts = {
        "d0": [
            ScriptedResponse(
                pieces=(events(1, 2) + b"id: 3\nda", RESPONSE_LOST),
                media_type="text/event-stream",
            )
        ],
        "d1": [continuation],
    }
    harness.directory.record_failure("d1", harness.clock.seconds)
    return harness.send(prompt=SHORT_PROMPT)


# Guards against an error in the middle of a stream, or after it as its end.
@pytest.mark.parametrize(
    "continuation",
    [
        ScriptedResponse(status=500, pieces=(b"failed\n\n",)),
        ScriptedResponse(status=503, pieces=(b"failed\n\n",)),
        ScriptedResponse(status=503, pieces=(), not_executed=True),
        ScriptedResponse(status=404, pieces=(b"failed\n\n",)),
        ScriptedResponse(pieces=(events(3, 4),), is_signed=False),
        ScriptedResponse(error=RESPONSE_LOST),
        ScriptedResponse(error=CONNECT_FAILED),
    ],
    ids=["500", "503", "refused", "404", "unsigned", "lost", "unreachable"],
)
def test_a_failed_resumption_aborts_the_stream_between_events(harness, continuation):
    response = resume_with(harness, continuation)
    assert (response.status, response.body) == (200, events(1, 2))
    assert response.is_aborted and not response.is_complete


# Guards against a piece that comes twice in a resumed stream.
@pytest.mark.parametrize("first", [1, 2])
def test_a_resumption_that_repeats_events_aborts_the_stream(harness, first):
    response = resume_with(
        harness,
        ScriptedResponse(pieces=(events(first, 4),), media_type="text/event-stream"),
    )
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete


# Guards against an error in the middle of a stream.
@pytest.mark.parametrize("media_type", ["text/event-stream", "text/plain", None])
def test_a_resumption_without_event_ids_aborts_the_stream(harness, media_type):
    response = resume_with(
        harness, ScriptedResponse(pieces=(b"failed\n\n",), media_type=media_type)
    )
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete


# Guards against an error that ends a stream as if it were complete.
def test_a_resumption_of_another_media_type_aborts_the_stream(harness):
    response = resume_with(
        harness, ScriptedResponse(pieces=(), media_type="application/json")
    )
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete


def test_a_resumption_goes_on_with_parameters_of_its_media_type(harness):
    response = resume_with(
        harness,
        ScriptedResponse(
            pieces=(events(3, 4),), media_type="Text/Event-Stream; charset=utf-8"
        ),
    )
    assert response.body == events(1, 4)
    assert response.is_complete


def test_a_resumption_after_the_last_event_completes_the_stream(harness):
    """The first engine may fail between its last event and its end."""
    response = resume_with(
        harness, ScriptedResponse(pieces=(), media_type="text/event-stream")
    )
    assert response.body == events(1, 2)
    assert response.is_complete


# Guards against a stream that ends as complete before its last piece.
def test_a_resumption_that_ends_with_its_connection_before_an_event(harness):
    response = resume_with(
        harness,
        ScriptedResponse(pieces=(), media_type="text/event-stream", is_framed=False),
    )
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete


# Guards against an empty stream that looks complete.
def test_a_stream_that_ends_with_its_connection_before_an_event(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(harness, ScriptedResponse(pieces=(), is_framed=False))
    assert harness.send(prompt=SHORT_PROMPT).status == 502


def test_a_stream_without_framing_is_complete_after_an_event(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(harness, ScriptedResponse(pieces=STREAM, is_framed=False))
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 3)
    assert response.is_complete


def test_a_stream_without_framing_that_is_reset_is_aborted(harness):
    harness.publish_stream(is_resumable=False)
    script_all_decoders(
        harness,
        ScriptedResponse(pieces=(events(1, 2), RESPONSE_LOST), is_framed=False),
    )
    response = harness.send(prompt=SHORT_PROMPT)
    assert response.body == events(1, 2)
    assert response.is_aborted and not response.is_complete


# Guards against prefills that are not paid for, dropped as the silent engine
# went on, and asked for again at its next silence.
def test_prefills_dropped_for_a_silent_engine_are_charged_and_bounded(monkeypatch):
    harness = RelayHarness()
    harness.add_engines(prefill=1, decode=3)
    harness.publish_stream(max_attempts=3)
    harness.publish(timeout_seconds=30.0)
    pieces = [events(1, 1)]
    for number in range(2, 9):
        pieces += [Silence(1.2), events(number, number)]
    harness.transport.scripts["d0"] = ScriptedResponse(pieces=tuple(pieces))
    for name in ("d1", "d2"):
        harness.transport.scripts[name] = REPLACEMENTS["rejects"]
    harness.transport.scripts["p0"] = [
        ScriptedResponse(pieces=(b"handle",)),
        *(ScriptedResponse(pieces=(b"handle",), delay_seconds=0.6) for _ in range(9)),
    ]
    paid = []

    def spend(service, now_seconds, cost):
        paid.append(cost)
        return True

    monkeypatch.setattr(harness.budget, "spend", spend)
    assert harness.send(prompt=PROMPT).body == events(1, 8)
    extra = len(harness.called_upstreams()) - 2
    assert 0 < extra <= min(sum(paid), MAX_FAILED_PREFILLS)
