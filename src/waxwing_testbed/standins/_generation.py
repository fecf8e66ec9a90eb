"""One generation on an engine."""

import enum
import queue

from attrs import define, field

from waxwingwinch._types import TOKENS_PER_KV_PIECE
from waxwingwinch.interfaces import GenerateCall, StreamEnd, StreamItem
from waxwingwinch.prefixes import prefix_hashes


class Refusal(enum.Enum):
    """Why an engine doesn't take a generation."""

    NOT_ACCEPTING = "not_accepting"
    MODEL_NOT_LOADED = "model_not_loaded"
    ADAPTER_NOT_LOADED = "adapter_not_loaded"
    PROMPT_TOO_LONG = "prompt_too_long"
    KV_UNAVAILABLE = "kv_unavailable"


def _pieces(tokens: int) -> int:
    return -(-tokens // TOKENS_PER_KV_PIECE)


@define(eq=False)
class Generation:
    """
    A generation from its arrival to its end.

    :param call: What to generate.
    :param imported: True if its KV cache comes from another engine.
    :param sequence: Order of arrival.
    """

    call: GenerateCall
    imported: bool
    sequence: int
    #: What its stream sends next; None cuts the stream.
    items: "queue.SimpleQueue[StreamItem | None]" = field(factory=queue.SimpleQueue)
    prompt_tokens: int = field(init=False)
    hashes: tuple[str, ...] = field(init=False)
    cached_tokens: int = 0
    next_index: int = field(init=False)
    ended: bool = False
    holds_kv: bool = False

    def __attrs_post_init__(self) -> None:
        """Read the prompt."""
        self.prompt_tokens = len(self.call.prompt.split())
        self.hashes = prefix_hashes(self.call.prompt)
        self.next_index = self.call.resume_from_token

    def __lt__(self, other: "Generation") -> bool:
        """Order by priority, then by arrival."""
        mine = (-self.call.priority, self.sequence)
        return mine < (-other.call.priority, other.sequence)

    @property
    def tokens_to_read(self) -> int:
        """Tokens that are read before the next one is generated."""
        return self.prompt_tokens + self.call.resume_from_token

    @property
    def prompt_pieces(self) -> int:
        """KV cache of what is read, in pieces of 1,024 tokens."""
        return _pieces(self.tokens_to_read)

    @property
    def kv_pieces(self) -> int:
        """KV cache at the end, in pieces of 1,024 tokens."""
        generated = 0 if self.call.prefill_only else self.call.max_tokens
        return max(1, _pieces(self.prompt_tokens + generated))

    def emit(self, item: StreamItem) -> None:
        """
        Hand an item to the stream.

        :param item: The item.
        """
        self.items.put(item)

    def emit_end(self) -> None:
        """Hand the end of the whole answer to the stream."""
        prefill_only = self.call.prefill_only
        self.emit(
            StreamEnd(
                finish_reason="stop" if prefill_only else "length",
                prompt_tokens=self.prompt_tokens,
                output_tokens=0 if prefill_only else self.next_index,
                cached_prompt_tokens=self.cached_tokens,
            )
        )

    def cut(self) -> None:
        """Cut the stream."""
        self.items.put(None)
