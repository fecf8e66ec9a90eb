"""The duty ``configuration``: appends snapshots before records expire."""

from collections.abc import Callable, Iterable

from waxwingwinch._types import Epoch
from waxwingwinch.configuration.service import (
    ConfigurationService,
    PeerRequester,
    SnapshotAppender,
    adopt_from_peers,
)

#: Name of the duty.
CONFIGURATION_DUTY = "configuration"
#: Timeout of the request for the state of an entry; a fraction of a lease,
#: as the duty is held meanwhile.
PEER_STATE_TIMEOUT_SECONDS = 0.5


class SnapshotRunner:
    """
    Appends snapshots of the configuration to the log.

    :param service: Follows the configuration in the log.
    :param links: Returns the peer links to the entries.
    """

    def __init__(
        self,
        service: ConfigurationService,
        links: Callable[[], Iterable[PeerRequester]],
    ) -> None:
        self._service = service
        self._links = links
        self._snapshots = SnapshotAppender(service)

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return CONFIGURATION_DUTY

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """Start a term; its first step appends a snapshot."""
        self._snapshots = SnapshotAppender(self._service)

    def step(self, now_seconds: float) -> None:
        """
        Append a snapshot if it is due.

        A process that missed records and found no snapshot in the log adopts
        the configuration of an entry first; otherwise the log would never
        contain a snapshot again.
        """
        if self._service.needs_state():
            adopt_from_peers(self._service, self._links(), PEER_STATE_TIMEOUT_SECONDS)
        self._snapshots.append_if_due(now_seconds, timeout_seconds=1.0)

    def end(self) -> None:
        """Do nothing; a new term starts with a new snapshot."""
