"""Policy for the size of a holder's floor and for its renewal."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits._account import Account
from waxwingwinch.limits._customer_limits import CustomerLimit
from waxwingwinch.limits._floors import FloorShare, RecordedFloor
from waxwingwinch.limits._messages import FloorGranted

#: Fraction of a floor's term after which the floor is renewed.
RENEW_AFTER_RATIO = 0.25
#: Smallest burst of a floor; with less, its bucket never holds a whole token
#: and it could never admit a request.
MIN_FLOOR_BURST_TOKENS = 1.0


@frozen
class KeepFloor:
    """
    Decision that the recorded floor stays in use unchanged.

    :param floor: The floor.
    :param remaining_seconds: Remaining term from now, as a lower bound.
    """

    floor: RecordedFloor
    remaining_seconds: float


@frozen
class RecordFloor:
    """
    Decision to record a floor, which the holder may use afterwards.

    :param granted: The record to append.
    """

    granted: FloorGranted


@frozen
class RefuseFloor:
    """Decision that the holder gets no floor and releases any it has."""


@frozen
class PostponeFloor:
    """
    Decision that the holder must request the floor again.

    Outstanding tokens don't leave enough capacity for the floor yet.
    """


FloorDecision = KeepFloor | RecordFloor | RefuseFloor | PostponeFloor


def floor_share(
    account: Account, holder: ProcessId, homes: Sequence[InstanceId]
) -> FloorShare | None:
    """
    Return the share of rate and burst for a holder's floor.

    The share is an equal part of what the customer's limits provide for
    floors, but at most what the floors of other holders leave free.

    :param account: The customer's account.
    :param holder: Entry process that requests a floor.
    :param homes: The customer's home instances, the most preferred first.
    :returns: None if the holder's instance gets no floor, or if the free
        share is too small to admit a request.
    """
    limit = account.limit
    rate_per_second = limit.rate_per_second * limit.floor_fraction
    burst_tokens = limit.burst_requests * limit.floor_fraction
    max_holders = min(len(homes), int(burst_tokens / MIN_FLOOR_BURST_TOKENS))
    if holder.instance_id not in homes[:max_holders]:
        return None
    other_shares = FloorShare()
    for other, share in account.floor_shares().items():
        if other != holder:
            other_shares = other_shares.plus(share)
    rate_share_per_second = min(
        rate_per_second / max_holders, rate_per_second - other_shares.rate_per_second
    )
    burst_share_tokens = min(
        burst_tokens / max_holders, burst_tokens - other_shares.burst_tokens
    )
    if rate_share_per_second <= 0 or burst_share_tokens < MIN_FLOOR_BURST_TOKENS:
        return None
    return FloorShare(rate_share_per_second, burst_share_tokens)


def floor_record(
    customer_id: CustomerId,
    holder: ProcessId,
    share: FloorShare,
    limit: CustomerLimit,
    epoch: Epoch,
) -> FloorGranted:
    """
    Return the record of a floor.

    :param customer_id: The customer.
    :param holder: Entry process that may use the floor.
    :param share: Rate and burst of the floor.
    :param limit: The customer's limits of which the floor is a part.
    :param epoch: Fencing token of the grantor.
    """
    return FloorGranted(
        customer_id=customer_id,
        holder=holder,
        rate_per_second=share.rate_per_second,
        burst_tokens=share.burst_tokens,
        customer_rate_per_second=limit.rate_per_second,
        customer_burst_requests=limit.burst_requests,
        term_seconds=limit.floor_term_seconds,
        epoch=epoch,
    )


def is_current(old: FloorGranted, new: FloorGranted, remaining_seconds: float) -> bool:
    """
    Return whether a recorded floor needs no renewal.

    :param old: The recorded floor.
    :param new: The floor that would be recorded now.
    :param remaining_seconds: Remaining term of the recorded floor.
    """
    if remaining_seconds < new.term_seconds * (1 - RENEW_AFTER_RATIO):
        return False
    return (
        old.rate_per_second == new.rate_per_second
        and old.burst_tokens == new.burst_tokens
        and old.customer_rate_per_second == new.customer_rate_per_second
        and old.customer_burst_requests == new.customer_burst_requests
    )
