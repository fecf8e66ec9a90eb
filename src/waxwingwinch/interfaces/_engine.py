"""Model engines."""

import enum
from collections.abc import Iterator
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, EngineRole, Epoch, ModelName, UpstreamId


@frozen
class GenerateCall:
    """
    One generation.

    :param request_id: Identifies the generation at the engine; a resume of
        it uses the same name.
    :param model: The model to run.
    :param adapter: Adapter on top of the model; empty for none.
    :param prompt: The prompt as text; chat messages are already joined.
    :param max_tokens: Upper bound of the generated tokens.
    :param priority: Higher runs first.
    :param resume_from_token: Number of tokens that the caller already has;
        0 for a new generation.
    :param kv_source: Where to import the KV cache of the prompt from; None
        to read the prompt on this engine.
    :param prefill_only: True to read the prompt, keep its KV cache for
        export and generate nothing.
    :param connect_timeout_seconds: How long to wait for a connection.
    :param idle_timeout_seconds: Longest wait for the next token.
    """

    request_id: str
    model: ModelName
    prompt: str
    max_tokens: int
    adapter: str = ""
    priority: int = 0
    resume_from_token: int = 0
    kv_source: Address | None = None
    prefill_only: bool = False
    connect_timeout_seconds: float = 1.0
    idle_timeout_seconds: float = 30.0


@frozen
class StreamPart:
    """
    One generated token.

    :param index: Position in the answer, from 0.
    :param text: The text of the token.
    """

    index: int
    text: str


@frozen
class StreamEnd:
    """
    The end of a whole answer.

    :param finish_reason: ``stop`` or ``length``.
    :param prompt_tokens: Number of tokens in the prompt.
    :param output_tokens: Number of generated tokens.
    :param cached_prompt_tokens: Prompt tokens found in the prefix cache.
    """

    finish_reason: str
    prompt_tokens: int
    output_tokens: int
    cached_prompt_tokens: int = 0


StreamItem = StreamPart | StreamEnd


class EngineStream(Protocol):
    """
    A running generation.

    Iteration gives :class:`StreamPart` items with growing index and ends
    after one :class:`StreamEnd`. An iteration that ends otherwise raises
    :class:`UpstreamFailed`.
    """

    def __iter__(self) -> Iterator[StreamItem]:
        """Return the iterator over the items."""

    def close(self) -> None:
        """Drop the connection; the engine cancels the generation."""


@frozen
class LoadReport:
    """
    What an engine says of its load; late by its report interval and more.

    :param upstream_id: The reporting engine.
    :param age_seconds: How old the figures were when the report was sent.
    :param role: Present role.
    :param model: Present model; empty while one is loading.
    :param adapters: Loaded adapters.
    :param running: Generations in the batch.
    :param waiting: Generations not begun.
    :param waiting_prompt_tokens: Prompt tokens of the waiting ones.
    :param kv_pieces_used: Used KV cache, in pieces of 1,024 tokens.
    :param kv_pieces_total: Size of the KV cache, in pieces of 1,024 tokens.
    :param prefill_tokens_per_second: Measured speed of reading prompts.
    :param decode_seconds_per_token: Measured time between tokens.
    :param accepting: False while the engine changes role or model.
    """

    upstream_id: UpstreamId
    age_seconds: float
    role: EngineRole
    model: ModelName
    adapters: tuple[str, ...]
    running: int
    waiting: int
    waiting_prompt_tokens: int
    kv_pieces_used: int
    kv_pieces_total: int
    prefill_tokens_per_second: float
    decode_seconds_per_token: float
    accepting: bool = True


class CacheEventKind(enum.Enum):
    """What happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@frozen
class CacheEvent:
    """
    A change in the prefix cache.

    :param sequence: Position among the engine's events.
    :param kind: Stored or evicted.
    :param prefix_hash: Hash chain value of the prefix, see
        :mod:`waxwingwinch.prefixes`.
    """

    sequence: int
    kind: CacheEventKind
    prefix_hash: str


@frozen
class CacheEventPage:
    """
    Events after a sequence number; gaps are possible.

    :param next_sequence: Where to go on.
    :param events: The events, oldest first.
    """

    next_sequence: int
    events: tuple[CacheEvent, ...]


@frozen
class SetRole:
    """
    Change the role.

    :param role: The new role.
    """

    role: EngineRole


@frozen
class LoadModel:
    """
    Replace the model.

    :param model: The new model.
    :param version: Version of its weights.
    """

    model: ModelName
    version: str


@frozen
class LoadAdapter:
    """
    Load an adapter on top of the model.

    :param adapter: Name of the adapter.
    :param version: Version of its weights.
    """

    adapter: str
    version: str


OrderAction = SetRole | LoadModel | LoadAdapter


@frozen
class EngineOrder:
    """
    An order to an engine.

    :param order_id: Unique name; an engine runs a repeated name once.
    :param epoch: Fencing token of the ordering process.
    :param action: What to do.
    """

    order_id: str
    epoch: Epoch
    action: OrderAction


class OrderResult(enum.Enum):
    """How far an order has come."""

    DONE = "done"
    #: The engine has begun; the load report shows when it accepts work.
    STARTED = "started"


class Engine(Protocol):
    """Calls model engines."""

    def generate(self, address: Address, call: GenerateCall) -> EngineStream:
        """
        Begin or resume a generation.

        :raises UpstreamFailed: With ``Outcome.NOT_RUN`` if no byte was sent
            or the engine refused the call unread.
        """

    def cancel(self, address: Address, request_id: str) -> None:
        """
        Cancel a generation; an unknown one is no error.

        :raises UpstreamFailed: If the engine didn't answer.
        """

    def load_report(self, address: Address) -> LoadReport:
        """
        Fetch the newest published load report.

        :raises UpstreamFailed: If the engine didn't answer.
        """

    def cache_events(self, address: Address, from_sequence: int) -> CacheEventPage:
        """
        Fetch published cache events.

        :raises UpstreamFailed: If the engine didn't answer.
        """

    def order(self, address: Address, order: EngineOrder) -> OrderResult:
        """
        Send an order.

        :raises OrderRefused: If the fencing token is too old.
        :raises UpstreamFailed: If the engine didn't answer; the order may
            take effect at any later time, unless the outcome is
            ``Outcome.NOT_RUN``.
        """
