"""Records of the stream ``duties``."""

from attrs import frozen

from waxwingwinch._types import Address, Epoch, InstanceId
from waxwingwinch.codec import message

#: Name of the stream.
DUTIES_STREAM = "duties"
#: Version of a duty before its first record.
NO_VERSION = -1


@message("duty_claim")
@frozen
class DutyClaim:
    """
    Claims a duty; if the claim is valid, its offset is the epoch.

    :param duty: Name of the duty.
    :param holder: The claiming instance.
    :param holder_address: Peer address of its control process.
    :param token: Unique id of the claiming process, new at each start; not the
        fencing token.
    :param supersedes: Version of the duty that the claim is based on.
    """

    duty: str
    holder: InstanceId
    holder_address: Address
    token: str
    supersedes: int


@frozen
class DutyVersion:
    """
    Names a held duty and the version that a renewal or release is based on.

    :param duty: Name of the duty.
    :param epoch: Fencing token of the term.
    :param supersedes: Version of the duty that the record is based on.
    """

    duty: str
    epoch: Epoch
    supersedes: int


@message("duty_renewal")
@frozen
class DutyRenewal:
    """
    Extends leases; each item is valid or void independently.

    :param items: The renewed duties.
    """

    items: tuple[DutyVersion, ...]


@message("duty_release")
@frozen
class DutyRelease:
    """
    Releases duties; each item is valid or void independently.

    :param items: The released duties.
    """

    items: tuple[DutyVersion, ...]


@frozen
class DutyState:
    """
    The state of a duty according to the log.

    :param duty: Name of the duty.
    :param version: Offset of its last valid record.
    :param epoch: Offset of its last valid claim.
    :param holder: The instance that claimed it.
    :param holder_address: Peer address of the holder's control process.
    :param token: Unique id of the holding process, new at each start; not the
        fencing token.
    :param released: True once the holder released the duty.
    """

    duty: str
    version: int
    epoch: Epoch
    holder: InstanceId
    holder_address: Address
    token: str
    released: bool = False


@message("duty_snapshot")
@frozen
class DutySnapshot:
    """
    State of all duties at an offset, for readers that start after older
    records have expired.

    It restates a prefix of the log and changes no state, so a snapshot that
    is appended late is merely outdated.

    :param up_to_offset: Offset of the last record that is included.
    :param baseline: Version of the duties that aren't listed.
    :param states: States of the duties.
    """

    up_to_offset: int
    baseline: int
    states: tuple[DutyState, ...]


@message("duty_reset")
@frozen
class DutyReset:
    """
    Voids all duties; its offset becomes the version of each.

    Written by a reader that finds no usable snapshot in the log for so long
    that every older process must have ended or lost its connection to the
    log. Candidates wait for the length of a lease after reading it, so it is
    safe even if an old holder is alive.

    :param token: Unique id of the writing process, new at each start; not the
        fencing token.
    """

    token: str
