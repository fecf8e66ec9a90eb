"""Asking the system which instances to use."""

import threading
from collections.abc import Sequence

import urllib3
from attrs import frozen

from waxwingwinch._types import Address

#: How long one discovery call may take.
DISCOVERY_TIMEOUT_SECONDS = 2.0
#: Lifetime of an answer that names none.
DEFAULT_TTL_SECONDS = 5.0


@frozen
class CachedAnswer:
    """
    A discovery answer.

    :param addresses: Instances in order of preference.
    :param expires_seconds: Monotonic time until which it may be used.
    """

    addresses: tuple[Address, ...]
    expires_seconds: float


class Discovery:
    """
    Keeps the instances that one customer's callers use.

    :param key: The customer's key.
    :param seeds: Instances to ask first.
    :param zone: Availability zone of the callers; empty for none.
    """

    def __init__(self, key: str, seeds: Sequence[Address], zone: str = "") -> None:
        self._key = key
        self._seeds = tuple(seeds)
        self._zone = zone
        self._answer = CachedAnswer((), 0.0)
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(retries=False)

    def addresses(self, now_seconds: float) -> tuple[Address, ...]:
        """
        Return the instances to use, best first.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if now_seconds < self._answer.expires_seconds:
                return self._answer.addresses
            self._answer = self._ask(now_seconds)
            return self._answer.addresses

    def forget(self) -> None:
        """Ask again at the next use, after an instance did not answer."""
        with self._lock:
            self._answer = CachedAnswer(self._answer.addresses, 0.0)

    def _ask(self, now_seconds: float) -> CachedAnswer:
        known = self._answer.addresses + self._seeds
        for address in dict.fromkeys(known):
            answer = self._ask_one(address, now_seconds)
            if answer is not None and answer.addresses:
                return answer
        return CachedAnswer(self._seeds, now_seconds + 1.0)

    def _ask_one(self, address: Address, now_seconds: float) -> CachedAnswer | None:
        query = f"?zone={self._zone}" if self._zone else ""
        try:
            answer = self._pool.request(
                "GET",
                f"http://{address}/discovery{query}",
                headers={"Authorization": f"Bearer {self._key}"},
                timeout=DISCOVERY_TIMEOUT_SECONDS,
            )
            if answer.status != 200:
                return None
            body = answer.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        addresses = tuple(Address.parse(row["address"]) for row in body["instances"])
        ttl_seconds = float(body.get("ttl_seconds", DEFAULT_TTL_SECONDS))
        return CachedAnswer(addresses, now_seconds + ttl_seconds)
