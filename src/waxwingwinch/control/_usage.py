"""Lease check and peer links of the duty ``usage-<cell>``."""

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
    Sends usage reports only while the lease of the duty is held.

    :param intake: The platform's intake of usage reports.
    :param duty: Name of the duty.
    :param holder: Checks the lease.
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

        :raises PlatformUnavailable: If the platform didn't answer, or nothing
            was sent as the duty isn't held any more.
        """
        now_seconds = self._clock.now_seconds()
        try:
            with self._holder.lease_guard(self._duty, now_seconds):
                self._intake.submit(report)
        except AuthorityLost as error:
            raise PlatformUnavailable(
                str(error), may_have_taken_effect=False
            ) from error


class _UnconnectedLink:
    """Placeholder for the link of an entry without a connection."""

    def request(self, body: object, timeout_seconds: float) -> Any:
        """
        Raise ``PeerUnavailable``.

        :raises PeerUnavailable: Always.
        """
        raise PeerUnavailable("no link to the peer is established yet")


class EntryLinks:
    """
    Links to all listed entries, including unconnected ones.

    :param instances: The instances listed by the platform.
    :param mesh: Peer links to the entries of the instances.
    """

    def __init__(self, instances: InstanceDirectory, mesh: PeerMesh) -> None:
        self._instances = instances
        self._mesh = mesh

    def peers(self) -> tuple[UsagePeer, ...]:
        """Return all listed entries as peers to request usage from."""
        return tuple(
            UsagePeer(
                instance.instance_id,
                instance.zone,
                self._mesh.link_to(instance.peer_address) or _UnconnectedLink(),
            )
            for instance in self._instances.instances()
        )
