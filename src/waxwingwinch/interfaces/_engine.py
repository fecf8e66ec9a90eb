"""Interface to model engines."""

import enum
from collections.abc import Iterator
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, EngineRole, Epoch, ModelName, UpstreamId


@frozen
class GenerateCall:
    """
    A call to generate text.

    :param request_id: Identifies the generation at the engine; the same id is
        used to resume it.
    :param model: The model to run.
    :param adapter: Adapter on top of the model; empty for no adapter.
    :param prompt: The prompt as text; chat messages are already joined.
    :param max_tokens: Upper bound of the number of generated tokens.
    :param priority: Calls of higher priority run first.
    :param resume_from_token: Number of tokens that the caller already has;
        0 for a new generation.
    :param kv_source: Engine from which to import the KV cache of the prompt;
        None to prefill the prompt on the called engine.
    :param prefill_only: True to prefill the prompt, retain its KV cache for
        export and generate nothing.
    :param connect_timeout_seconds: Longest wait for a connection.
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

    :param index: Position in the generated text, from 0.
    :param text: The text of the token.
    """

    index: int
    text: str


@frozen
class StreamEnd:
    """
    The end of a complete generation.

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

    Iteration yields :class:`StreamPart` items with increasing index and ends
    after one :class:`StreamEnd`. If it fails or ends before
    :class:`StreamEnd`, it raises :class:`UpstreamFailed`.
    """

    def __iter__(self) -> Iterator[StreamItem]:
        """Return the iterator over the items."""

    def close(self) -> None:
        """Close the connection; the engine then cancels the generation."""


@frozen
class LoadReport:
    """
    An engine's report of its load.

    The figures lag behind by the engine's report interval or more.

    :param upstream_id: The reporting engine.
    :param age_seconds: Age of the figures when the report was sent.
    :param role: Current role.
    :param model: Current model; empty while a model is loading.
    :param adapters: Loaded adapters.
    :param running: Number of generations in the batch.
    :param waiting: Number of generations not yet started.
    :param waiting_prompt_tokens: Prompt tokens of the waiting generations.
    :param kv_pieces_used: Used KV cache, in pieces of 1,024 tokens.
    :param kv_pieces_total: Size of the KV cache, in pieces of 1,024 tokens.
    :param prefill_tokens_per_second: Measured prefill speed.
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
    """Kinds of changes of the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"


@frozen
class CacheEvent:
    """
    A change of an engine's prefix cache.

    :param sequence: Position among the engine's events.
    :param kind: Whether the prefix was stored or evicted.
    :param prefix_hash: Hash chain value of the prefix, see
        :mod:`waxwingwinch.prefixes`.
    """

    sequence: int
    kind: CacheEventKind
    prefix_hash: str


@frozen
class CacheEventPage:
    """
    Cache events from a sequence number on; gaps are possible.

    :param next_sequence: Sequence number from which to fetch the next page.
    :param events: The events, oldest first.
    """

    next_sequence: int
    events: tuple[CacheEvent, ...]


@frozen
class SetRole:
    """
    Change the role of an engine.

    :param role: The new role.
    """

    role: EngineRole


@frozen
class LoadModel:
    """
    Replace the model of an engine.

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

    :param order_id: Unique id; an engine executes orders with the same id
        only once.
    :param epoch: Fencing token of the ordering process.
    :param action: The ordered change.
    """

    order_id: str
    epoch: Epoch
    action: OrderAction


class OrderResult(enum.Enum):
    """Progress of an order."""

    DONE = "done"
    #: The change is in progress; the load report shows when the engine accepts
    #: work again.
    STARTED = "started"


class Engine(Protocol):
    """Client of model engines."""

    def generate(self, address: Address, call: GenerateCall) -> EngineStream:
        """
        Start or resume a generation.

        :raises UpstreamFailed: With ``Outcome.NOT_RUN`` if no byte was sent
            or the engine refused the call without running it.
        """

    def cancel(self, address: Address, request_id: str) -> None:
        """
        Cancel a generation; succeeds also if the generation is unknown.

        :raises UpstreamFailed: If the engine sent no successful response.
        """

    def load_report(self, address: Address) -> LoadReport:
        """
        Fetch the newest published load report.

        :raises UpstreamFailed: If the engine sent no successful response.
        """

    def cache_events(self, address: Address, from_sequence: int) -> CacheEventPage:
        """
        Fetch published cache events.

        :raises UpstreamFailed: If the engine sent no successful response.
        """

    def order(self, address: Address, order: EngineOrder) -> OrderResult:
        """
        Send an order.

        :raises OrderRefused: If the engine has seen a higher fencing token.
        :raises UpstreamFailed: If the engine sent no successful response; the
            order may take effect at any later time, unless the outcome is
            ``Outcome.NOT_RUN``.
        """
