"""Repeating the state in the log, and taking it from a peer."""

from collections.abc import Iterable
from typing import Any, Protocol

import eliot

from waxwingwinch._exceptions import (
    MalformedMessage,
    PeerUnavailable,
    PlatformUnavailable,
)
from waxwingwinch.configuration import ConfigurationReply, ConfigurationRequest
from waxwingwinch.configuration.service._service import ConfigurationService

#: How often the holder of the duty ``configuration`` repeats the state; a
#: small part of the time for which the log keeps records.
SNAPSHOT_INTERVAL_SECONDS = 60.0
#: How long the append of a snapshot may take, so that a late one never
#: stands far from the offset that it covers.
SNAPSHOT_TIMEOUT_SECONDS = 5.0
#: How long a peer may take for its state.
PEER_STATE_TIMEOUT_SECONDS = 3.0


class SnapshotDuty:
    """
    Remembers when this process last put a snapshot into the log.

    Only own appends count: how long a snapshot that another process wrote
    has been in the log can't be told from reading it. A new holder of the
    duty therefore begins with one.

    :param service: The configuration.
    """

    def __init__(self, service: ConfigurationService) -> None:
        self._service = service
        self._taken_seconds: float | None = None

    def snapshot_if_due(
        self,
        now_seconds: float,
        interval_seconds: float = SNAPSHOT_INTERVAL_SECONDS,
        timeout_seconds: float = SNAPSHOT_TIMEOUT_SECONDS,
    ) -> bool:
        """
        Append a snapshot if the last one is old enough.

        :param now_seconds: Monotonic time.
        :param interval_seconds: Shortest time between two.
        :param timeout_seconds: How long the append may take.
        :returns: True if a snapshot was appended.
        """
        taken_seconds = self._taken_seconds
        if taken_seconds is not None and now_seconds - taken_seconds < interval_seconds:
            return False
        snapshot = self._service.snapshot()
        if snapshot is None:
            return False
        try:
            self._service.submit(snapshot, timeout_seconds).wait()
        except PlatformUnavailable as error:
            eliot.log_message("configuration:snapshot_failed", reason=str(error))
            return False
        self._taken_seconds = now_seconds
        return True


class PeerRequester(Protocol):
    """What is needed of a link to a peer."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a message and wait for its reply."""


def adopt_from_peers(
    service: ConfigurationService,
    peers: Iterable[PeerRequester],
    timeout_seconds: float = PEER_STATE_TIMEOUT_SECONDS,
) -> bool:
    """
    Ask peers for their state until one makes this process whole.

    Call it while ``service.needs_state()``, and when a heartbeat names a
    newer version than the own one, which means that this instance alone
    doesn't reach the log.

    :param service: The configuration.
    :param peers: Links, the nearest first.
    :param timeout_seconds: How long each may take.
    :returns: True if a peer's state was taken.
    """
    for peer in peers:
        request = ConfigurationRequest(service.current().version)
        try:
            reply = peer.request(request, timeout_seconds)
        except (PeerUnavailable, MalformedMessage):
            continue
        if not isinstance(reply, ConfigurationReply) or reply.snapshot is None:
            continue
        if service.adopt(reply):
            return True
    return False
