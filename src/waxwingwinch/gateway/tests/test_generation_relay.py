"""Streams: read apart, passed on as they come, resumed, never spliced."""

import pytest

from waxwingwinch._types import EngineRole
from waxwingwinch.gateway._requests import Prompt, PromptPart
from waxwingwinch.gateway._transport import ReadPrompt, Run, RunFromCache
from waxwingwinch.gateway.tests.relay_world import (
    LOST,
    PROMPT,
    SHORT_PROMPT,
    UNSENT,
    RecordingResponder,
    Script,
    World,
    caller_leaves,
    upstream,
)


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


STREAM = (event(1), event(2)[:5], event(2)[5:] + event(3))


@pytest.fixture
def world():
    world = World()
    world.add_engines()
    return world


def every_decoder(world, script):
    for name in ("d0", "d1"):
        world.transport.scripts[name] = script


def test_a_stream_is_passed_on_whole(world):
    world.publish_stream()
    every_decoder(world, Script(pieces=STREAM))
    answer = world.ask(prompt=SHORT_PROMPT)
    assert (answer.status, answer.body) == (200, events(1, 3))
    assert answer.is_whole
    assert world.loads.local_loads() == {}


def test_a_long_prompt_is_read_apart_and_its_cache_is_fetched(world):
    world.publish_stream()
    every_decoder(world, Script(pieces=STREAM))
    assert world.ask(prompt=PROMPT).body == events(1, 3)
    (reader, read), (decoder, run) = world.transport.calls
    assert reader == "p0" and isinstance(read.phase, ReadPrompt)
    assert run.phase == RunFromCache(world.directory.get("p0").address, "handle")
    assert decoder in ("d0", "d1")


def test_a_held_beginning_is_not_read_apart_again(world):
    world.publish_stream()
    every_decoder(world, Script(pieces=STREAM))
    parts = (PromptPart("book", 13_000), PromptPart("own", 500))
    prompt = Prompt("m", 13_500, 20, parts)
    world.ask(prompt=prompt)
    holder = world.called()[-1]
    world.transport.calls.clear()
    world.ask(prompt=prompt)
    assert world.called() == [holder]


def test_a_failed_reading_is_done_elsewhere(world):
    world.publish_stream()
    world.transport.scripts["p0"] = Script(error=LOST)
    every_decoder(world, Script(pieces=STREAM))
    answer = world.ask(prompt=PROMPT)
    assert answer.is_whole
    assert isinstance(world.transport.calls[-1][1].phase, Run)


@pytest.mark.parametrize(
    "failure",
    [Script(error=LOST), Script(status=503, not_executed=True)],
    ids=["lost", "rejected"],
)
def test_a_failed_reading_costs_a_repeat(failure):
    """Pattern: prefill engines take calls and read nothing."""
    world = World(slack=0.0)
    world.add_engines()
    world.publish_stream()
    world.transport.scripts["p0"] = failure
    assert world.ask(prompt=PROMPT).status == 503
    assert world.called() == ["p0"]


def test_an_unreachable_reader_costs_no_repeat():
    world = World(slack=0.0)
    world.add_engines()
    world.publish_stream()
    world.transport.scripts["p0"] = Script(error=UNSENT)
    every_decoder(world, Script(pieces=STREAM))
    assert world.ask(prompt=PROMPT).is_whole


def test_a_decoder_that_leaves_during_the_reading_gets_nothing(world):
    world.publish_stream()

    def decoder_leaves(_):
        world.directory.remove("d0")

    world.transport.scripts["p0"] = Script(pieces=(b"h",), during=decoder_leaves)
    every_decoder(world, Script(pieces=STREAM))
    assert world.ask(prompt=PROMPT).is_whole
    assert "d0" not in world.called()


def test_an_unreachable_decoder_leaves_no_cache_behind(world):
    world.publish_stream()
    world.directory.remove("d1")
    world.transport.scripts["d0"] = Script(error=UNSENT)
    world.ask(prompt=PROMPT)
    assert world.transport.dropped[0] == ("p0", "handle")


