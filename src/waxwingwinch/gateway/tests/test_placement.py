"""Where prompts go under the loads that the users named."""

from attrs import evolve

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
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
from waxwingwinch.gateway._slowdowns import INITIAL_SLOWDOWN, SlowdownTracker

NORTH, SOUTH = ZoneName("north"), ZoneName("south")
ENGINE = UpstreamId("e")
LONG = PromptSize(17_000, "book-1", 0.6)
SHORT = PromptSize(1_400, "ask-1", 0.4)


def engine(name, role, cached=0, waiting=0, running=0, zone=NORTH):
    return EngineOption(
        UpstreamId(name), role, zone, UpstreamLoad(waiting, running), cached
    )


def decoder(name, **values):
    return engine(name, EngineRole.DECODE, **values)


def prefill_engine(name, **values):
    return engine(name, EngineRole.PREFILL, **values)


def fleet(**values):
    decoders = [decoder(f"d{index}", **values) for index in range(4)]
    return decoders + [prefill_engine(f"p{index}") for index in range(3)]


def test_long_prompt_that_nobody_holds_is_read_apart():
    """Pattern: the day begins with cold caches."""
    placement = place_prompt(LONG, fleet(), NORTH)
    assert isinstance(placement, RunSplit)


def test_short_prompt_runs_where_it_is_read():
    assert isinstance(place_prompt(SHORT, fleet(), NORTH), RunDirectly)


def test_long_prompt_goes_to_the_engine_that_holds_its_beginning():
    """Pattern: many questions about few books."""
    options = [*fleet(), prefill_engine("holder", cached=13_300)]
    placement = place_prompt(LONG, options, NORTH)
    assert isinstance(placement, RunSplit)
    assert placement.prefill_id == "holder"
    options = [*fleet(), decoder("holder", cached=16_000)]
    placement = place_prompt(LONG, options, NORTH)
    assert isinstance(placement, RunDirectly)
    assert placement.upstream_id == "holder"


def test_a_busy_holder_is_left_for_an_idle_engine():
    """Pattern: one book is asked for by everybody at once."""
    options = [*fleet(), decoder("holder", cached=13_300, waiting=60_000)]
    placement = place_prompt(LONG, options, NORTH)
    chosen = getattr(placement, "upstream_id", None)
    assert chosen != "holder"


def test_all_instances_choose_the_same_engine_for_a_new_beginning():
    """Pattern: the same new book is asked for at several instances."""
    options = fleet()
    north = place_prompt(LONG, options, NORTH)
    south = place_prompt(LONG, list(reversed(options)), SOUTH)
    assert isinstance(north, RunSplit) and isinstance(south, RunSplit)
    assert (north.prefill_id, north.decode_id) == (south.prefill_id, south.decode_id)


def test_new_beginnings_spread_over_the_engines():
    placements = [
        place_prompt(PromptSize(17_000, f"book-{index}", 0.6), fleet(), NORTH)
        for index in range(60)
    ]
    chosen = {one.prefill_id for one in placements if isinstance(one, RunSplit)}
    assert chosen == {"p0", "p1", "p2"}


def test_readers_with_long_queues_are_passed_by():
    """Pattern: a shift to long prompts floods the prefill engines."""
    options = [decoder("d0"), prefill_engine("p0", waiting=200_000)]
    assert isinstance(place_prompt(LONG, options, NORTH), RunDirectly)


def test_no_engine_generates_without_decoders():
    assert place_prompt(LONG, [prefill_engine("p0")], NORTH) is None


def test_long_prompts_are_let_in_when_nothing_waits():
    """Pattern: the largest tenth of the prompts takes seconds to read."""
    assert admit_generation(2.4, 2.4, 0.6, 6.0) == Admit()


def test_prompts_behind_a_long_queue_are_turned_away_at_once():
    """Pattern: more prompts come than the engines can read."""
    decision = admit_generation(1.5, 0.3, 0.6, 6.0)
    assert isinstance(decision, Refuse)
    assert 0.2 <= decision.retry_after_seconds <= 2.0


def test_a_prompt_that_cannot_be_read_in_time_is_turned_away():
    assert isinstance(admit_generation(3.5, 3.4, 0.5, 4.0), Refuse)


def plain(name, running=0, zone=NORTH, is_cold=False):
    return PlainOption(UpstreamId(name), zone, 6, running, is_cold)


def test_plain_calls_stay_in_their_zone_while_there_is_room():
    options = [plain("north"), plain("south", zone=SOUTH)]
    assert place_plain(options, SOUTH) == "south"
    busy = [plain("north"), plain("south", running=4, zone=SOUTH)]
    assert place_plain(busy, SOUTH) == "north"


def test_plain_calls_are_refused_when_all_queues_are_full():
    assert place_plain([plain("a", running=24), plain("b", running=24)], NORTH) is None


def test_loads_of_silent_peers_do_not_count():
    tracker = LoadTracker()
    tracked_request = tracker.begin(UpstreamId("e"), 5_000)
    tracker.record_loads("peer", {UpstreamId("e"): UpstreamLoad(3_000, 2)}, True, 10.0)
    assert tracker.totals(10.5)[ENGINE] == UpstreamLoad(8_000, 3)
    assert tracker.totals(20.0)[ENGINE] == UpstreamLoad(5_000, 1)
    tracked_request.mark_prompt_read()
    assert tracker.totals(20.0)[ENGINE] == UpstreamLoad(0, 1)
    tracked_request.end()
    tracked_request.end()
    assert tracker.local_loads() == {}


def test_work_that_a_peer_has_just_begun_counts_at_once():
    """Pattern: several instances find the same engine idle."""
    tracker = LoadTracker()
    told = []
    tracker.announce = lambda upstream_id, tokens: told.append((upstream_id, tokens))
    tracker.begin(ENGINE, 100)
    tracker.begin(ENGINE, 9_000)
    assert told == [("e", 9_000)]
    tracker.record_loads("peer", {}, True, 10.0)
    tracker.add_announced_work("peer", ENGINE, 7_000)
    assert tracker.totals(10.1)[ENGINE] == UpstreamLoad(16_100, 3)
    tracker.record_loads("peer", {}, True, 10.2)
    assert tracker.totals(10.3)[ENGINE] == UpstreamLoad(9_100, 2)


def test_slow_engines_are_learned_and_get_less():
    """Pattern: some engines take half as long again as others."""
    slowdowns = SlowdownTracker()
    for _ in range(30):
        slowdowns.observe(UpstreamId("slow"), 0.2, 0.36)
        slowdowns.observe(UpstreamId("quick"), 0.2, 0.2)
    assert slowdowns.slowdown(UpstreamId("slow")) > 1.7
    assert slowdowns.slowdown(UpstreamId("quick")) < 1.1
    options = [
        decoder("d0"),
        evolve(prefill_engine("slow"), slowdown=slowdowns.slowdown(UpstreamId("slow"))),
        evolve(
            prefill_engine("quick"), slowdown=slowdowns.slowdown(UpstreamId("quick"))
        ),
    ]
    chosen = [
        place_prompt(PromptSize(17_000, f"book-{index}", 0.6), options, NORTH)
        for index in range(100)
    ]
    quick = [one for one in chosen if getattr(one, "prefill_id", "") == "quick"]
    assert len(quick) > 80
    slowdowns.remove_engine(UpstreamId("slow"))
    assert slowdowns.slowdown(UpstreamId("slow")) == INITIAL_SLOWDOWN


def test_prefixes_are_counted_from_the_beginning_and_yield_when_full():
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
