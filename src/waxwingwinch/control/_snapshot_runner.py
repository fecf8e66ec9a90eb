"""The work of the duty ``configuration``: snapshots before records expire."""

from waxwingwinch._types import Epoch
from waxwingwinch.configuration.service import ConfigurationService, SnapshotDuty

#: Name of the duty.
CONFIGURATION_DUTY = "configuration"


class SnapshotRunner:
    """
    Repeats the configuration in the log.

    :param service: The configuration.
    """

    def __init__(self, service: ConfigurationService) -> None:
        self._service = service
        self._snapshots = SnapshotDuty(service)

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return CONFIGURATION_DUTY

    def begin(self, epoch: Epoch, now_seconds: float) -> None:
        """Take over; the first step appends a snapshot."""
        self._snapshots = SnapshotDuty(self._service)

    def step(self, now_seconds: float) -> None:
        """Append a snapshot if it is due."""
        self._snapshots.snapshot_if_due(now_seconds, timeout_seconds=1.0)

    def end(self) -> None:
        """Do nothing; a new term starts with a snapshot of its own."""
