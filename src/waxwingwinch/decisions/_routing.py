"""Routing: choosing the engine, or prefill and decode engine, of a request."""

import math
from collections.abc import Iterable

from attrs import frozen

from waxwingwinch._types import TOKENS_PER_KV_PIECE, EngineRole, ZoneName
from waxwingwinch.decisions._engine_load import (
    Candidate,
    decode_seconds_per_token,
    free_kv_pieces,
    prefill_tokens_per_second,
    queue_seconds,
    takes_new_work,
)
from waxwingwinch.decisions._routing_model import (
    EarliestFirstToken,
    FewestInFlight,
    LeastConnections,
    NoEngine,
    RoundRobin,
    Routed,
    RoutingChoice,
    RoutingRequest,
)
from waxwingwinch.prefixes import WORDS_PER_PREFIX_BLOCK

#: One-way network latency within an availability zone.
SAME_ZONE_SECONDS = 0.0002
#: One-way network latency between availability zones.
OTHER_ZONE_SECONDS = 0.0015
#: Time to transfer the KV cache of one prompt token between engines.
KV_TRANSFER_SECONDS_PER_TOKEN = 0.000_02
#: Prefill and decode are split between two engines only if this lowers the
#: cost by at least this factor.
MIN_SPLIT_GAIN_FACTOR = 1.2
#: Prompts below this length are always run on a single engine.
MIN_SPLIT_PROMPT_TOKENS = 512
#: Fraction of the prefill time that counts as lost for each running generation
#: when a decode or mixed engine prefills a prompt.
STALLED_GENERATION_WEIGHT = 0.05
#: Weight of the decode time in the cost of an engine.
DECODE_TIME_WEIGHT = 0.2
#: The engine is drawn from those whose cost exceeds the lowest cost by at most
#: this, so that instances with the same view don't all choose the same engine.
NEAR_BEST_SECONDS = 0.002
#: Cost of each piece of KV cache that the request needs beyond the free ones.
KV_SHORTAGE_SECONDS_PER_PIECE = 0.5


@frozen
class _Plan:
    """
    A routing choice and its cost.

    :param choice: The choice.
    :param cost_seconds: Time to the first token, plus the time that running
        generations lose, plus penalties for decode time and missing KV cache.
    """

    choice: Routed
    cost_seconds: float


def choose_engine(
    request: RoutingRequest,
    candidates: tuple[Candidate, ...],
    now_seconds: float,
) -> RoutingChoice:
    """
    Choose the engine, or the prefill and decode engines, of a generation.

    :param request: The generation.
    :param candidates: All engines of the model.
    :param now_seconds: Monotonic time.
    """
    usable = [c for c in candidates if _can_run(c, request)]
    if not usable:
        return NoEngine(
            f"none of {len(candidates)} engines can run the request: each is excluded,"
            " accepts no new work or lacks the adapter"
        )
    usable.sort(key=lambda candidate: candidate.view.upstream_id)
    match request.policy:
        case RoundRobin(turn):
            chosen = usable[turn % len(usable)]
            return _route_to(request, chosen, now_seconds, "next in turn")
        case LeastConnections():
            chosen = min(usable, key=_reported_requests)
            return _route_to(request, chosen, now_seconds, "fewest reported requests")
        case FewestInFlight():
            min_requests = min(_known_requests(candidate) for candidate in usable)
            tied = [c for c in usable if _known_requests(c) == min_requests]
            chosen = tied[int(request.draw * len(tied))]
            return _route_to(request, chosen, now_seconds, "fewest requests in flight")
        case EarliestFirstToken():
            return _route_earliest_first_token(request, usable, now_seconds)


def _can_run(candidate: Candidate, request: RoutingRequest) -> bool:
    if candidate.view.upstream_id in request.excluded:
        return False
    if not takes_new_work(candidate.view):
        return False
    load = candidate.view.load
    return not request.adapter or load is None or request.adapter in load.adapters


def _reported_requests(candidate: Candidate) -> int:
    load = candidate.view.load
    return 0 if load is None else load.running + load.waiting


def _known_requests(candidate: Candidate) -> int:
    known_in_flight = candidate.in_flight.requests + candidate.peers_in_flight.requests
    return max(known_in_flight, _reported_requests(candidate))


def _route_to(
    request: RoutingRequest, chosen: Candidate, now_seconds: float, reason: str
) -> Routed:
    choice = _single_engine_plan(request, chosen, now_seconds).choice
    return Routed(
        choice.engine,
        None,
        choice.first_token_seconds,
        choice.queue_seconds,
        f"{chosen.view.upstream_id}: {reason}",
    )


def _route_earliest_first_token(
    request: RoutingRequest, usable: list[Candidate], now_seconds: float
) -> Routed:
    single_plans = [
        _single_engine_plan(request, candidate, now_seconds) for candidate in usable
    ]
    best = _draw_near_best(single_plans, request.draw)
    split_plans = list(_split_plans(request, usable, now_seconds))
    if split_plans:
        best_split_plan = min(split_plans, key=lambda plan: plan.cost_seconds)
        if best_split_plan.cost_seconds * MIN_SPLIT_GAIN_FACTOR < best.cost_seconds:
            return best_split_plan.choice
    return best.choice


