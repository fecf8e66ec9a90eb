"""The work of the duty ``configuration``: snapshots before records expire."""

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
#: How long each entry may take for its state; a fraction of a lease, since
#: the duty is held meanwhile.
PEER_STATE_SECONDS = 0.5


class SnapshotRunner:
    """
    Repeats the configuration in the log.

    :param service: The configuration.
    :param links: Returns the links to the entries.
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
        """Take over; the first step appends a snapshot."""
        self._snapshots = SnapshotAppender(self._service)

    def step(self, now_seconds: float) -> None:
        """
        Append a snapshot if it is due.

        A process that missed records, and found no snapshot in the log, takes
        the state of an entry first; else the log would never get one again.
        """
        if self._service.needs_state():
            adopt_from_peers(self._service, self._links(), PEER_STATE_SECONDS)
        self._snapshots.append_if_due(now_seconds, timeout_seconds=1.0)

    def end(self) -> None:
        """Do nothing; a new term starts with a snapshot of its own."""
