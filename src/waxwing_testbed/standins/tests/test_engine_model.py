import queue

import pytest
from hypothesis import given, settings, strategies

from waxwing_testbed import expected_token
from waxwing_testbed.standins import (
    EngineLags,
    EngineLimits,
    EngineSettings,
    EngineSpeeds,
)
from waxwing_testbed.standins._engine_model import EngineModel
from waxwing_testbed.standins._generation import Generation, Refusal
from waxwingwinch._types import Address, EngineRole, ModelName, UpstreamId, ZoneName
from waxwingwinch.interfaces import (
    CacheEventKind,
    GenerateCall,
    LoadAdapter,
    LoadModel,
    SetRole,
    StreamEnd,
    StreamPart,
)
from waxwingwinch.prefixes import prefix_hashes

MODEL = ModelName("m")
SPEEDS = EngineSpeeds(
    decode_seconds_per_token=0.1,
    prefill_tokens_per_second=100.0,
    kv_import_pieces_per_second=10.0,
)


LAGS = EngineLags()


def make_model(role=EngineRole.MIXED, lags=LAGS, **limits):
    engine_settings = EngineSettings(
        name=UpstreamId("e"),
        address=Address("127.0.0.1", 1),
        zone=ZoneName("z"),
        model=MODEL,
        role=role,
        speeds=SPEEDS,
        lags=lags,
        limits=EngineLimits(**limits),
    )
    return EngineModel(engine_settings, 0.0)


def call(name="g", words=100, max_tokens=3, **fields):
    return GenerateCall(name, MODEL, "word " * words, max_tokens, **fields)


def submit(model, wanted, now_seconds=0.0, imported=False) -> Generation:
    taken = model.submit(wanted, imported, now_seconds)
    assert isinstance(taken, Generation)
    return taken


def items(generation):
    found = []
    while True:
        try:
            found.append(generation.items.get_nowait())
        except queue.Empty:
            return found


def indexes(generation):
    return [row.index for row in items(generation) if isinstance(row, StreamPart)]


def test_tokens_come_at_the_set_pace_after_the_prompt_was_read():
    model = make_model()
    generation = submit(model, call())
    model.advance(0.99)
    assert items(generation) == []
    model.advance(1.0)
    assert items(generation) == [StreamPart(0, expected_token("word " * 100, 0))]
    model.advance(1.11)
    assert indexes(generation) == [1]
    model.advance(1.21)
    assert [type(row) for row in items(generation)] == [StreamPart, StreamEnd]


@settings(deadline=None)
@given(strategies.integers(0, 5), strategies.integers(0, 5))
def test_a_resumed_answer_goes_on_with_the_same_tokens(resume, more):
    model = make_model()
    wanted = call(max_tokens=resume + more, resume_from_token=resume)
    generation = submit(model, wanted)
    model.advance(100.0)
    *parts, end = items(generation)
    assert [row.index for row in parts] == list(range(resume, resume + more))
    assert all(row.text == expected_token(wanted.prompt, row.index) for row in parts)
    assert isinstance(end, StreamEnd) and end.output_tokens == resume + more


def test_a_cached_prefix_is_not_read_again():
    model = make_model()
    submit(model, call("first", words=128))
    model.advance(10.0)
    second = submit(model, call("second", words=160), 10.0)
    model.advance(10.0 + 0.32 + 0.001)
    assert indexes(second) == [0]
    model.advance(20.0)
    assert items(second)[-1].cached_prompt_tokens == 128


def test_the_batch_is_bounded_and_honours_priority():
    model = make_model(max_running=1)
    # Too short for the prefix cache, so each takes half a second to read.
    first = submit(model, call("first", words=50, max_tokens=1))
    low = submit(model, call("low", words=50, max_tokens=1))
    high = submit(model, call("high", words=50, max_tokens=1, priority=1))
    model.advance(0.501)
    assert (len(items(first)), len(items(low)), len(items(high))) == (2, 0, 0)
    model.advance(1.001)
    assert (len(items(low)), len(items(high))) == (0, 2)
    model.advance(1.501)
    assert len(items(low)) == 2


def test_memory_bounds_what_runs():
    model = make_model(kv_pieces=2)
    first = submit(model, call("first", words=1_000, max_tokens=100))
    second = submit(model, call("second", words=10, max_tokens=1))
    model.advance(10.001)
    assert indexes(first) == [0]
    assert items(second) == []
    model.cancel("first", 10.002)
    model.advance(11.0)
    assert indexes(second) == [0]


def test_what_never_fits_is_refused():
    model = make_model(kv_pieces=1)
    wanted = call(words=1_000, max_tokens=100)
    assert model.submit(wanted, False, 0.0) is Refusal.PROMPT_TOO_LONG


