"""Prefixes that engines are about to have cached."""

import threading
from collections import OrderedDict

from waxwingwinch._types import UpstreamId

#: Time after which the engine's own cache events must show a prefix.
SENT_PREFIX_SECONDS = 5.0
#: Prefixes remembered for one engine.
SENT_PREFIXES_MAX = 4_096


class SentPrefixes:
    """
    Prefix hashes of the prompts that this instance sent lately.

    Cache events come late. Without this, requests with the same new prefix
    that follow each other closely would be spread over the engines.
    """

    def __init__(self) -> None:
        self._sent: dict[UpstreamId, OrderedDict[str, float]] = {}
        self._lock = threading.Lock()

    def add(
        self, upstream_id: UpstreamId, hashes: tuple[str, ...], now_seconds: float
    ) -> None:
        """
        Remember the prefixes of a prompt.

        :param upstream_id: The engine that reads it.
        :param hashes: Its hash chain.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sent = self._sent.setdefault(upstream_id, OrderedDict())
            for prefix_hash in hashes:
                sent[prefix_hash] = now_seconds
                sent.move_to_end(prefix_hash)
            while len(sent) > SENT_PREFIXES_MAX:
                sent.popitem(last=False)

    def at(self, upstream_id: UpstreamId, now_seconds: float) -> frozenset[str]:
        """
        Return the prefixes that an engine must have by what was sent.

        :param upstream_id: The engine.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            sent = self._sent.get(upstream_id)
            if sent is None:
                return frozenset()
            while sent:
                oldest = next(iter(sent))
                if now_seconds - sent[oldest] <= SENT_PREFIX_SECONDS:
                    break
                del sent[oldest]
            if not sent:
                del self._sent[upstream_id]
            return frozenset(sent)
