"""Snapshots of the state in the log, and adoption of a peer's state."""

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

#: Interval at which the holder of the duty ``configuration`` appends
#: snapshots; a small part of the retention period of the log.
SNAPSHOT_INTERVAL_SECONDS = 60.0
#: How long the append of a snapshot may take; limited, so that the
#: offset of a late snapshot is close to the offset up to which the snapshot
#: covers the stream.
SNAPSHOT_TIMEOUT_SECONDS = 5.0
#: Time limit of a request for the state of a peer.
PEER_STATE_TIMEOUT_SECONDS = 3.0


class SnapshotAppender:
    """
    Appends snapshots of the state to the log at a fixed interval.

    Only appends by this process count, since the age of a snapshot that
    another process appended can't be determined by reading it. A new holder
    of the duty therefore starts with a snapshot.

    :param service: The configuration service.
    """

    def __init__(self, service: ConfigurationService) -> None:
        self._service = service
        self._last_append_seconds: float | None = None

    def append_if_due(
        self,
        now_seconds: float,
        interval_seconds: float = SNAPSHOT_INTERVAL_SECONDS,
        timeout_seconds: float = SNAPSHOT_TIMEOUT_SECONDS,
    ) -> bool:
        """
        Append a snapshot if the interval since the last one is over.

        :param now_seconds: Monotonic time.
        :param interval_seconds: Shortest time between two snapshots.
        :param timeout_seconds: How long the append may take.
        :returns: True if a snapshot was appended.
        """
        last_append_seconds = self._last_append_seconds
        if (
            last_append_seconds is not None
            and now_seconds - last_append_seconds < interval_seconds
        ):
            return False
        snapshot = self._service.snapshot()
        if snapshot is None:
            return False
        try:
            self._service.submit(snapshot, timeout_seconds).wait()
        except PlatformUnavailable as error:
            eliot.log_message("configuration:snapshot_failed", reason=str(error))
            return False
        self._last_append_seconds = now_seconds
        return True


class PeerRequester(Protocol):
    """Sends requests to a peer."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """Send a message and wait for its reply."""


def adopt_from_peers(
    service: ConfigurationService,
    peers: Iterable[PeerRequester],
    timeout_seconds: float = PEER_STATE_TIMEOUT_SECONDS,
) -> bool:
    """
    Request the state of peers in turn until the local state is complete.

    The first peer is asked even if the local state is complete already.

    Call it while ``service.needs_state()``, and when a heartbeat names a
    version newer than the local version. The latter means that only this
    instance doesn't reach the log.

    :param service: The configuration service.
    :param peers: Links to peers, the nearest first.
    :param timeout_seconds: Time limit of each request.
    :returns: True if the local state is complete after a peer's reply.
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