def test_a_broken_stream_goes_on_at_another_engine(world):
    world.publish_stream()
    every_decoder(world, None)
    first = Script(pieces=(events(1, 2) + b"id: 3\nda", LOST))
    rest = Script(pieces=(events(3, 4),))
    world.transport.scripts = {"d0": [first, rest], "d1": [first, rest]}
    world.directory.record_failure("d1", world.clock.seconds)
    world.transport.scripts["d1"] = [rest]
    answer = world.ask(prompt=SHORT_PROMPT)
    assert answer.body == events(1, 4)
    assert answer.is_whole
    assert answer.header("X-From") == "d0"
    assert world.transport.calls[-1][1].last_event_id == "2"
    assert world.transport.answers[0].outcome == ["aborted"]


def test_a_stream_that_may_not_be_resumed_is_broken_off(world):
    world.publish_stream(is_resumable=False)
    every_decoder(world, Script(pieces=(events(1, 2), LOST)))
    answer = world.ask(prompt=SHORT_PROMPT)
    assert answer.body == events(1, 2)
    assert answer.is_aborted and not answer.is_whole
    assert len(world.called()) == 1


def test_a_stream_that_may_not_be_resumed_runs_once(world):
    world.publish_stream(is_resumable=False)
    every_decoder(world, Script(error=LOST))
    assert world.ask(prompt=SHORT_PROMPT).status == 502
    assert len(world.called()) == 1


def test_a_stream_that_ends_inside_an_event_does_not_look_whole(world):
    world.publish_stream(is_resumable=False)
    every_decoder(world, Script(pieces=(events(1, 2) + b"id: 3\n",)))
    answer = world.ask(prompt=SHORT_PROMPT)
    assert not answer.is_whole and answer.is_aborted


def test_a_resumed_stream_is_not_joined_with_a_failure(world):
    world.publish_stream()
    first = Script(pieces=(events(1, 2), LOST))
    failure = Script(status=500, pieces=(b"failed",))
    world.transport.scripts = {"d0": [first, failure], "d1": [first, failure]}
    world.transport.scripts["d1"] = [failure]
    world.directory.record_failure("d1", world.clock.seconds)
    answer = world.ask(prompt=SHORT_PROMPT)
    assert answer.body == events(1, 2)
    assert not answer.is_whole


def test_attempts_bound_the_engines_of_a_request(world):
    world.add(upstream("d2", "llm", EngineRole.DECODE, port=300))
    world.publish_stream(max_attempts=2)
    for name in ("d0", "d1", "d2"):
        world.transport.scripts[name] = Script(error=LOST)
    assert world.ask(prompt=SHORT_PROMPT).status == 502
    assert len(world.called()) == 2


def test_a_rejected_stream_is_told_as_not_run(world):
    world.publish_stream(is_resumable=False, max_attempts=1)
    every_decoder(world, Script(status=503, not_executed=True))
    answer = world.ask(prompt=SHORT_PROMPT)
    assert answer.status == 503
    assert float(answer.header("Retry-After")) > 0


def test_a_caller_who_leaves_ends_the_work(world):
    world.publish_stream()
    every_decoder(world, Script(pieces=STREAM))
    responder = RecordingResponder(breaks_after=1)
    answer = world.ask(responder, prompt=SHORT_PROMPT)
    assert answer.is_aborted
    assert world.transport.answers[0].outcome == ["aborted"]
    assert len(world.called()) == 1


def test_a_caller_who_leaves_during_the_reading_ends_the_work(world):
    world.publish_stream()
    world.transport.scripts["p0"] = Script(error=LOST, during=caller_leaves)
    assert world.ask(prompt=PROMPT).is_aborted
    assert world.called() == ["p0"]


def test_prompts_are_turned_away_when_too_much_waits(world):
    """Pattern: many more prompts come than the engines can read."""
    world.publish_stream()
    for name in ("p0", "d0", "d1"):
        world.loads.begin(name, 200_000)
    answer = world.ask(prompt=PROMPT)
    assert answer.status == 503
    assert world.called() == []


def test_a_stream_counts_once_for_its_customer(world):
    world.publish_stream()
    every_decoder(world, Script(pieces=STREAM))
    world.ask(prompt=SHORT_PROMPT)
    (counts,) = world.usage.windows().values()
    assert counts == {"alice": 1}
