"""How large a holder's floor is, and when it is recorded anew."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits._account import Account
from waxwingwinch.limits._customer_limits import CustomerLimit
from waxwingwinch.limits._floors import FloorShare, RecordedFloor
from waxwingwinch.limits._messages import FloorGranted

#: Part of a floor's term after which it is renewed.
RENEW_AFTER_RATIO = 0.25
#: A floor with a smaller burst could never admit a request.
MIN_FLOOR_BURST_TOKENS = 1.0


@frozen
class KeepFloor:
    """
    The recorded floor stays as it is.

    :param floor: The floor.
    :param term_seconds: How long it lasts from now at least.
    """

    floor: RecordedFloor
    term_seconds: float


@frozen
class RecordFloor:
    """
    A floor is to be recorded and may be used afterwards.

    :param granted: The record.
    """

    granted: FloorGranted


@frozen
class RefuseFloor:
    """The holder gets no floor; one that it has is to be given up."""


@frozen
class PostponeFloor:
    """Outstanding tokens leave no room yet; the holder is to ask again."""


FloorDecision = KeepFloor | RecordFloor | RefuseFloor | PostponeFloor


def floor_share(
    account: Account, holder: ProcessId, homes: Sequence[InstanceId]
) -> FloorShare | None:
    """
    Return a holder's share, as far as others leave it free.

    :param account: The customer's account.
    :param holder: Who wants a floor.
    :param homes: The customer's home instances, the most preferred first.
    :returns: None if there is no share worth having.
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
    :param holder: Who may use it.
    :param share: Its share.
    :param limit: The limits that it is cut from.
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
    Tell whether a recorded floor needs no renewal.

    :param old: The recorded floor.
    :param new: What would be recorded now.
    :param left_seconds: What is left of the term.
    """
    if remaining_seconds < new.term_seconds * (1 - RENEW_AFTER_RATIO):
        return False
    return (
        old.rate_per_second == new.rate_per_second
        and old.burst_tokens == new.burst_tokens
        and old.customer_rate_per_second == new.customer_rate_per_second
        and old.customer_burst_requests == new.customer_burst_requests
    )
