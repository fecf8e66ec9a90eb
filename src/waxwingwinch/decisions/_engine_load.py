"""Estimates of an engine's load, corrected for the lag of its reports."""

import math

from attrs import frozen

from waxwingwinch._types import TOKENS_PER_KV_PIECE, EngineRole, UpstreamState
from waxwingwinch.contracts import UpstreamView

#: Assumed prefill speed of an engine that has not reported one.
ASSUMED_PREFILL_TOKENS_PER_SECOND = 8_000.0
#: Assumed decode time per token of an engine that has not reported one.
ASSUMED_DECODE_SECONDS_PER_TOKEN = 0.03
#: Assumed slow-down of an engine in the phase that its role is not set up for;
#: applied to assumed speeds only, as reported ones hold for the current role.
#: The inverse of ``OFF_ROLE_EFFICIENCY`` of role planning.
OFF_ROLE_SLOWDOWN_FACTOR = 2.0
#: Assumed free KV cache, in pieces, of an engine without a load report.
ASSUMED_KV_PIECES = 64


@frozen
class SentWork:
    """
    Work sent to an engine that its load report may not include.

    :param requests: Number of requests.
    :param prompt_tokens: Prompt tokens of the requests without a first token.
    """

    requests: int = 0
    prompt_tokens: int = 0


@frozen
class Candidate:
    """
    An engine to which a request may be routed.

    :param view: Last known state of the engine.
    :param sent_since_report: Work that this instance sent to the engine after
        its newest load report and that has no first token yet.
    :param in_flight: All work of this instance in flight at the engine.
    :param peers_in_flight: Work of other instances in flight at the engine,
        according to their newest heartbeats.
    :param sent_prefixes: Prefix hashes of prompts that this instance recently
        sent to the engine; its cache events may not include them yet.
    """

    view: UpstreamView
    sent_since_report: SentWork = SentWork()
    in_flight: SentWork = SentWork()
    peers_in_flight: SentWork = SentWork()
    sent_prefixes: frozenset[str] = frozenset()


def takes_new_work(view: UpstreamView) -> bool:
    """
    Return whether an engine may be sent a new request.

    :param view: The engine.
    """
    if view.state is not UpstreamState.ACTIVE:
        return False
    return view.load is None or view.load.accepting


def prefill_tokens_per_second(view: UpstreamView) -> float:
    """
    Return the prefill speed of an engine.

    :param view: The engine.
    """
    if view.load is None or view.load.prefill_tokens_per_second <= 0:
        slowdown_factor = (
            OFF_ROLE_SLOWDOWN_FACTOR if view.role is EngineRole.DECODE else 1.0
        )
        return ASSUMED_PREFILL_TOKENS_PER_SECOND / slowdown_factor
    return view.load.prefill_tokens_per_second


def decode_seconds_per_token(view: UpstreamView) -> float:
    """
    Return the decode time per token of an engine.

    :param view: The engine.
    """
    if view.load is None or view.load.decode_seconds_per_token <= 0:
        slowdown_factor = (
            OFF_ROLE_SLOWDOWN_FACTOR if view.role is EngineRole.PREFILL else 1.0
        )
        return ASSUMED_DECODE_SECONDS_PER_TOKEN * slowdown_factor
    return view.load.decode_seconds_per_token


def queued_prompt_tokens(candidate: Candidate, now_seconds: float) -> float:
    """
    Return the estimated number of prompt tokens queued at an engine.

    The first estimate is the reported queue, less the tokens that the engine
    has prefilled since the report, plus those that this instance has sent
    since. The second is the work in flight of all instances. The larger
    estimate is used, because both can miss work and neither counts work that
    does not exist.

    :param candidate: The engine.
    :param now_seconds: Monotonic time.
    """
    view = candidate.view
    reported_tokens = 0.0
    if view.load is not None:
        elapsed_seconds = max(0.0, now_seconds - view.load_taken_seconds)
        processed_tokens = elapsed_seconds * prefill_tokens_per_second(view)
        reported_tokens = max(0.0, view.load.waiting_prompt_tokens - processed_tokens)
    reported_tokens += candidate.sent_since_report.prompt_tokens
    in_flight_tokens = (
        candidate.in_flight.prompt_tokens + candidate.peers_in_flight.prompt_tokens
    )
    return max(reported_tokens, float(in_flight_tokens))


def queue_seconds(candidate: Candidate, now_seconds: float) -> float:
    """
    Return the estimated queueing time of a new prompt at an engine.

    :param candidate: The engine.
    :param now_seconds: Monotonic time.
    """
    queued = queued_prompt_tokens(candidate, now_seconds)
    return queued / prefill_tokens_per_second(candidate.view)


def free_kv_pieces(candidate: Candidate) -> int:
    """
    Return the free KV cache of an engine, in pieces of 1,024 tokens.

    The result is negative if the prompts sent since the load report need more
    than the reported free cache.

    :param candidate: The engine.
    """
    load = candidate.view.load
    if load is None:
        return ASSUMED_KV_PIECES
    sent = candidate.sent_since_report.prompt_tokens
    sent_pieces = math.ceil(sent / TOKENS_PER_KV_PIECE)
    return load.kv_pieces_total - load.kv_pieces_used - sent_pieces
