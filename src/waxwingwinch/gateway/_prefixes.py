"""Which parts of prompts each engine is likely to hold."""

import threading
from collections import OrderedDict

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._requests import PromptPart

#: Share of an engine's KV cache that is counted on for prompt parts; the
#: rest is taken by running requests and by parts that are used only once.
CACHED_FRACTION = 0.9


class PrefixIndex:
    """
    Estimates the cached parts of each engine from what was sent to it.

    Engines drop the least recently used parts, and so does the estimate.
    """

    def __init__(self) -> None:
        self._parts: dict[UpstreamId, OrderedDict[str, int]] = {}
        self._lock = threading.Lock()

    def record_use(
        self,
        upstream_id: UpstreamId,
        parts: tuple[PromptPart, ...],
        capacity_tokens: int,
    ) -> None:
        """
        Note that an engine reads or fetches a prompt.

        :param upstream_id: The engine.
        :param parts: The parts of the prompt that may be shared.
        :param capacity_tokens: KV cache of the engine.
        """
        with self._lock:
            cached = self._parts.setdefault(upstream_id, OrderedDict())
            for part in parts:
                cached[part.part_id] = part.tokens
                cached.move_to_end(part.part_id)
            excess = sum(cached.values()) - int(capacity_tokens * CACHED_FRACTION)
            while excess > 0 and cached:
                excess -= cached.popitem(last=False)[1]

    def remove_engine(self, upstream_id: UpstreamId) -> None:
        """
        Note that an engine has started anew or is gone.

        :param upstream_id: The engine.
        """
        with self._lock:
            self._parts.pop(upstream_id, None)

    def cached_tokens(
        self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]
    ) -> int:
        """
        Return how many leading tokens of a prompt an engine holds.

        :param upstream_id: The engine.
        :param parts: The parts of the prompt in order.
        """
        with self._lock:
            cached = self._parts.get(upstream_id)
            if not cached:
                return 0
            tokens = 0
            for part in parts:
                if part.part_id not in cached:
                    break
                tokens += part.tokens
            return tokens
