"""Placement and admission under the load patterns named by the users."""

from attrs import evolve

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._admission import Admit, Refuse, admit_generation
from waxwingwinch.gateway._loads import LoadTracker, UpstreamLoad
from waxwingwinch.gateway._placement import (
    EngineOption,
    PlainOption,
    PromptSize,
    RunDirectly,
    RunSplit,
    place_plain,
    place_prompt,
)
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._requests import PromptPart
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.capacity import INITIAL_SLOWDOWN, CapacityTracker

NORTH, SOUTH = ZoneName("north"), ZoneName("south")
ENGINE = UpstreamId("e")
LONG = PromptSize(17_000, "book-1", 0.6)
SHORT = PromptSize(1_400, "ask-1", 0.4)


def engine(name, role, cached=0, waiting=0, running=0, zone=NORTH):
    return EngineOption(
        UpstreamId(name), role, zone, UpstreamLoad(waiting, running), cached
    )


def decode_engine(name, **values):
    return engine(name, EngineRole.DECODE, **values)


def prefill_engine(name, **values):
    return engine(name, EngineRole.PREFILL, **values)


def make_engines(**values):
    decode_engines = [decode_engine(f"d{index}", **values) for index in range(4)]
    return decode_engines + [prefill_engine(f"p{index}") for index in range(3)]


def test_uncached_long_prompt_is_split():
    """Load pattern: the day begins with cold caches."""
    placement = place_prompt(LONG, make_engines(), NORTH)
    assert isinstance(placement, RunSplit)


def test_short_prompt_runs_directly():
    assert isinstance(place_prompt(SHORT, make_engines(), NORTH), RunDirectly)


def test_long_prompt_goes_to_engine_with_cached_prefix():
    """Load pattern: many questions about few books."""
    options = [*make_engines(), prefill_engine("holder", cached=13_300)]
    placement = place_prompt(LONG, options, NORTH)
    assert isinstance(placement, RunSplit)
    assert placement.prefill_id == "holder"
    options = [*make_engines(), decode_engine("holder", cached=16_000)]
    placement = place_prompt(LONG, options, NORTH)
    assert isinstance(placement, RunDirectly)
    assert placement.upstream_id == "holder"


def test_idle_engine_is_preferred_to_busy_engine_with_cached_prefix():
    """Load pattern: many requests for the same book at once."""
    options = [*make_engines(), decode_engine("holder", cached=13_300, waiting=60_000)]
    placement = place_prompt(LONG, options, NORTH)
    chosen = getattr(placement, "upstream_id", None)
    assert chosen != "holder"


def test_all_instances_choose_same_engine_for_uncached_prefix():
    """Load pattern: several instances get requests for the same new book."""
    options = make_engines()
    north = place_prompt(LONG, options, NORTH)
    south = place_prompt(LONG, list(reversed(options)), SOUTH)
    assert isinstance(north, RunSplit) and isinstance(south, RunSplit)
    assert (north.prefill_id, north.decode_id) == (south.prefill_id, south.decode_id)


def test_uncached_prefixes_are_spread_over_engines():
    placements = [
        place_prompt(PromptSize(17_000, f"book-{index}", 0.6), make_engines(), NORTH)
        for index in range(60)
    ]
    chosen = {
        placement.prefill_id
        for placement in placements
        if isinstance(placement, RunSplit)
    }
    assert chosen == {"p0", "p1", "p2"}


def test_prefill_engines_with_long_queues_are_avoided():
    """Load pattern: a shift to long prompts overloads the prefill engines."""
    options = [decode_engine("d0"), prefill_engine("p0", waiting=200_000)]
    assert isinstance(place_prompt(LONG, options, NORTH), RunDirectly)


def test_no_placement_without_decode_engines():
    assert place_prompt(LONG, [prefill_engine("p0")], NORTH) is None


def test_long_prompts_are_admitted_on_idle_engines():
    """Load pattern: the longest tenth of prompts takes seconds to prefill."""
    assert admit_generation(2.4, 2.4, 0.6, 6.0) == Admit()


def test_prompts_behind_long_queue_are_rejected():
    """Load pattern: more prompts arrive than the engines can prefill."""
    decision = admit_generation(1.5, 0.3, 0.6, 6.0)
    assert isinstance(decision, Refuse)
    assert 0.2 <= decision.retry_after_seconds <= 2.0


def test_prompt_that_misses_its_deadline_is_rejected():
    assert isinstance(admit_generation(3.5, 3.4, 0.5, 4.0), Refuse)


