"""What the duty ``usage-<cell>`` needs from the control process."""

from typing import Any

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch.membership import InstanceDirectory, PeerMesh
from waxwingwinch.usage import UsagePeer


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
