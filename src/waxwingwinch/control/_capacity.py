"""Speeds of engines, estimated from their load reports."""

from waxwingwinch.contracts import UpstreamView
from waxwingwinch.decisions import WorkForecast

#: Speed of reading prompts assumed of an engine that has not reported any.
FIRST_PREFILL_TOKENS_PER_SECOND = 8_000.0
#: Time between tokens assumed of an engine that has not reported any.
FIRST_DECODE_SECONDS_PER_TOKEN = 0.03
#: KV cache that an answer with its prompt is assumed to need, in pieces of
#: 1,024 tokens.
KV_PIECES_PER_STREAM = 2.0
#: Answers that an engine is assumed to generate at one time, at most.
MAX_STREAMS = 32.0
#: The same for an engine whose cache size is unknown.
FIRST_STREAMS = 16.0


def prefill_speed(view: UpstreamView) -> float:
    """Return the prompt tokens a second that an engine reads alone."""
    if view.load is None or view.load.prefill_tokens_per_second <= 0:
        return FIRST_PREFILL_TOKENS_PER_SECOND
    return view.load.prefill_tokens_per_second


def decode_speed(view: UpstreamView) -> float:
    """Return the tokens a second that an engine generates alone."""
    load = view.load
    if load is None:
        return FIRST_STREAMS / FIRST_DECODE_SECONDS_PER_TOKEN
    seconds = load.decode_seconds_per_token or FIRST_DECODE_SECONDS_PER_TOKEN
    streams = load.kv_pieces_total / KV_PIECES_PER_STREAM
    return max(1.0, min(streams, MAX_STREAMS)) / seconds


def engines_of_work(work: WorkForecast, views: list[UpstreamView]) -> float:
    """Return the work in engines of the present mean speed."""
    count = max(len(views), 1)
    prefill = sum(map(prefill_speed, views)) / count or FIRST_PREFILL_TOKENS_PER_SECOND
    decode = sum(map(decode_speed, views)) / count
    decode = decode or FIRST_STREAMS / FIRST_DECODE_SECONDS_PER_TOKEN
    prompts = work.prompt_tokens_per_second / prefill
    return prompts + work.output_tokens_per_second / decode
