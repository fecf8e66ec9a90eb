"""Grow-only set of withdrawn keys."""

import hashlib
import threading
from collections.abc import Iterable

from attrs import frozen


@frozen
class _KeySet:
    """
    Immutable state of the set.

    :param key_ids: Public names of the keys.
    :param digest: Digest of the key ids.
    """

    key_ids: frozenset[str]
    digest: bytes


def digest_key_ids(key_ids: Iterable[str]) -> bytes:
    """
    Return a digest that is equal for equal sets.

    :param key_ids: Public names of keys, in any order.
    """
    joined = "\0".join(sorted(key_ids))
    return hashlib.sha256(joined.encode("utf-8", "surrogateescape")).digest()


class WithdrawnKeys:
    """
    A grow-only set, merged by union; the order of merges doesn't matter.

    Reads take no lock: they see the set before or after a merge.
    """

    def __init__(self) -> None:
        self._key_set = _KeySet(frozenset(), digest_key_ids(()))
        self._lock = threading.Lock()

    def __contains__(self, key_id: str) -> bool:
        return key_id in self._key_set.key_ids

    @property
    def key_ids(self) -> frozenset[str]:
        """Public names of all withdrawn keys."""
        return self._key_set.key_ids

    @property
    def digest(self) -> bytes:
        """Digest of all withdrawn keys."""
        return self._key_set.digest

    def merge(self, key_ids: Iterable[str]) -> frozenset[str]:
        """
        Add withdrawn keys.

        :param key_ids: Public names of withdrawn keys.
        :returns: The keys that were not in the set before.
        """
        with self._lock:
            current = self._key_set.key_ids
            added = frozenset(key_ids) - current
            if added:
                union = current | added
                self._key_set = _KeySet(union, digest_key_ids(union))
        return added

    def missing_from(self, key_ids: Iterable[str]) -> tuple[str, ...]:
        """
        Return the withdrawn keys that are not in another set, sorted.

        :param key_ids: Public names in the other set.
        """
        return tuple(sorted(self._key_set.key_ids - frozenset(key_ids)))
