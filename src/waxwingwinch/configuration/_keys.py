"""Creation of keys, and lookup of the customer of a key."""

import base64
import hashlib
import hmac
import secrets

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration._model import Configuration, KeyRecord

#: Length of the salt of a key record.
SALT_BYTES = 16
#: Number of random bytes in a key.
SECRET_BYTES = 24
#: Separates the public name of a key from its secret part.
KEY_SEPARATOR = "."


@frozen
class NewKey:
    """
    A newly created key.

    :param key: The key itself; shown once and stored nowhere.
    :param record: Record of the key in the configuration.
    """

    key: str
    record: KeyRecord


@frozen
class KeyOwner:
    """
    The customer to whom a key belongs.

    :param customer_id: The customer.
    :param key_id: Public name of the key.
    """

    customer_id: CustomerId
    key_id: str


def digest_access_key(salt: bytes, key: str) -> bytes:
    """
    Return the digest stored for a key.

    Keys are long and random, so a fast hash without stretching is enough.

    :param salt: Salt of the key's record.
    :param key: The key.
    """
    return hashlib.sha256(salt + key.encode("utf-8", "surrogateescape")).digest()


def build_key_record(key_id: str, key: str) -> KeyRecord:
    """
    Build the record of an existing key, with a random salt.

    :param key_id: Public name of the key.
    :param key: The key.
    """
    salt = secrets.token_bytes(SALT_BYTES)
    return KeyRecord(key_id, salt, digest_access_key(salt, key))


def create_key(key_id: str) -> NewKey:
    """
    Create a random key.

    :param key_id: Public name of the key; the key begins with it.
    """
    random_bytes = secrets.token_bytes(SECRET_BYTES)
    secret = base64.urlsafe_b64encode(random_bytes).decode()
    key = f"{key_id}{KEY_SEPARATOR}{secret}"
    return NewKey(key, build_key_record(key_id, key))


class KeyIndex:
    """
    Looks up keys of one configuration.

    A key that begins with a known public name is compared with one record,
    any other key with all records. Valid keys are cached under a keyed hash,
    so that they cost one hash from their second use on. Invalid keys are not
    cached, so that they can't fill the memory.

    :param configuration: The configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._records: dict[str, tuple[CustomerId, KeyRecord]] = {}
        for customer in configuration.customers.values():
            for record in customer.keys:
                self._records[record.key_id] = (customer.customer_id, record)
        self._secret = secrets.token_bytes(SALT_BYTES)
        self._owners: dict[bytes, KeyOwner] = {}

    def __contains__(self, key_id: str) -> bool:
        return key_id in self._records

    def find(self, key: str) -> KeyOwner | None:
        """
        Return the owner of a key; None if the key is unknown.

        Doesn't check whether the key was withdrawn.

        :param key: The key as the caller sent it.
        """
        text = key.encode("utf-8", "surrogateescape")
        cache_key = hmac.digest(self._secret, text, "sha256")
        cached_owner = self._owners.get(cache_key)
        if cached_owner is not None:
            return cached_owner
        owner = self._search(key)
        if owner is not None:
            self._owners[cache_key] = owner
        return owner

    def _search(self, key: str) -> KeyOwner | None:
        key_id, separator, _ = key.rpartition(KEY_SEPARATOR)
        named = self._records.get(key_id) if separator else None
        candidates = [named] if named is not None else list(self._records.values())
        for customer_id, record in candidates:
            if hmac.compare_digest(digest_access_key(record.salt, key), record.digest):
                return KeyOwner(customer_id, record.key_id)
        return None
