"""Throughput of engines, estimated from their load reports."""

from waxwingwinch.contracts import UpstreamView
from waxwingwinch.decisions import WorkForecast

#: Prefill throughput assumed for an engine that has reported none.
DEFAULT_PREFILL_TOKENS_PER_SECOND = 8_000.0
#: Time per output token assumed for an engine that has reported none.
DEFAULT_DECODE_SECONDS_PER_TOKEN = 0.03
#: KV cache assumed for a prompt with its generated answer, in pieces of
#: 1,024 tokens.
KV_PIECES_PER_GENERATION = 2.0
#: Upper bound on the answers that an engine generates concurrently.
MAX_CONCURRENT_GENERATIONS = 32.0
#: Concurrent answers assumed for an engine whose cache size is unknown.
DEFAULT_CONCURRENT_GENERATIONS = 16.0


def prefill_speed(view: UpstreamView) -> float:
    """Return the prefill throughput of an engine, in tokens per second."""
    if view.load is None or view.load.prefill_tokens_per_second <= 0:
        return DEFAULT_PREFILL_TOKENS_PER_SECOND
    return view.load.prefill_tokens_per_second


def decode_speed(view: UpstreamView) -> float:
    """Return the decode throughput of an engine, in tokens per second."""
    load = view.load
    if load is None:
        return DEFAULT_CONCURRENT_GENERATIONS / DEFAULT_DECODE_SECONDS_PER_TOKEN
    seconds = load.decode_seconds_per_token or DEFAULT_DECODE_SECONDS_PER_TOKEN
    generations = load.kv_pieces_total / KV_PIECES_PER_GENERATION
    return max(1.0, min(generations, MAX_CONCURRENT_GENERATIONS)) / seconds


def engines_needed(work: WorkForecast, views: list[UpstreamView]) -> float:
    """Return the work as a number of engines of the views' mean throughput."""
    count = max(len(views), 1)
    prefill = (
        sum(map(prefill_speed, views)) / count or DEFAULT_PREFILL_TOKENS_PER_SECOND
    )
    decode = sum(map(decode_speed, views)) / count
    decode = decode or DEFAULT_CONCURRENT_GENERATIONS / DEFAULT_DECODE_SECONDS_PER_TOKEN
    prompts = work.prompt_tokens_per_second / prefill
    return prompts + work.output_tokens_per_second / decode
