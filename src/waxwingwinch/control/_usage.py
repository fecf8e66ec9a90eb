"""What the duty ``usage-<cell>`` needs from the control process."""

from typing import Any

from waxwingwinch._exceptions import (
    AuthorityLost,
    PeerUnavailable,
    PlatformUnavailable,
)
from waxwingwinch.authority import DutyHolder
from waxwingwinch.interfaces import UsageIntake, UsageReport
from waxwingwinch.kernel import Clock
from waxwingwinch.membership import InstanceDirectory, PeerMesh
from waxwingwinch.usage import UsagePeer


class GuardedIntake:
    """
    Sends reports inside the gate of the lease.

    :param intake: The platform's interface.
    :param duty: Name of the duty.
    :param holder: Guards.
    :param clock: Source of the present time.
    """

    def __init__(
        self, intake: UsageIntake, duty: str, holder: DutyHolder, clock: Clock
    ) -> None:
        self._intake = intake
        self._duty = duty
        self._holder = holder
        self._clock = clock

    def submit(self, report: UsageReport) -> None:
        """
        Send a report.

        :raises PlatformUnavailable: If no answer came, or nothing was sent
            since the duty is not held any more.
        """
        now_seconds = self._clock.now_seconds()
        try:
            with self._holder.acting(self._duty, now_seconds):
                self._intake.submit(report)
        except AuthorityLost as error:
            raise PlatformUnavailable(
                str(error), may_have_taken_effect=False
            ) from error


class _MissingLink:
    """Stands for an entry that no link is dialed to yet."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """
        Fail.

        :raises PeerUnavailable: Always.
        """
        raise PeerUnavailable("no link yet")


class EntryLinks:
    """
    All listed entries, those without a link included.

    :param instances: The listed instances.
    :param mesh: Links to their entries.
    """

    def __init__(self, instances: InstanceDirectory, mesh: PeerMesh) -> None:
        self._instances = instances
        self._mesh = mesh

    def peers(self) -> tuple[UsagePeer, ...]:
        """Return the entries that can be asked for usage."""
        return tuple(
            UsagePeer(
                instance.instance_id,
                instance.zone,
                self._mesh.link_to(instance.peer_address) or _MissingLink(),
            )
            for instance in self._instances.instances()
        )
