"""Heartbeats between the processes of a cell."""

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.contracts import DemandSample, InFlightCount


@message("heartbeat")
@frozen
class Heartbeat:
    """
    State of an entry.

    :param instance_id: The instance.
    :param zone: Its availability zone.
    :param entry_address: Where it serves callers.
    :param sequence: Grows with each heartbeat of the process.
    :param configuration_version: Version in force there.
    :param withdrawals_digest: Digest of the withdrawn key names known there.
    :param fleet_offset: Offset up to which it has seen fleet directives.
    :param draining: True once its planned stop has begun.
    :param in_flight: Its work by upstream.
    :param demand: What came to it since its last heartbeat.
    :param leaving: Upstreams that it knows to be leaving or draining.
    :param incarnation: Unique name of the process start.
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
    Answer to a heartbeat.

    A reply proves that its sender was alive after the heartbeat was sent,
    which a heartbeat alone, delayed on its way, does not.

    :param configuration_version: Version in force at the replying entry.
    :param withdrawals_digest: Digest of the withdrawn key names known there.
    """

    configuration_version: int
    withdrawals_digest: bytes
