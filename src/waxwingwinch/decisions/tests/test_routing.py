"""Tests of routing."""

import pytest
from attrs import evolve
from hypothesis import given, strategies as st

from waxwingwinch._types import (
    Address,
    EngineRole,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.contracts import UpstreamView
from waxwingwinch.decisions import (
    Candidate,
    FewestInFlight,
    LeastConnections,
    NoEngine,
    RoundRobin,
    Routed,
    RoutingPolicy,
    RoutingRequest,
    SentWork,
    choose_engine,
    queue_seconds,
)
from waxwingwinch.interfaces import ListedUpstream, LoadReport
from waxwingwinch.prefixes import prefix_hashes

ZONE = ZoneName("north")
MODEL = ModelName("tutor")
NOW = 100.0


def view(
    name: str,
    role: EngineRole = EngineRole.MIXED,
    zone: str = ZONE,
    state: UpstreamState = UpstreamState.ACTIVE,
    cached: frozenset[str] = frozenset(),
    **load: object,
) -> UpstreamView:
    upstream_id = UpstreamId(name)
    row = ListedUpstream(
        upstream_id,
        UpstreamKind.ENGINE,
        Address("127.0.0.1", 1),
        ZoneName(zone),
        PriceClass.CHEAP,
        1.0,
        UpstreamState.ACTIVE,
    )
    report = LoadReport(
        upstream_id, 0.0, role, MODEL, (), 0, 0, 0, 0, 100, 10_000.0, 0.02
    )
    report = evolve(report, **load)  # type: ignore[arg-type]
    return UpstreamView(row, state, role, MODEL, report, NOW, cached)


def candidate(name: str, **fields: object) -> Candidate:
    return Candidate(view(name, **fields))  # type: ignore[arg-type]


def request(prompt_tokens: int = 100, **fields: object) -> RoutingRequest:
    return RoutingRequest(prompt_tokens, 64, ZONE, **fields)  # type: ignore[arg-type]


def chosen(asked: RoutingRequest, *candidates: Candidate, now: float = NOW) -> str:
    choice = choose_engine(asked, candidates, now)
    assert isinstance(choice, Routed)
    return str(choice.engine.upstream_id)


def test_prefers_the_shorter_queue():
    busy = candidate("a", waiting_prompt_tokens=5_000)
    assert chosen(request(), busy, candidate("b")) == "b"


def test_reported_queue_shrinks_by_the_prefill_since_the_report():
    busy = candidate("a", waiting_prompt_tokens=5_000)
    assert queue_seconds(busy, NOW) == 0.5
    assert queue_seconds(busy, NOW + 0.2) == pytest.approx(0.3)
    assert queue_seconds(busy, NOW + 9) == 0.0


def test_counts_work_sent_since_the_report():
    sent = evolve(candidate("a"), sent_since_report=SentWork(2, 4_000))
    reported_by_peers = evolve(candidate("b"), peers_in_flight=SentWork(2, 6_000))
    assert queue_seconds(sent, NOW) == 0.4
    assert queue_seconds(reported_by_peers, NOW) == 0.6
    assert chosen(request(), sent, reported_by_peers) == "a"


def test_weighs_a_cached_prefix_against_the_queue():
    text = "word " * 2_000
    hashes = prefix_hashes(text)
    asked = request(2_000, prefix_hashes=hashes)
    cached = frozenset(hashes)
    warm = candidate("b", cached=cached, waiting_prompt_tokens=500)
    assert chosen(asked, candidate("a"), warm) == "b"
    full = candidate("b", cached=cached, waiting_prompt_tokens=5_000)
    assert chosen(asked, candidate("a"), full) == "a"


def test_cached_prefix_counts_only_up_to_the_first_gap():
    hashes = prefix_hashes("word " * 2_000)
    asked = request(2_000, prefix_hashes=hashes)
    gap = candidate("b", cached=frozenset(hashes[1:]), waiting_prompt_tokens=10)
    assert chosen(asked, candidate("a"), gap) == "a"


def test_counts_sent_prefixes_that_cache_events_lack():
    hashes = prefix_hashes("word " * 2_000)
    asked = request(2_000, prefix_hashes=hashes)
    sent = evolve(candidate("b"), sent_prefixes=frozenset(hashes))
    assert chosen(asked, candidate("a"), sent) == "b"


def test_draws_among_equal_engines():
    engines = [candidate(name) for name in "abcd"]
    drawn = [chosen(request(draw=n / 8), *engines) for n in range(8)]
    assert drawn == list("aabbccdd")
    fewest = request(draw=0.9, policy=FewestInFlight())
    assert chosen(fewest, *engines) == "d"


def test_prefers_engines_in_the_same_zone_and_fast_ones():
    assert chosen(request(), candidate("a", zone="south"), candidate("b")) == "b"
    slow = candidate("a", decode_seconds_per_token=0.2)
    assert chosen(request(), slow, candidate("b")) == "b"


def test_avoids_engines_without_kv_cache():
    full = candidate("a", kv_pieces_used=100)
    assert chosen(request(), full, candidate("b", waiting_prompt_tokens=900)) == "b"


def test_decode_engine_prefills_when_prefill_engines_are_busy():
    prefill_engine = candidate(
        "p", role=EngineRole.PREFILL, waiting_prompt_tokens=50_000
    )
    decode_engine = candidate("d", role=EngineRole.DECODE)
    choice = choose_engine(request(2_000), (prefill_engine, decode_engine), NOW)
    assert isinstance(choice, Routed)
    assert (choice.engine.upstream_id, choice.prefill_engine) == ("d", None)


def test_reported_speed_is_not_slowed_down_for_the_role():
    slow = candidate("d", role=EngineRole.DECODE, prefill_tokens_per_second=4_000.0)
    choice = choose_engine(request(4_000), (slow,), NOW)
    assert isinstance(choice, Routed)
    assert choice.first_token_seconds == pytest.approx(1.0, abs=0.01)
    unknown = Candidate(evolve(view("d", role=EngineRole.DECODE), load=None))
    choice = choose_engine(request(4_000), (unknown,), NOW)
    assert isinstance(choice, Routed)
    assert choice.first_token_seconds == pytest.approx(1.0, abs=0.01)


def test_splits_long_prompts_if_the_gain_suffices():
    prefill_engine = candidate(
        "p", role=EngineRole.PREFILL, decode_seconds_per_token=0.1
    )
    decode_engine = candidate(
        "d", role=EngineRole.DECODE, prefill_tokens_per_second=900.0
    )
    long = choose_engine(request(4_000), (prefill_engine, decode_engine), NOW)
    assert isinstance(long, Routed)
    assert long.prefill_engine is not None
    assert (long.engine.upstream_id, long.prefill_engine.upstream_id) == ("d", "p")
    resumed = choose_engine(
        request(4_000, resuming=True), (prefill_engine, decode_engine), NOW
    )
    assert isinstance(resumed, Routed)
    assert resumed.prefill_engine is None


def test_policies():
    first = candidate("a", running=3, waiting=1)
    second = candidate("b", running=1, waiting_prompt_tokens=90_000)
    third = candidate("c", running=2)
    engines = (first, second, third)

    def by(policy: RoutingPolicy) -> str:
        return chosen(request(policy=policy), *engines)

    assert [by(RoundRobin(turn)) for turn in range(4)] == ["a", "b", "c", "a"]
    assert by(LeastConnections()) == "b"
    assert by(FewestInFlight()) == "b"
    crowded = evolve(second, peers_in_flight=SentWork(9, 0))
    policy = FewestInFlight()
    assert chosen(request(policy=policy), first, crowded, third) == "c"


STATES = st.sampled_from(list(UpstreamState))


@given(
    st.lists(
        st.tuples(
            STATES,
            st.booleans(),
            st.integers(0, 100_000),
            st.sampled_from(list(EngineRole)),
        ),
        max_size=6,
    ),
    st.integers(1, 50_000),
    st.sets(st.integers(0, 5)),
)
def test_never_uses_engines_that_take_no_work(rows, prompt_tokens, excluded):
    candidates = tuple(
        candidate(
            f"e{n}",
            role=role,
            state=state,
            accepting=accepting,
            waiting_prompt_tokens=waiting,
        )
        for n, (state, accepting, waiting, role) in enumerate(rows)
    )
    names = frozenset(UpstreamId(f"e{n}") for n in excluded)
    choice = choose_engine(request(prompt_tokens, excluded=names), candidates, NOW)
    usable = {
        f"e{n}"
        for n, (state, accepting, _, _) in enumerate(rows)
        if state is UpstreamState.ACTIVE and accepting and n not in excluded
    }
    if isinstance(choice, NoEngine):
        assert not usable
        return
    used = {choice.engine.upstream_id}
    if choice.prefill_engine is not None:
        used.add(choice.prefill_engine.upstream_id)
    assert used <= usable
    assert choice.first_token_seconds > choice.queue_seconds >= 0.0
