"""Choosing the engine, or the pair of engines, for a generation."""

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
    FewestOthers,
    LeastConnections,
    NoEngine,
    RoundRobin,
    Routed,
    RoutingChoice,
    RoutingRequest,
)
from waxwingwinch.prefixes import WORDS_PER_PREFIX_BLOCK

#: One-way time to an engine in the same availability zone.
SAME_ZONE_SECONDS = 0.0002
#: One-way time to an engine in another availability zone.
OTHER_ZONE_SECONDS = 0.0015
#: Time to move the KV cache of one prompt token between engines.
KV_TRANSFER_SECONDS_PER_TOKEN = 0.000_02
#: A pair of engines is used only if it is faster than one by this factor.
SPLIT_GAIN_MIN = 1.2
#: Prompts below this length are never split.
SPLIT_PROMPT_TOKENS_MIN = 512
#: Part of the prompt's reading time that each running generation loses
#: when an engine set up to decode reads a prompt.
STALLED_GENERATION_WEIGHT = 0.05
#: Part of the excess decode time that counts against an engine.
DECODE_EXCESS_WEIGHT = 0.2
#: Engines that cost at most so much more than the best one are drawn from, so
#: that instances with the same view don't all choose the same engine.
NEAR_BEST_SECONDS = 0.002
#: Cost of each missing piece of KV cache.
KV_SHORTAGE_SECONDS_PER_PIECE = 0.5


@frozen
class _Plan:
    """
    A choice and its cost.

    :param choice: The choice.
    :param cost_seconds: First token time plus what others lose.
    """

    choice: Routed
    cost_seconds: float


def choose_engine(
    request: RoutingRequest,
    candidates: tuple[Candidate, ...],
    now_seconds: float,
) -> RoutingChoice:
    """
    Choose where a generation runs.

    :param request: The generation.
    :param candidates: All engines of the model.
    :param now_seconds: Monotonic time.
    """
    usable = [c for c in candidates if _can_run(c, request)]
    if not usable:
        return NoEngine(f"none of {len(candidates)} engines takes new work")
    usable.sort(key=lambda candidate: candidate.view.upstream_id)
    match request.policy:
        case RoundRobin(turn):
            chosen = usable[turn % len(usable)]
            return _baseline(request, chosen, now_seconds, "next in turn")
        case LeastConnections():
            chosen = min(usable, key=_reported_requests)
            return _baseline(request, chosen, now_seconds, "fewest requests")
        case FewestOthers():
            fewest = min(_other_requests(candidate) for candidate in usable)
            tied = [c for c in usable if _other_requests(c) == fewest]
            chosen = tied[int(request.draw * len(tied))]
            return _baseline(request, chosen, now_seconds, "fewest others at risk")
        case EarliestFirstToken():
            return _earliest(request, usable, now_seconds)


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


def _other_requests(candidate: Candidate) -> int:
    told = candidate.in_flight.requests + candidate.peers_in_flight.requests
    return max(told, _reported_requests(candidate))


def _baseline(
    request: RoutingRequest, chosen: Candidate, now_seconds: float, reason: str
) -> Routed:
    choice = _single(request, chosen, now_seconds).choice
    return Routed(
        choice.engine,
        None,
        choice.first_token_seconds,
        choice.queue_seconds,
        f"{chosen.view.upstream_id}: {reason}",
    )


def _earliest(
    request: RoutingRequest, usable: list[Candidate], now_seconds: float
) -> Routed:
    singles = [_single(request, candidate, now_seconds) for candidate in usable]
    best = _near_best(singles, request.draw)
    pairs = list(_pairs(request, usable, now_seconds))
    if pairs:
        best_pair = min(pairs, key=lambda plan: plan.cost_seconds)
        if best_pair.cost_seconds * SPLIT_GAIN_MIN < best.cost_seconds:
            return best_pair.choice
    return best.choice


def _near_best(plans: list[_Plan], draw: float) -> _Plan:
    """Return one of the plans that cost hardly more than the best."""
    least = min(plan.cost_seconds for plan in plans)
    limit = least + NEAR_BEST_SECONDS
    near = [plan for plan in plans if plan.cost_seconds <= limit]
    return near[int(draw * len(near))]


def cached_tokens(request: RoutingRequest, candidate: Candidate) -> int:
    """
    Return how many leading prompt tokens an engine has cached.

    :param request: The generation.
    :param candidate: The engine.
    """
    cached, sent = candidate.view.cached_prefixes, candidate.sent_prefixes
    blocks = 0
    for prefix_hash in request.prefix_hashes:
        if prefix_hash not in cached and prefix_hash not in sent:
            break
        blocks += 1
    return min(blocks * WORDS_PER_PREFIX_BLOCK, request.prompt_tokens)


def _zone_seconds(first: ZoneName, second: ZoneName) -> float:
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
    return DECODE_EXCESS_WEIGHT * decode + _kv_shortage_seconds(request, candidate)


def _stalled_seconds(candidate: Candidate, prefill_seconds: float) -> float:
    load = candidate.view.load
    if load is None or candidate.view.role is EngineRole.PREFILL:
        return 0.0
    return STALLED_GENERATION_WEIGHT * load.running * prefill_seconds


def _single(request: RoutingRequest, candidate: Candidate, now_seconds: float) -> _Plan:
    queue = queue_seconds(candidate, now_seconds)
    prefill = _prefill_seconds(request, candidate)
    distance = _zone_seconds(request.zone, candidate.view.listed.zone)
    first_token = queue + prefill + 2 * distance
    cost = first_token + _stalled_seconds(candidate, prefill)
    cost += _decode_cost_seconds(request, candidate)
    cached = cached_tokens(request, candidate)
    reason = (
        f"{candidate.view.upstream_id}: queue {queue:.3f} s, prompt {prefill:.3f} s"
        f" with {cached} of {request.prompt_tokens} tokens cached"
    )
    return _Plan(Routed(candidate.view, None, first_token, queue, reason), cost)


def _pairs(
    request: RoutingRequest, usable: list[Candidate], now_seconds: float
) -> Iterable[_Plan]:
    if request.resuming or request.prompt_tokens < SPLIT_PROMPT_TOKENS_MIN:
        return
    readers = [c for c in usable if c.view.role is EngineRole.PREFILL]
    generators = [c for c in usable if c.view.role is EngineRole.DECODE]
    for reader in readers:
        for generator in generators:
            yield _pair(request, reader, generator, now_seconds)


def _pair(
    request: RoutingRequest,
    reader: Candidate,
    generator: Candidate,
    now_seconds: float,
) -> _Plan:
    queue = queue_seconds(reader, now_seconds)
    prefill = _prefill_seconds(request, reader)
    transfer = request.prompt_tokens * KV_TRANSFER_SECONDS_PER_TOKEN
    transfer += _zone_seconds(reader.view.listed.zone, generator.view.listed.zone)
    distance = _zone_seconds(request.zone, generator.view.listed.zone)
    distance += _zone_seconds(request.zone, reader.view.listed.zone)
    first_token = queue + prefill + transfer + 2 * distance
    first_token += decode_seconds_per_token(generator.view)
    cost = first_token + _decode_cost_seconds(request, generator)
    reason = (
        f"{reader.view.upstream_id} reads in {queue + prefill:.3f} s,"
        f" {generator.view.upstream_id} generates after {transfer:.3f} s"
    )
    choice = Routed(generator.view, reader.view, first_token, queue, reason)
    return _Plan(choice, cost)