def _draw_near_best(plans: list[_Plan], draw: float) -> _Plan:
    """Draw one of the plans whose cost is close to the lowest."""
    least = min(plan.cost_seconds for plan in plans)
    limit = least + NEAR_BEST_SECONDS
    near_best = [plan for plan in plans if plan.cost_seconds <= limit]
    return near_best[int(draw * len(near_best))]


def cached_tokens(request: RoutingRequest, candidate: Candidate) -> int:
    """
    Return the number of leading prompt tokens in an engine's KV cache.

    :param request: The generation.
    :param candidate: The engine.
    """
    cached, sent = candidate.view.cached_prefixes, candidate.sent_prefixes
    blocks = 0
    for prefix_hash in request.prefix_hashes:
        if prefix_hash not in cached and prefix_hash not in sent:
            break
        blocks += 1
    # A word of the prompt is counted as one token.
    return min(blocks * WORDS_PER_PREFIX_BLOCK, request.prompt_tokens)


def _one_way_seconds(first: ZoneName, second: ZoneName) -> float:
    return SAME_ZONE_SECONDS if first == second else OTHER_ZONE_SECONDS


def _prefill_seconds(request: RoutingRequest, candidate: Candidate) -> float:
    uncached = request.prompt_tokens - cached_tokens(request, candidate)
    return uncached / prefill_tokens_per_second(candidate.view)


def _kv_shortage_seconds(request: RoutingRequest, candidate: Candidate) -> float:
    tokens = request.prompt_tokens + request.expected_output_tokens
    needed_pieces = math.ceil(tokens / TOKENS_PER_KV_PIECE)
    missing_pieces = needed_pieces - free_kv_pieces(candidate)
    return max(0, missing_pieces) * KV_SHORTAGE_SECONDS_PER_PIECE


def _decode_cost_seconds(request: RoutingRequest, candidate: Candidate) -> float:
    decode = decode_seconds_per_token(candidate.view) * request.expected_output_tokens
    return DECODE_TIME_WEIGHT * decode + _kv_shortage_seconds(request, candidate)


def _stalled_seconds(candidate: Candidate, prefill_seconds: float) -> float:
    load = candidate.view.load
    if load is None or candidate.view.role is EngineRole.PREFILL:
        return 0.0
    return STALLED_GENERATION_WEIGHT * load.running * prefill_seconds


def _single_engine_plan(
    request: RoutingRequest, candidate: Candidate, now_seconds: float
) -> _Plan:
    queue = queue_seconds(candidate, now_seconds)
    prefill = _prefill_seconds(request, candidate)
    network_seconds = _one_way_seconds(request.zone, candidate.view.listed.zone)
    first_token = queue + prefill + 2 * network_seconds
    cost = first_token + _stalled_seconds(candidate, prefill)
    cost += _decode_cost_seconds(request, candidate)
    cached = cached_tokens(request, candidate)
    reason = (
        f"{candidate.view.upstream_id}: queue {queue:.3f} s, prompt {prefill:.3f} s"
        f" with {cached} of {request.prompt_tokens} tokens cached"
    )
    return _Plan(Routed(candidate.view, None, first_token, queue, reason), cost)


def _split_plans(
    request: RoutingRequest, usable: list[Candidate], now_seconds: float
) -> Iterable[_Plan]:
    if request.resuming or request.prompt_tokens < MIN_SPLIT_PROMPT_TOKENS:
        return
    prefill_candidates = [c for c in usable if c.view.role is EngineRole.PREFILL]
    decode_candidates = [c for c in usable if c.view.role is EngineRole.DECODE]
    for prefill_candidate in prefill_candidates:
        for decode_candidate in decode_candidates:
            yield _split_plan(request, prefill_candidate, decode_candidate, now_seconds)


def _split_plan(
    request: RoutingRequest,
    prefill_candidate: Candidate,
    decode_candidate: Candidate,
    now_seconds: float,
) -> _Plan:
    queue = queue_seconds(prefill_candidate, now_seconds)
    prefill = _prefill_seconds(request, prefill_candidate)
    transfer = request.prompt_tokens * KV_TRANSFER_SECONDS_PER_TOKEN
    transfer += _one_way_seconds(
        prefill_candidate.view.listed.zone, decode_candidate.view.listed.zone
    )
    network_seconds = _one_way_seconds(request.zone, decode_candidate.view.listed.zone)
    network_seconds += _one_way_seconds(
        request.zone, prefill_candidate.view.listed.zone
    )
    first_token = queue + prefill + transfer + 2 * network_seconds
    first_token += decode_seconds_per_token(decode_candidate.view)
    cost = first_token + _decode_cost_seconds(request, decode_candidate)
    reason = (
        f"{prefill_candidate.view.upstream_id} queues and prefills within"
        f" {queue + prefill:.3f} s,"
        f" {decode_candidate.view.upstream_id} decodes after a KV transfer of"
        f" {transfer:.3f} s"
    )
    choice = Routed(
        decode_candidate.view, prefill_candidate.view, first_token, queue, reason
    )
    return _Plan(choice, cost)
