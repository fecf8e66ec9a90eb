"""Where a request goes: a pure decision on loads and caches."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._loads import UpstreamLoad
from waxwingwinch.gateway._routes import stable_hash, stable_rank

#: Prompt tokens that a prefill engine reads in a second; from the users'
#: sheet of engines.
PREFILL_TOKENS_PER_SECOND = 51_000.0
#: How much longer a decode engine takes for a prompt: it reads at half the
#: speed, in small pieces between the tokens of other requests.
DECODE_SLOWDOWN = 6.0
#: Seconds for each pair of a new token and one before it, on a prefill
#: engine; the attention of the prompt, from the users' sheet of engines.
PREFILL_PAIR_SECONDS = 0.323e-9
#: Time from the last prompt token to the first event.
FIRST_EVENT_SECONDS = 0.06
#: Time to hand a KV cache from one engine to another.
TRANSFER_SECONDS = 0.06
#: Added time to the first event for each request that runs at the engine.
PER_RUNNING_SECONDS = 0.0005
#: What an otherwise equal choice in another availability zone must gain.
OTHER_ZONE_SECONDS = 0.01
#: What moving a KV cache to another availability zone must gain; it takes
#: twice as long and costs up to three times as much.
MOVE_ZONE_SECONDS = 0.1
#: What going through a prefill engine must gain, for the moved KV cache.
SPLIT_SECONDS = 0.05
#: Part of the latency objective within which one engine does all, although
#: two would be faster; moving a KV cache has a price.
COMFORT_SHARE = 0.6
#: Spread of the preference among engines that hold nothing of a prompt, so
#: that all instances choose the same one.
HOME_SECONDS = 0.3
#: Requests above the slots that a plain upstream may have waiting, relative
#: to its slots.
PLAIN_QUEUE_RATIO = 3.0


@frozen
class EngineOption:
    """
    An engine that could take a request.

    :param upstream_id: The engine.
    :param role: Its stage.
    :param zone: Its availability zone.
    :param load: Work under way there.
    :param cached_tokens: Leading tokens of the prompt that it holds.
    :param pace: How long it takes relative to others.
    """

    upstream_id: UpstreamId
    role: EngineRole
    zone: ZoneName
    load: UpstreamLoad
    cached_tokens: int = 0
    pace: float = 1.0


@frozen
class PromptSize:
    """
    What counts of a prompt for its placement.

    :param tokens: Its length.
    :param shared_id: Names its shared beginning.
    :param target_seconds: Latency objective of the first event.
    """

    tokens: int
    shared_id: str
    target_seconds: float


@frozen
class RunDirectly:
    """
    One engine reads the prompt and generates.

    :param upstream_id: The engine.
    :param read_tokens: What it has to read, as tokens without attention.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: The part of it that an idle engine would take.
    """

    upstream_id: UpstreamId
    read_tokens: int
    expected_seconds: float
    own_seconds: float


@frozen
class RunSplit:
    """
    A prefill engine reads the prompt, a decode engine generates.

    :param prefill_id: Reads the prompt.
    :param decode_id: Fetches the KV cache and generates.
    :param read_tokens: What the prefill engine has to read, as tokens
        without attention.
    :param expected_seconds: Estimated time to the first event.
    :param own_seconds: The part of it that idle engines would take.
    """

    prefill_id: UpstreamId
    decode_id: UpstreamId
    read_tokens: int
    expected_seconds: float
    own_seconds: float


Placement = RunDirectly | RunSplit


def place_prompt(
    prompt: PromptSize, options: Sequence[EngineOption], own_zone: ZoneName
) -> Placement | None:
    """
    Choose the engines that give the first event soonest.

    :param prompt: The prompt.
    :param options: All usable engines of the service.
    :param own_zone: Where this process runs.
    :returns: None if no engine generates.
    """
    decoders = [option for option in options if option.role is not EngineRole.PREFILL]
    if not decoders:
        return None
    plans = [(option, _direct(prompt, option)) for option in decoders]
    _, direct = min(
        plans,
        key=lambda pair: (
            pair[1].expected_seconds
            + _home_seconds(prompt, pair[0].upstream_id, pair[1].read_tokens)
            + _zone_seconds(pair[0].zone, own_zone)
        ),
    )
    split = _best_split(prompt, options, decoders, own_zone)
    if split is None:
        return direct
    if direct.expected_seconds <= COMFORT_SHARE * prompt.target_seconds:
        return direct
    if split.expected_seconds + SPLIT_SECONDS < direct.expected_seconds:
        return split
    return direct


def read_seconds(prompt_tokens: int, cached_tokens: int) -> float:
    """
    Return how long a prefill engine reads a prompt.

    :param prompt_tokens: Its length.
    :param cached_tokens: Leading tokens that are held already.
    """
    new = max(prompt_tokens - cached_tokens, 0)
    pairs = new * (cached_tokens + new / 2)
    return new / PREFILL_TOKENS_PER_SECOND + pairs * PREFILL_PAIR_SECONDS


def work_seconds(work_tokens: int) -> float:
    """
    Return the time that a prefill engine takes for tokens without attention.

    :param work_tokens: The tokens.
    """
    return work_tokens / PREFILL_TOKENS_PER_SECOND


def read_work_tokens(seconds: float) -> int:
    """
    Return the tokens that a prefill engine would read without attention.

    :param seconds: Time of a reading with it.
    """
    return int(seconds * PREFILL_TOKENS_PER_SECOND)


def _direct(prompt: PromptSize, option: EngineOption) -> RunDirectly:
    cached = min(option.cached_tokens, prompt.tokens)
    slowdown = DECODE_SLOWDOWN if option.role is EngineRole.DECODE else 1.0
    slowdown *= option.pace
    reading = read_seconds(prompt.tokens, cached)
    own = slowdown * reading + FIRST_EVENT_SECONDS
    queue = slowdown * work_seconds(option.load.waiting_tokens)
    queue += option.load.running * PER_RUNNING_SECONDS
    return RunDirectly(option.upstream_id, read_work_tokens(reading), queue + own, own)


def _best_split(
    prompt: PromptSize,
    options: Sequence[EngineOption],
    decoders: Sequence[EngineOption],
    own_zone: ZoneName,
) -> RunSplit | None:
    readers = [option for option in options if option.role is EngineRole.PREFILL]
    if not readers:
        return None
    reader = min(
        readers,
        key=lambda option: (
            _reader_seconds(prompt, option)
            + _home_seconds(
                prompt,
                option.upstream_id,
                prompt.tokens - min(option.cached_tokens, prompt.tokens),
            )
            + _zone_seconds(option.zone, own_zone)
        ),
    )
    decoder = min(
        decoders,
        key=lambda option: (
            _decoder_seconds(option)
            + HOME_SECONDS * stable_rank(prompt.shared_id, option.upstream_id)
            + (0.0 if option.zone == reader.zone else MOVE_ZONE_SECONDS)
        ),
    )
    cached = min(reader.cached_tokens, prompt.tokens)
    reading = read_seconds(prompt.tokens, cached)
    own = reader.pace * reading + TRANSFER_SECONDS + FIRST_EVENT_SECONDS
    queue = _queue_seconds(reader) + _decoder_seconds(decoder)
    return RunSplit(
        reader.upstream_id,
        decoder.upstream_id,
        read_work_tokens(reading),
        queue + own,
        own,
    )


def _reader_seconds(prompt: PromptSize, option: EngineOption) -> float:
    cached = min(option.cached_tokens, prompt.tokens)
    return _queue_seconds(option) + option.pace * read_seconds(prompt.tokens, cached)


def _queue_seconds(option: EngineOption) -> float:
    return option.pace * work_seconds(option.load.waiting_tokens)


def _decoder_seconds(option: EngineOption) -> float:
    # A decode engine takes over a KV cache between the pieces of the prompts
    # that it reads, so only the number of requests delays it.
    return option.load.running * 4 * PER_RUNNING_SECONDS


def _home_seconds(
    prompt: PromptSize, upstream_id: UpstreamId, read_tokens: int
) -> float:
    share = min(read_tokens / prompt.tokens, 1.0) if prompt.tokens else 0.0
    return HOME_SECONDS * share * stable_rank(prompt.shared_id, upstream_id)


def _zone_seconds(zone: ZoneName, own_zone: ZoneName) -> float:
    return 0.0 if zone == own_zone else OTHER_ZONE_SECONDS


@frozen
class PlainOption:
    """
    A plain upstream that could take a request.

    :param upstream_id: The upstream.
    :param zone: Its availability zone.
    :param slots: Requests that it serves at once.
    :param running: Requests under way there.
    :param is_cold: True while it is slow after its start.
    """

    upstream_id: UpstreamId
    zone: ZoneName
    slots: int
    running: int
    is_cold: bool = False


def place_plain(
    options: Sequence[PlainOption], own_zone: ZoneName
) -> UpstreamId | None:
    """
    Choose the plain upstream that has the most room.

    :param options: All usable upstreams of the service.
    :param own_zone: Where this process runs.
    :returns: None if all have as much waiting as they may.
    """
    open_options = [
        option
        for option in options
        if option.running < option.slots * (1 + PLAIN_QUEUE_RATIO)
    ]
    if not open_options:
        return None
    best = min(
        open_options,
        key=lambda option: (
            option.running // max(option.slots // 2, 1) + (1 if option.is_cold else 0),
            option.zone != own_zone,
            option.running,
            stable_hash(option.upstream_id),
        ),
    )
    return best.upstream_id
