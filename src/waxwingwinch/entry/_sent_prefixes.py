"""Prompt prefixes recently sent to engines, expected in their KV caches."""

import threading
from collections import OrderedDict

from waxwingwinch._types import UpstreamId

#: Age from which a sent prefix is dropped; the engine's cache events must
#: have reported it by then.
SENT_PREFIX_TIMEOUT_SECONDS = 5.0
#: Maximum number of prefixes kept for one engine.
MAX_SENT_PREFIXES = 4_096


class SentPrefixes:
    """
    Prefix hashes of the prompts that this instance sent recently.

    Cache events arrive with a delay. Without this record, requests with the
    same new prefix in quick succession would be spread over the engines.
    """

    def __init__(self) -> None:
        self._sent: dict[UpstreamId, OrderedDict[str, float]] = {}
        self._lock = threading.Lock()

    def add(
        self, upstream_id: UpstreamId, hashes: tuple[str, ...], now_seconds: float
    ) -> None:
        """
        Record the prefixes of a prompt that is sent to an engine.

        :param upstream_id: The engine that prefills the prompt.
        :param hashes: Hash chain of the prompt's prefixes.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sent = self._sent.setdefault(upstream_id, OrderedDict())
            for prefix_hash in hashes:
                sent[prefix_hash] = now_seconds
                sent.move_to_end(prefix_hash)
            while len(sent) > MAX_SENT_PREFIXES:
                sent.popitem(last=False)

    def prefixes_at(
        self, upstream_id: UpstreamId, now_seconds: float
    ) -> frozenset[str]:
        """
        Return the prefixes recently sent to an engine.

        :param upstream_id: The engine.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sent = self._sent.get(upstream_id)
            if sent is None:
                return frozenset()
            while sent:
                oldest = next(iter(sent))
                if now_seconds - sent[oldest] <= SENT_PREFIX_TIMEOUT_SECONDS:
                    break
                del sent[oldest]
            if not sent:
                del self._sent[upstream_id]
            return frozenset(sent)
