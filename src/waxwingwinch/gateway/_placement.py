"""Chooses the upstreams of a request from their loads and cached prefixes."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._loads import UpstreamLoad
from waxwingwinch.gateway._routes import stable_hash, stable_rank
from waxwingwinch.gateway.capacity import NOMINAL_ESTIMATE, CapacityEstimate

#: Prompt tokens that a prefill engine processes per second, without attention;
#: from the users' data sheet of engines.
PREFILL_TOKENS_PER_SECOND = 51_000.0
#: Prefill time on a decode engine relative to a prefill engine. A decode
#: engine prefills at half the speed, in small pieces between the tokens of
#: other requests.
DECODE_SLOWDOWN = 6.0
#: Attention time on a prefill engine for each pair of a new token and a
#: preceding token; from the users' data sheet of engines.
ATTENTION_PAIR_SECONDS = 0.323e-9
#: Time from the last prompt token to the first event.
FIRST_EVENT_SECONDS = 0.06
#: Time to transfer a KV cache from one engine to another.
KV_TRANSFER_SECONDS = 0.06
#: Added time to the first event for each request running on the engine.
RUNNING_REQUEST_SECONDS = 0.0005
#: Minimum time saved for which an engine in another availability zone is
#: preferred.
OTHER_ZONE_PENALTY_SECONDS = 0.01
#: Minimum time saved for which a KV cache is transferred to another
#: availability zone; the transfer takes twice as long and costs up to three
#: times as much.
ZONE_TRANSFER_PENALTY_SECONDS = 0.1
#: Minimum time saved for which a separate prefill engine is used, because of
#: the KV cache transfer.
SPLIT_MIN_GAIN_SECONDS = 0.05
#: Fraction of the latency objective within which one engine runs both phases
#: although two would be faster; transferring a KV cache has a price.
DIRECT_TARGET_FRACTION = 0.6
#: Prefill time of a cold engine relative to the same engine later. Assumed:
#: upstreams state how long they are cold, not how slow.
COLD_SLOWDOWN = 2.0
#: Minimum time saved for which a cold engine is preferred; above the affinity
#: penalty, so that affinity doesn't use up the few requests that it can take.
COLD_PENALTY_SECONDS = 0.5
#: Maximum affinity penalty; for an engine with nothing of a prompt cached, it
#: depends only on a hash of the shared prefix and the engine, which makes all
#: instances choose the same engine.
AFFINITY_SECONDS = 0.3
#: Time that a failed attempt at a generation costs its caller, about that of a
#: time-out; counted by the learned rate of failures.
FAILURE_SECONDS = 1.0
#: Load steps that a failed attempt at a plain request costs: more than a full
#: upstream, since the attempts of a request are few.
FAILURE_STEPS = 4.0
#: Smallest difference of the learned speeds of plain upstreams that outweighs
#: the availability zone, in load steps.
SCORE_STEP = 0.25
#: Largest number of requests that may queue at a plain upstream, relative to
#: its slots.
PLAIN_QUEUE_RATIO = 3.0


@frozen
class EngineOption:
    """
    A candidate engine for a request.

    :param upstream_id: The engine.
    :param role: Its role.
    :param zone: Its availability zone.
    :param load: Work in progress there.
    :param cached_tokens: Leading tokens of the prompt that it has cached.
    :param capacity: Its learned speed and failures.
    :param is_cold: True while it is cold and gets few requests.
    """

    upstream_id: UpstreamId
    role: EngineRole
    zone: ZoneName
    load: UpstreamLoad
    cached_tokens: int = 0
    capacity: CapacityEstimate = NOMINAL_ESTIMATE
    is_cold: bool = False

    @property
    def present_prefill(self) -> float:
        """Prefill time relative to the expected time, also while cold."""
        return self.capacity.prefill * (COLD_SLOWDOWN if self.is_cold else 1.0)


@frozen
class PromptSize:
    """
    The properties of a prompt that determine its placement.

    :param tokens: Length of the prompt.
    :param shared_id: Identifies its shared prefix, for affinity.
    :param target_seconds: Latency objective of the first event.
    """

    tokens: int
    shared_id: str
    target_seconds: float


@frozen
class RunDirectly:
    """
    One engine runs both prefill and decode.

    :param upstream_id: The engine.
    :param read_tokens: Prefill work: the number of tokens whose prefill would
        take as long without attention.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: The part of `expected_seconds` that an idle engine
        would take.
    :param waiting_tokens: Prefill work known at the engine before it.
    """

    upstream_id: UpstreamId
    read_tokens: int
    expected_seconds: float
    own_seconds: float
    waiting_tokens: int = 0


@frozen
class RunSplit:
    """
    One engine prefills the prompt, another one decodes.

    :param prefill_id: The engine that prefills the prompt.
    :param decode_id: The engine that fetches the KV cache and decodes.
    :param read_tokens: Work of the prefill engine: the number of tokens whose
        prefill would take as long without attention.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: The part of `expected_seconds` that idle engines would
        take.
    """

    prefill_id: UpstreamId
    decode_id: UpstreamId
    read_tokens: int
    expected_seconds: float
    own_seconds: float


Placement = RunDirectly | RunSplit


def place_prompt(
    prompt: PromptSize, options: Sequence[EngineOption], local_zone: ZoneName
) -> Placement | None:
    """
    Choose the engines with the earliest expected first event.

    Affinity, availability zones and the price of a KV cache transfer take part
    in the choice.

    :param prompt: The prompt.
    :param options: All usable engines of the service.
    :param local_zone: Availability zone of this process.
    :returns: None if no engine can decode.
    """
    decode_engines = [
        option for option in options if option.role is not EngineRole.PREFILL
    ]
    if not decode_engines:
        return None
    plans = [(option, _plan_direct(prompt, option)) for option in decode_engines]
    _, direct = min(
        plans,
        key=lambda pair: (
            pair[1].expected_seconds
            + _affinity_penalty_seconds(
                prompt, pair[0].upstream_id, pair[1].read_tokens
            )
            + _zone_penalty_seconds(pair[0].zone, local_zone)
            + _cold_penalty_seconds(pair[0])
            + FAILURE_SECONDS * pair[0].capacity.failures
        ),
    )
    split = _plan_split(prompt, options, decode_engines, local_zone)
    if split is None:
        return direct
    if direct.expected_seconds <= DIRECT_TARGET_FRACTION * prompt.target_seconds:
        return direct
    if split.expected_seconds + SPLIT_MIN_GAIN_SECONDS < direct.expected_seconds:
        return split
    return direct


def estimate_prefill_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """
    Return the time that an idle prefill engine takes for a prompt.

    :param prompt_tokens: Length of the prompt.
    :param cached_tokens: Leading tokens that the engine has cached.
    """
    new_tokens = max(prompt_tokens - cached_tokens, 0)
    pairs = new_tokens * (cached_tokens + new_tokens / 2)
    return new_tokens / PREFILL_TOKENS_PER_SECOND + pairs * ATTENTION_PAIR_SECONDS


def work_seconds(work_tokens: int) -> float:
    """
    Return the time that a prefill engine takes for prefill work.

    :param work_tokens: The work, as tokens without attention.
    """
    return work_tokens / PREFILL_TOKENS_PER_SECOND


def engine_work_seconds(role: EngineRole | None, work_tokens: int) -> float:
    """
    Return the time that an engine of a role takes for prefill work.

    :param role: The role.
    :param work_tokens: The work, as tokens without attention.
    """
    factor = DECODE_SLOWDOWN if role is EngineRole.DECODE else 1.0
    return factor * work_seconds(work_tokens)


def prefill_work_tokens(seconds: float) -> int:
    """
    Return the tokens that take as long without attention as a prefill with it.

    :param seconds: Duration of the prefill, with attention.
    """
    return int(seconds * PREFILL_TOKENS_PER_SECOND)


def _plan_direct(prompt: PromptSize, option: EngineOption) -> RunDirectly:
    cached_tokens = min(option.cached_tokens, prompt.tokens)
    engine_factor = DECODE_SLOWDOWN if option.role is EngineRole.DECODE else 1.0
    engine_factor *= option.present_prefill
    prefill_seconds = estimate_prefill_seconds(prompt.tokens, cached_tokens)
    decode_factor = option.capacity.decode
    idle_seconds = engine_factor * prefill_seconds + FIRST_EVENT_SECONDS * decode_factor
    queue_seconds = engine_factor * work_seconds(option.load.waiting_tokens)
    queue_seconds += option.load.running * RUNNING_REQUEST_SECONDS * decode_factor
    return RunDirectly(
        option.upstream_id,
        prefill_work_tokens(prefill_seconds),
        queue_seconds + idle_seconds,
        idle_seconds,
        option.load.waiting_tokens,
    )


def _plan_split(
    prompt: PromptSize,
    options: Sequence[EngineOption],
    decode_engines: Sequence[EngineOption],
    local_zone: ZoneName,
) -> RunSplit | None:
    prefill_engines = [
        option for option in options if option.role is EngineRole.PREFILL
    ]
    if not prefill_engines:
        return None
    prefill_engine = min(
        prefill_engines,
        key=lambda option: (
            _prefill_delay_seconds(prompt, option)
            + _affinity_penalty_seconds(
                prompt,
                option.upstream_id,
                prompt.tokens - min(option.cached_tokens, prompt.tokens),
            )
            + _zone_penalty_seconds(option.zone, local_zone)
            + _cold_penalty_seconds(option)
            + FAILURE_SECONDS * option.capacity.failures
        ),
    )
    decode_engine = min(
        decode_engines,
        key=lambda option: (
            _decode_delay_seconds(option)
            + _cold_penalty_seconds(option)
            + AFFINITY_SECONDS * stable_rank(prompt.shared_id, option.upstream_id)
            + (
                0.0
                if option.zone == prefill_engine.zone
                else ZONE_TRANSFER_PENALTY_SECONDS
            )
            + FAILURE_SECONDS * option.capacity.failures
        ),
    )
    cached_tokens = min(prefill_engine.cached_tokens, prompt.tokens)
    prefill_seconds = estimate_prefill_seconds(prompt.tokens, cached_tokens)
    idle_seconds = (
        prefill_engine.present_prefill * prefill_seconds
        + KV_TRANSFER_SECONDS
        + FIRST_EVENT_SECONDS
    )
    queue_seconds = _queue_seconds(prefill_engine) + _decode_delay_seconds(
        decode_engine
    )
    return RunSplit(
        prefill_engine.upstream_id,
        decode_engine.upstream_id,
        prefill_work_tokens(prefill_seconds),
        queue_seconds + idle_seconds,
        idle_seconds,
    )


def _prefill_delay_seconds(prompt: PromptSize, option: EngineOption) -> float:
    cached_tokens = min(option.cached_tokens, prompt.tokens)
    return _queue_seconds(option) + option.present_prefill * estimate_prefill_seconds(
        prompt.tokens, cached_tokens
    )


def _queue_seconds(option: EngineOption) -> float:
    return option.present_prefill * work_seconds(option.load.waiting_tokens)


def _decode_delay_seconds(option: EngineOption) -> float:
    # A decode engine fetches a KV cache between the pieces of its own
    # prefills, so only the number of running requests delays it.
    running_seconds = option.load.running * 4 * RUNNING_REQUEST_SECONDS
    own_seconds = KV_TRANSFER_SECONDS + FIRST_EVENT_SECONDS
    decode_factor = option.capacity.decode
    return running_seconds * decode_factor + own_seconds * (decode_factor - 1.0)


def _affinity_penalty_seconds(
    prompt: PromptSize, upstream_id: UpstreamId, uncached_tokens: int
) -> float:
    # A caller may pass prefill work, which includes attention, so the quotient
    # can exceed 1.
    uncached_fraction = (
        min(uncached_tokens / prompt.tokens, 1.0) if prompt.tokens else 0.0
    )
    return (
        AFFINITY_SECONDS
        * uncached_fraction
        * stable_rank(prompt.shared_id, upstream_id)
    )


def _zone_penalty_seconds(zone: ZoneName, local_zone: ZoneName) -> float:
    return 0.0 if zone == local_zone else OTHER_ZONE_PENALTY_SECONDS


def _cold_penalty_seconds(option: EngineOption) -> float:
    return COLD_PENALTY_SECONDS if option.is_cold else 0.0


@frozen
class PlainOption:
    """
    A candidate plain upstream for a request.

    :param upstream_id: The upstream.
    :param zone: Its availability zone.
    :param slots: Requests that it serves concurrently.
    :param running: Requests in progress there.
    :param is_cold: True while it is warming up after its start.
    :param capacity: Its learned speed and failures.
    """

    upstream_id: UpstreamId
    zone: ZoneName
    slots: int
    running: int
    is_cold: bool = False
    capacity: CapacityEstimate = NOMINAL_ESTIMATE


def place_plain(
    options: Sequence[PlainOption],
    local_zone: ZoneName,
    is_retry: bool = False,
    request_id: str = "",
) -> UpstreamId | None:
    """
    Choose a plain upstream by its load, then by its availability zone.

    Loads are compared in steps of half the slots, so that a smaller difference
    does not outweigh the availability zone; a cold upstream counts one step
    more. A learned speed scales the steps, and recent failures add some; a
    retry prefers the upstreams with the fewest failures, whatever their load.

    :param options: All usable upstreams of the service.
    :param local_zone: Availability zone of this process.
    :param is_retry: True if another upstream has failed the request.
    :param request_id: Spreads requests where upstreams differ.
    :returns: None if the queues of all upstreams are full.
    """
    open_options = [
        option
        for option in options
        if option.running < option.slots * (1 + PLAIN_QUEUE_RATIO)
    ]
    if not open_options:
        return None
    if all(_is_usual(option.capacity) for option in open_options):
        return min(
            open_options,
            key=lambda option: (
                _load_steps(option),
                option.zone != local_zone,
                option.running,
                stable_hash(option.upstream_id),
            ),
        ).upstream_id
    # The instances know of one another's requests with a delay. If all chose
    # the least busy of the few fast upstreams, it would be overloaded at once.
    ranked = [
        (
            (
                option.capacity.failures if is_retry else 0.0,
                _plain_score(option),
                option.zone != local_zone,
            ),
            option,
        )
        for option in open_options
    ]
    best_rank = min(rank for rank, _ in ranked)
    best = [option for rank, option in ranked if rank == best_rank]
    best.sort(key=lambda option: stable_rank(request_id, option.upstream_id))
    return min(best[:2], key=lambda option: option.running).upstream_id


def _is_usual(capacity: CapacityEstimate) -> bool:
    return capacity.plain == 1.0 and not capacity.failures


def _load_steps(option: PlainOption) -> int:
    """Return the load of an upstream in steps of half its slots."""
    return option.running // max(option.slots // 2, 1) + (1 if option.is_cold else 0)


def _plain_score(option: PlainOption) -> float:
    """Return the load steps scaled by the learned speed, with failures."""
    capacity = option.capacity
    score = (_load_steps(option) + 1) * capacity.plain - 1
    score += FAILURE_STEPS * capacity.failures
    return round(score / SCORE_STEP) * SCORE_STEP
