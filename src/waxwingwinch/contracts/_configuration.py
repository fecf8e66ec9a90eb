"""Protocol of access to the current configuration."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import Configuration


class Freshness(enum.Enum):
    """Whether this instance may rely on its copy of the configuration."""

    FRESH = "fresh"
    #: Neither the log nor a majority of instances was reached for too long.
    STALE = "stale"


class KeyRejection(enum.Enum):
    """Why a key gives no access."""

    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"
    #: This instance's copy is stale, so the key can't be checked.
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

    :param rejection: The cause.
    """

    rejection: KeyRejection


class ConfigurationSource(Protocol):
    """The current configuration and the keys in it."""

    def current(self) -> Configuration:
        """Return the newest accepted configuration."""

    def authenticate(self, key: str, now_seconds: float) -> Caller | KeyRejected:
        """
        Check a key and find its customer.

        :param key: The key as the caller sent it.
        :param now_seconds: Monotonic time.
        """

    def is_withdrawn(self, key_id: str) -> bool:
        """
        Return whether a key was withdrawn or is no longer configured.

        Checked while a response stream is open.

        :param key_id: Public name of the key.
        """

    def freshness(self, now_seconds: float) -> Freshness:
        """
        Return whether this instance may serve requests with keys.

        :param now_seconds: Monotonic time.
        """
