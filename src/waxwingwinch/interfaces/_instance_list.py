"""Interface to the platform's list of the system's instances."""

import enum
from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, ZoneName


class InstanceState(enum.Enum):
    """State of an instance as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedInstance:
    """
    One row of the list.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param entry_address: Address at which its entry process serves callers.
    :param peer_address: Address at which its entry process serves peers.
    :param control_address: Address at which its control process serves peers.
    :param state: Live or leaving.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    peer_address: Address
    control_address: Address
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """Client of the instance list, which may lag behind by seconds."""

    def list_instances(self) -> tuple[ListedInstance, ...]:
        """
        Fetch the list.

        :raises PlatformUnavailable: If no valid response was received.
        """
