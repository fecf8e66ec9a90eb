"""Access to the configuration in force."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Configuration


class Freshness(enum.Enum):
    """Whether this instance may rely on what it knows."""

    FRESH = "fresh"
    #: Reached neither the log nor enough peers for too long.
    STALE = "stale"


class KeyRejection(enum.Enum):
    """Why a key gives no access."""

    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    #: This instance is stale and can't tell.
    STALE = "stale"


@frozen
class Caller:
    """
    The holder of a valid key.

    :param customer_id: The customer the key belongs to.
    :param key_id: Public name of the key.
    """

    customer_id: CustomerId
    key_id: str


@frozen
class KeyRejected:
    """
    A key that gives no access.

    :param rejection: Why.
    """

    rejection: KeyRejection


class ConfigurationSource(Protocol):
    """The configuration in force and the keys in it."""

    def current(self) -> Configuration:
        """Return the newest accepted configuration."""

    def authenticate(self, key: str, now_seconds: float) -> Caller | KeyRejected:
        """
        Find the customer of a key.

        :param key: The key as the caller sent it.
        :param now_seconds: Monotonic time.
        """

    def is_withdrawn(self, key_id: str) -> bool:
        """
        Tell whether a key was withdrawn; asked while a stream is open.

        :param key_id: Public name of the key.
        """

    def freshness(self, now_seconds: float) -> Freshness:
        """
        Tell whether this instance may serve keyed requests.

        :param now_seconds: Monotonic time.
        """
