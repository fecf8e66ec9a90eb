"""The load of an engine, corrected for the lag of its reports."""

import math

from attrs import frozen

from waxwingwinch._types import TOKENS_PER_KV_PIECE, EngineRole, UpstreamState
from waxwingwinch.contracts import UpstreamView

#: Assumed speed of reading prompts until an engine has reported one.
ASSUMED_PREFILL_TOKENS_PER_SECOND = 8_000.0
#: Assumed time between tokens until an engine has reported one.
ASSUMED_DECODE_SECONDS_PER_TOKEN = 0.03
#: Assumed slow-down of an engine whose role is set up for the other phase;
#: reported speeds are those in the present role.
BORROWED_ROLE_FACTOR = 2.0
#: Assumed KV cache until an engine has reported its own.
ASSUMED_KV_PIECES = 64


@frozen
class SentWork:
    """
    Work at one engine that its load report may not show.

    :param requests: Requests.
    :param prompt_tokens: Prompt tokens of those without a first token.
    """

    requests: int = 0
    prompt_tokens: int = 0


@frozen
class Candidate:
    """
    An engine that a request may go to.

    :param view: What is known of it.
    :param sent_since_report: What this instance sent after the time of the
        newest load report and that has no first token yet.
    :param in_flight: All work that this instance has there.
    :param peers_in_flight: Work that other instances have there, by their
        newest heartbeats.
    :param sent_prefixes: Prefix hashes of prompts that this instance sent
        there lately, which cache events may not show yet.
    """

    view: UpstreamView
    sent_since_report: SentWork = SentWork()
    in_flight: SentWork = SentWork()
    peers_in_flight: SentWork = SentWork()
    sent_prefixes: frozenset[str] = frozenset()


def takes_new_work(view: UpstreamView) -> bool:
    """
    Tell whether an engine may be sent a new request.

    :param view: The engine.
    """
    if view.state is not UpstreamState.ACTIVE:
        return False
    return view.load is None or view.load.accepting


def prefill_tokens_per_second(view: UpstreamView) -> float:
    """
    Return the speed at which an engine reads prompts.

    :param view: The engine.
    """
    if view.load is None or view.load.prefill_tokens_per_second <= 0:
        slow_down = BORROWED_ROLE_FACTOR if view.role is EngineRole.DECODE else 1.0
        return ASSUMED_PREFILL_TOKENS_PER_SECOND / slow_down
    return view.load.prefill_tokens_per_second


def decode_seconds_per_token(view: UpstreamView) -> float:
    """
    Return the time an engine takes between two tokens.

    :param view: The engine.
    """
    if view.load is None or view.load.decode_seconds_per_token <= 0:
        slow_down = BORROWED_ROLE_FACTOR if view.role is EngineRole.PREFILL else 1.0
        return ASSUMED_DECODE_SECONDS_PER_TOKEN * slow_down
    return view.load.decode_seconds_per_token


def queued_prompt_tokens(candidate: Candidate, now_seconds: float) -> float:
    """
    Return the prompt tokens that wait at an engine.

    The report says what waited when it was taken; since then the engine has
    read some of it, and this instance has sent more. What all instances say
    to have in flight is a second estimate. The larger one counts, because
    both can miss work and neither invents it.

    :param candidate: The engine.
    :param now_seconds: Monotonic time.
    """
    view = candidate.view
    reported = 0.0
    if view.load is not None:
        elapsed_seconds = max(0.0, now_seconds - view.load_taken_seconds)
        done = elapsed_seconds * prefill_tokens_per_second(view)
        reported = max(0.0, view.load.waiting_prompt_tokens - done)
    reported += candidate.sent_since_report.prompt_tokens
    told = candidate.in_flight.prompt_tokens + candidate.peers_in_flight.prompt_tokens
    return max(reported, float(told))


def queue_seconds(candidate: Candidate, now_seconds: float) -> float:
    """
    Return how long a new prompt waits at an engine.

    :param candidate: The engine.
    :param now_seconds: Monotonic time.
    """
    queued = queued_prompt_tokens(candidate, now_seconds)
    return queued / prefill_tokens_per_second(candidate.view)


def free_kv_pieces(candidate: Candidate) -> int:
    """
    Return the KV cache that is left, in pieces of 1,024 tokens.

    :param candidate: The engine.
    """
    load = candidate.view.load
    if load is None:
        return ASSUMED_KV_PIECES
    sent = candidate.sent_since_report.prompt_tokens
    sent_pieces = math.ceil(sent / TOKENS_PER_KV_PIECE)
    return load.kv_pieces_total - load.kv_pieces_used - sent_pieces