@pytest.mark.parametrize(
    ("action", "cut_streams", "takes_seconds"),
    [
        (SetRole(EngineRole.DECODE), 1, SPEEDS.role_change_seconds),
        (LoadModel(MODEL, "2"), 1, SPEEDS.model_load_seconds),
        (LoadAdapter("a", "1"), 0, SPEEDS.adapter_load_seconds),
    ],
)
def test_a_change_refuses_calls_and_cuts_streams(action, cut_streams, takes_seconds):
    model = make_model()
    generation = submit(model, call(max_tokens=1_000))
    model.advance(2.0)
    items(generation)
    assert model.change(action, 2.0) == cut_streams
    assert (None in items(generation)) == bool(cut_streams)
    assert model.submit(call("other"), False, 2.0) is Refusal.NOT_ACCEPTING
    model.advance(2.0 + takes_seconds)
    submit(model, call("other"), 2.0 + takes_seconds)


def test_role_and_adapters_take_effect_after_their_changes():
    model = make_model()
    wanted = call(adapter="a")
    assert model.submit(wanted, False, 0.0) is Refusal.ADAPTER_NOT_LOADED
    model.change(LoadAdapter("a", "1"), 0.0)
    model.change(SetRole(EngineRole.PREFILL), 0.0)
    model.advance(2.9)
    assert model.busy
    model.advance(3.0)
    submit(model, wanted, 3.0)
    model.advance(10.0)
    assert model.load_report(10.0).role is EngineRole.PREFILL


def test_kv_is_exported_once_and_imported_at_the_bandwidth():
    source = make_model()
    submit(source, call(words=2_000, prefill_only=True))
    source.advance(20.0)
    assert source.take_export("g") == 2
    assert source.take_export("g") is None
    sink = make_model(EngineRole.DECODE)
    generation = submit(sink, call(words=2_000), imported=True)
    sink.advance(0.19)
    assert indexes(generation) == []
    sink.advance(0.21)
    assert indexes(generation) == [0]


def test_an_export_that_nobody_fetches_expires():
    model = make_model(kv_pieces=2, export_keep_seconds=5.0)
    submit(model, call(words=2_000, prefill_only=True))
    model.advance(20.0)
    assert model.load_report(22.0).kv_pieces_used == 2
    model.advance(30.0)
    assert model.load_report(30.0).kv_pieces_used == 0


def test_load_reports_are_late():
    model = make_model(lags=EngineLags(load_interval_seconds=1.0, load_lag_seconds=0.5))
    model.advance(0.1)
    submit(model, call(max_tokens=1_000), 0.1)
    model.advance(1.4)
    assert model.load_report(1.4).running == 0
    report = model.load_report(1.6)
    assert (report.running, round(report.age_seconds, 3)) == (1, 0.6)


def test_cache_events_are_late():
    model = make_model(lags=EngineLags(cache_event_lag_seconds=1.0))
    submit(model, call(words=64))
    model.advance(0.7)
    assert model.cache_events(0, 1.5).events == ()
    page = model.cache_events(0, 1.7)
    assert [event.kind for event in page.events] == [CacheEventKind.STORED]
    assert page.events[0].prefix_hash == prefix_hashes("word " * 64)[0]
    assert model.cache_events(page.next_sequence, 9.0).events == ()


def test_lost_cache_events_leave_gaps():
    lags = EngineLags(cache_event_lag_seconds=0.0, cache_event_gap_probability=0.5)
    model = make_model(lags=lags)
    prompt = " ".join(str(number) for number in range(64 * 40))
    submit(model, GenerateCall("g", MODEL, prompt, 1))
    model.advance(100.0)
    sequences = [event.sequence for event in model.cache_events(0, 100.0).events]
    assert 0 < len(sequences) < 40
    assert sequences == sorted(set(sequences))


def test_a_full_cache_evicts_the_oldest_prefix():
    lags = EngineLags(cache_event_lag_seconds=0.0)
    model = make_model(lags=lags, cached_prefixes=1)
    submit(model, GenerateCall("a", MODEL, "oak " * 64, 1))
    submit(model, GenerateCall("b", MODEL, "ash " * 64, 1))
    model.advance(10.0)
    last = model.cache_events(0, 10.0).events[-1]
    assert last.kind is CacheEventKind.EVICTED
    assert last.prefix_hash == prefix_hashes("oak " * 64)[0]


@pytest.mark.parametrize(
    ("role", "prefill_factor", "decode_factor"),
    [
        (EngineRole.MIXED, 1, 1),
        (EngineRole.PREFILL, 1, 2),
        (EngineRole.DECODE, 2, 1),
    ],
)
def test_work_outside_the_role_is_slower(role, prefill_factor, decode_factor):
    model = make_model(role)
    generation = submit(model, call())
    ready_seconds = 1.0 * prefill_factor
    model.advance(ready_seconds + 0.001)
    assert indexes(generation) == [0]
    model.advance(ready_seconds + 0.1 * decode_factor - 0.001)
    assert indexes(generation) == []
    model.advance(ready_seconds + 0.1 * decode_factor + 0.001)
    assert indexes(generation) == [1]
