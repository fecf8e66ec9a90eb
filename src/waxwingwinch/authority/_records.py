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
    Asks for a duty; its offset is the epoch if it is valid.

    :param duty: Name of the duty.
    :param holder: The claiming instance.
    :param holder_address: Where its control process serves peers.
    :param token: Unique name of the claiming process; a restart of the same
        instance has another.
    :param supersedes: Version of the duty that the claim was decided on.
    """

    duty: str
    holder: InstanceId
    holder_address: Address
    token: str
    supersedes: int


@frozen
class DutyVersion:
    """
    A held duty at one version.

    :param duty: Name of the duty.
    :param epoch: Fencing token of the term.
    :param supersedes: Version of the duty that the record was decided on.
    """

    duty: str
    epoch: Epoch
    supersedes: int


@message("duty_renewal")
@frozen
class DutyRenewal:
    """
    Extends leases, each item on its own.

    :param items: The renewed duties.
    """

    items: tuple[DutyVersion, ...]


@message("duty_release")
@frozen
class DutyRelease:
    """
    Gives duties up, each item on its own.

    :param items: The released duties.
    """

    items: tuple[DutyVersion, ...]


@frozen
class DutyState:
    """
    What the log says about a duty.

    :param duty: Name of the duty.
    :param version: Offset of its last valid record.
    :param epoch: Offset of its last valid claim.
    :param holder: The instance that claimed it.
    :param holder_address: Where the holder's control process serves peers.
    :param token: Unique name of the holding process.
    :param released: True once the holder gave it up.
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
    All duties as of an offset, for readers that start after older records
    have expired.

    It states a fact about a prefix of the log and decides nothing, so a
    late one is merely old.

    :param up_to_offset: The last offset whose record is taken in.
    :param baseline: Version of the duties not listed.
    :param states: The duties.
    """

    up_to_offset: int
    baseline: int
    states: tuple[DutyState, ...]


@message("duty_reset")
@frozen
class DutyReset:
    """
    Voids all duties; its offset becomes the version of each.

    Written by a reader to whom the log shows no usable snapshot, when every
    older process must be gone or cut off. Challengers wait a whole lease
    after reading it, so it is safe even if an old holder is alive.

    :param token: Unique name of the writing process.
    """

    token: str
