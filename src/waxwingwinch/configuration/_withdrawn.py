"""The set of withdrawn keys, which only grows."""

import hashlib
import threading
from collections.abc import Iterable

from attrs import frozen


@frozen
class _Known:
    """
    The set at one moment.

    :param key_ids: Public names of the keys.
    :param digest: Digest of the names.
    """

    key_ids: frozenset[str]
    digest: bytes


def digest_names(key_ids: Iterable[str]) -> bytes:
    """
    Return a digest that is equal for equal sets.

    :param key_ids: Names in any order.
    """
    joined = "\0".join(sorted(key_ids))
    return hashlib.sha256(joined.encode("utf-8", "surrogateescape")).digest()


class WithdrawnKeys:
    """
    A grow-only set; merging is the union, so order doesn't matter.

    Reads take no lock: they see one whole set or the next.
    """

    def __init__(self) -> None:
        self._known = _Known(frozenset(), digest_names(()))
        self._lock = threading.Lock()

    def __contains__(self, key_id: str) -> bool:
        return key_id in self._known.key_ids

    @property
    def key_ids(self) -> frozenset[str]:
        """All withdrawn keys."""
        return self._known.key_ids

    @property
    def digest(self) -> bytes:
        """Digest of all withdrawn keys."""
        return self._known.digest

    def merge(self, key_ids: Iterable[str]) -> frozenset[str]:
        """
        Add keys.

        :param key_ids: Public names of withdrawn keys.
        :returns: Those that were new.
        """
        with self._lock:
            present = self._known.key_ids
            added = frozenset(key_ids) - present
            if added:
                union = present | added
                self._known = _Known(union, digest_names(union))
        return added

    def missing_from(self, key_ids: Iterable[str]) -> tuple[str, ...]:
        """
        Return the keys that another process doesn't know.

        :param key_ids: All that it knows.
        """
        return tuple(sorted(self._known.key_ids - frozenset(key_ids)))