def plain(name, running=0, zone=NORTH, is_cold=False):
    return PlainOption(UpstreamId(name), zone, 6, running, is_cold)


def test_plain_calls_stay_in_local_zone_unless_it_is_busier():
    options = [plain("north"), plain("south", zone=SOUTH)]
    assert place_plain(options, SOUTH) == "south"
    busy = [plain("north"), plain("south", running=4, zone=SOUTH)]
    assert place_plain(busy, SOUTH) == "north"


def test_plain_calls_are_not_placed_when_all_queues_are_full():
    assert place_plain([plain("a", running=24), plain("b", running=24)], NORTH) is None


def test_loads_of_silent_peers_are_ignored():
    tracker = LoadTracker()
    tracked_request = tracker.begin(UpstreamId("e"), 5_000)
    tracker.record_loads("peer", {UpstreamId("e"): UpstreamLoad(3_000, 2)}, True, 10.0)
    assert tracker.totals(10.5)[ENGINE] == UpstreamLoad(8_000, 3)
    assert tracker.totals(20.0)[ENGINE] == UpstreamLoad(5_000, 1)
    tracked_request.mark_prefilled()
    assert tracker.totals(20.0)[ENGINE] == UpstreamLoad(0, 1)
    tracked_request.end()
    tracked_request.end()
    assert tracker.local_loads() == {}


def test_announced_work_of_peer_counts_immediately():
    """Guards against several instances choosing the same idle engine."""
    tracker = LoadTracker()
    announced = []
    tracker.announce = lambda upstream_id, tokens: announced.append(
        (upstream_id, tokens)
    )
    tracker.begin(ENGINE, 100)
    tracker.begin(ENGINE, 9_000)
    assert announced == [("e", 9_000)]
    tracker.record_loads("peer", {}, True, 10.0)
    tracker.add_announced_work("peer", ENGINE, 7_000)
    assert tracker.totals(10.1)[ENGINE] == UpstreamLoad(16_100, 3)
    tracker.record_loads("peer", {}, True, 10.2)
    assert tracker.totals(10.3)[ENGINE] == UpstreamLoad(9_100, 2)


def upstream(name, started_ms=0):
    return Upstream(
        UpstreamId(name),
        started_ms,
        "model",
        Address("e", 1),
        NORTH,
        RegisteredState.READY,
        6,
        role=EngineRole.PREFILL,
    )


def test_slow_engines_are_detected_and_get_fewer_prompts():
    """Load pattern: some engines take 1.8 times as long as others."""
    tracker, slow, quick = CapacityTracker(), upstream("slow"), upstream("quick")
    for index in range(30):
        tracker.observe_prefill(slow, 0.2, 0.0, 0.36, index / 3)
        tracker.observe_prefill(quick, 0.2, 0.0, 0.2, index / 3)
    slow_estimate, quick_estimate = (
        tracker.estimate(engine, 10.0) for engine in (slow, quick)
    )
    assert slow_estimate.prefill > 1.7
    assert quick_estimate.prefill < 1.1
    options = [
        decode_engine("d0"),
        evolve(prefill_engine("slow"), capacity=slow_estimate),
        evolve(prefill_engine("quick"), capacity=quick_estimate),
    ]
    chosen = [
        place_prompt(PromptSize(17_000, f"book-{index}", 0.6), options, NORTH)
        for index in range(100)
    ]
    quick = [
        placement
        for placement in chosen
        if getattr(placement, "prefill_id", "") == "quick"
    ]
    assert len(quick) > 80
    tracker.remove(UpstreamId("slow"))
    usual = CapacityTracker().estimate(slow, 10.0).prefill
    assert usual == INITIAL_SLOWDOWN
    assert tracker.estimate(slow, 10.0) == tracker.estimate(upstream("new"), 10.0)


def test_only_leading_parts_count_and_full_cache_evicts_oldest():
    index = PrefixIndex()
    parts = (PromptPart("a", 100), PromptPart("b", 50), PromptPart("c", 10))
    index.record_use(UpstreamId("e"), parts[:2], 1_000)
    assert index.cached_tokens(UpstreamId("e"), parts) == 150
    assert index.cached_tokens(UpstreamId("e"), parts[1:]) == 50
    assert index.cached_tokens(UpstreamId("e"), (PromptPart("x", 1), parts[0])) == 0
    index.record_use(UpstreamId("e"), (PromptPart("big", 850),), 1_000)
    assert index.cached_tokens(UpstreamId("e"), parts) == 0
    index.remove_engine(UpstreamId("e"))
    assert index.cached_tokens(UpstreamId("e"), (PromptPart("big", 850),)) == 0
