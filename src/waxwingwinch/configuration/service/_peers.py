"""Withdrawals over the links to the other entries."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Protocol

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import InstanceId
from waxwingwinch.configuration import (
    WithdrawalConfirmation,
    WithdrawalExchange,
    WithdrawalNotice,
)
from waxwingwinch.configuration.service._service import ConfigurationService
from waxwingwinch.peers import PeerIdentity


class Link(Protocol):
    """What is needed of a link to a peer."""

    @property
    def peer(self) -> PeerIdentity | None:
        """Who serves at the other end; None while the link is down."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a message and wait for its reply."""


class LinkedPeers:
    """
    Sends notices over all links at once.

    :param links: Returns the links to the other entries.
    :param expected_instances: How many instances there should be.
    """

    def __init__(
        self, links: Callable[[], Sequence[Link]], expected_instances: int
    ) -> None:
        self._links = links
        self._expected_instances = expected_instances

    def expected_instances(self) -> int:
        """Return how many instances there should be, this one included."""
        return self._expected_instances

    def broadcast(
        self, notice: WithdrawalNotice, timeout_seconds: float
    ) -> frozenset[InstanceId]:
        """
        Send a notice and collect the confirmations.

        :param notice: The notice.
        :param timeout_seconds: How long to wait for each.
        :returns: The instances that confirmed in time.
        """
        links = self._links()
        if not links:
            return frozenset()
        with ThreadPoolExecutor(len(links), "withdrawal-notice") as pool:
            confirmed = pool.map(
                lambda link: _confirm(link, notice, timeout_seconds), links
            )
            return frozenset(name for name in confirmed if name is not None)


def exchange_withdrawals(
    service: ConfigurationService, link: Link, timeout_seconds: float
) -> bool:
    """
    Make the withdrawals known here and at a peer the same.

    Call it when a heartbeat carries another digest than the own one. Until
    it succeeded, that heartbeat must not count towards freshness: only then
    does this instance know what the peer knows.

    :param service: The configuration.
    :param link: The link to the peer.
    :param timeout_seconds: How long the peer may take.
    :returns: True if the peer answered.
    """
    known = WithdrawalExchange(tuple(sorted(service.withdrawn_key_ids())))
    try:
        reply = link.request(known, timeout_seconds)
    except (PeerUnavailable, MalformedMessage):
        return False
    if not isinstance(reply, WithdrawalNotice):
        return False
    service.merge_withdrawals(reply.key_ids)
    return True


def _confirm(
    link: Link, notice: WithdrawalNotice, timeout_seconds: float
) -> InstanceId | None:
    before = link.peer
    try:
        reply = link.request(notice, timeout_seconds)
    except (PeerUnavailable, MalformedMessage):
        return None
    after = link.peer
    # A link that was redialed meanwhile may have reached another process.
    if before is None or before != after:
        return None
    if not isinstance(reply, WithdrawalConfirmation):
        return None
    return before.instance_id
