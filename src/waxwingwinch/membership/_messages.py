"""Messages of the heartbeat protocol between the processes of a cell."""

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.contracts import DemandSample, InFlightCount


@message("heartbeat")
@frozen
class Heartbeat:
    """
    Periodic report of an entry's state.

    :param instance_id: The instance.
    :param zone: Its availability zone.
    :param entry_address: Address at which it serves callers.
    :param sequence: Number that grows with each heartbeat of the process.
    :param configuration_version: Configuration version in force at the entry.
    :param withdrawals_digest: Digest of the withdrawn key ids that the entry
        has.
    :param fleet_offset: Offset up to which it has read fleet directives.
    :param draining: True once it has begun to drain.
    :param in_flight: Its work in progress by upstream.
    :param demand: Demand by model since its last heartbeat.
    :param leaving: Upstreams that it knows to be leaving or draining.
    :param incarnation: Unique id of this run of the process.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    sequence: int
    configuration_version: int
    withdrawals_digest: bytes
    fleet_offset: int
    draining: bool
    in_flight: tuple[InFlightCount, ...]
    demand: tuple[DemandSample, ...]
    leaving: tuple[UpstreamId, ...] = ()
    incarnation: str = ""


@message("heartbeat_reply")
@frozen
class HeartbeatReply:
    """
    Reply to a heartbeat.

    A reply proves that the replying entry was alive after the heartbeat was
    sent. A received heartbeat proves no such time, as it may have been
    delayed in transit.

    :param configuration_version: Configuration version in force at the
        replying entry.
    :param withdrawals_digest: Digest of the withdrawn key ids that the
        replying entry has.
    """

    configuration_version: int
    withdrawals_digest: bytes
