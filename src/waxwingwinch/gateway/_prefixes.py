"""Estimates which parts of prompts each engine has in its KV cache."""

import threading
from collections import OrderedDict

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway._requests import PromptPart

#: Fraction of an engine's KV cache that is assumed to hold shared prompt
#: parts; running requests and parts that are used only once take the rest.
CACHED_FRACTION = 0.9


class PrefixIndex:
    """
    Estimates the cached parts of each engine from what was sent to it.

    Engines evict the least recently used parts, and so does the estimate.
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
        Record that an engine prefills a prompt or fetches its KV cache.

        :param upstream_id: The engine.
        :param parts: The parts of the prompt that may be shared.
        :param capacity_tokens: Capacity of the engine's KV cache.
        """
        with self._lock:
            cached = self._parts.setdefault(upstream_id, OrderedDict())
            for part in parts:
                cached[part.part_id] = part.tokens
                cached.move_to_end(part.part_id)
            excess = sum(cached.values()) - int(capacity_tokens * CACHED_FRACTION)
            while excess > 0 and cached:
                excess -= cached.popitem(last=False)[1]

    def knows(self, upstream_id: UpstreamId) -> bool:
        """
        Tell whether anything is known of an engine's cache.

        :param upstream_id: The engine.
        """
        with self._lock:
            return upstream_id in self._parts

    def remove_engine(self, upstream_id: UpstreamId) -> None:
        """
        Discard the parts of an engine that restarted or was removed.

        :param upstream_id: The engine.
        """
        with self._lock:
            self._parts.pop(upstream_id, None)

    def cached_tokens(
        self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]
    ) -> int:
        """
        Return how many leading tokens of a prompt an engine has cached.

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
