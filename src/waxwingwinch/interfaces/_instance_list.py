"""The platform's lagging list of the system's own instances."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, ZoneName


class InstanceState(enum.Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedInstance:
    """
    One row of the list.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param entry_address: Where its entry process serves callers.
    :param peer_address: Where its entry process serves peers.
    :param control_address: Where its control process serves peers.
    :param state: Live or leaving.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    peer_address: Address
    control_address: Address
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """Reads the list, which may lag behind by seconds."""

    def list_instances(self) -> tuple[ListedInstance, ...]:
        """
        Return the present list.

        :raises PlatformUnavailable: If no answer came.
        """
