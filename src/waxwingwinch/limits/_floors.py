"""The floors that may be in use, derived from their records in the log."""

import math

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.limits._customer_limits import EXPIRY_MARGIN_FACTOR
from waxwingwinch.limits._messages import (
    FloorGranted,
    FloorReleased,
    GrantorBegan,
)
from waxwingwinch.streams import AppliedRecord


@frozen
class RecordedFloor:
    """
    A floor that may be in use.

    :param granted: Record of the floor.
    :param offset: Log offset of the record.
    :param expires_seconds: Monotonic time in this process from which the
        holder no longer uses the floor.
    """

    granted: FloorGranted
    offset: int
    expires_seconds: float


@frozen
class FloorShare:
    """
    Rate and burst of a floor, or a bound or sum over several floors.

    :param rate_per_second: Refill rate in tokens per second.
    :param burst_tokens: Capacity of the token buckets.
    """

    rate_per_second: float = 0.0
    burst_tokens: float = 0.0

    def componentwise_max(self, other: "FloorShare") -> "FloorShare":
        """Return the larger rate and the larger burst of both."""
        return FloorShare(
            max(self.rate_per_second, other.rate_per_second),
            max(self.burst_tokens, other.burst_tokens),
        )

    def plus(self, other: "FloorShare") -> "FloorShare":
        """Return the sums of the rates and of the bursts."""
        return FloorShare(
            self.rate_per_second + other.rate_per_second,
            self.burst_tokens + other.burst_tokens,
        )


class FloorTable:
    """
    Floors by customer and holder.

    A floor's term counts from the time at which its record was read in this
    process. The holder counts the same term from its request, which is
    earlier, so the floor expires at the holder first.
    """

    def __init__(self) -> None:
        #: Highest epoch of which a begin record or a floor was applied.
        self.epoch = Epoch(-1)
        #: Monotonic time at which the last extra tokens of earlier epochs
        #: have expired.
        self.extras_expire_seconds = -math.inf
        self._extra_term_seconds = 0.0
        self._floors: dict[CustomerId, dict[ProcessId, list[RecordedFloor]]] = {}

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record.

        :param applied: A record of the stream ``limits-<cell>``.
        """
        match applied.body:
            case GrantorBegan() as begin_record if begin_record.epoch > self.epoch:
                self.epoch = begin_record.epoch
                expires_seconds = (
                    applied.now_seconds
                    + self._extra_term_seconds * EXPIRY_MARGIN_FACTOR
                )
                self.extras_expire_seconds = max(
                    self.extras_expire_seconds, expires_seconds
                )
                self._extra_term_seconds = begin_record.extra_term_seconds
            case FloorGranted() as granted if granted.epoch >= self.epoch:
                # The begin record of this epoch may have expired from the
                # log.
                self.epoch = granted.epoch
                self._add(granted, applied)
            case FloorReleased() as released:
                self.release(released.customer_id, released.holder, released.offset)

    def release(self, customer_id: CustomerId, holder: ProcessId, offset: int) -> None:
        """
        Remove the floors of a holder up to an offset.

        :param customer_id: The customer.
        :param holder: Entry process that used the floors.
        :param offset: Highest offset that the holder no longer uses.
        """
        by_holder = self._floors.get(customer_id, {})
        remaining = [
            floor for floor in by_holder.get(holder, ()) if floor.offset > offset
        ]
        by_holder[holder] = remaining
        if not remaining:
            del by_holder[holder]

    def remove_expired(self, customer_id: CustomerId, now_seconds: float) -> None:
        """
        Remove the expired floors of a customer.

        :param customer_id: The customer.
        :param now_seconds: Monotonic time.
        """
        by_holder = self._floors.get(customer_id, {})
        for holder, floors in list(by_holder.items()):
            remaining = [
                floor for floor in floors if floor.expires_seconds > now_seconds
            ]
            by_holder[holder] = remaining
            if not remaining:
                del by_holder[holder]

    def next_expiry_seconds(self, customer_id: CustomerId) -> float | None:
        """
        Return the monotonic time at which a customer's next floor expires.

        :param customer_id: The customer.
        :returns: None if the customer has no floors.
        """
        expiries = [
            floor.expires_seconds
            for floors in self._floors.get(customer_id, {}).values()
            for floor in floors
        ]
        return min(expiries, default=None)

    def newest(
        self, customer_id: CustomerId, holder: ProcessId
    ) -> RecordedFloor | None:
        """Return the holder's most recently recorded floor, if any."""
        floors = self._floors.get(customer_id, {}).get(holder)
        return floors[-1] if floors else None

    def shares(self, customer_id: CustomerId) -> dict[ProcessId, FloorShare]:
        """Return the largest share that each holder may be using."""
        shares = {}
        for holder, floors in self._floors.get(customer_id, {}).items():
            share = FloorShare()
            for floor in floors:
                granted = floor.granted
                floor_share = FloorShare(granted.rate_per_second, granted.burst_tokens)
                share = share.componentwise_max(floor_share)
            shares[holder] = share
        return shares

    def _add(self, granted: FloorGranted, applied: AppliedRecord) -> None:
        self.remove_expired(granted.customer_id, applied.now_seconds)
        expires_seconds = (
            applied.now_seconds + granted.term_seconds * EXPIRY_MARGIN_FACTOR
        )
        by_holder = self._floors.setdefault(granted.customer_id, {})
        floors = by_holder.setdefault(granted.holder, [])
        floors.append(RecordedFloor(granted, applied.offset, expires_seconds))
        # A renewal that isn't smaller replaces the floor that it renews.
        while len(floors) > 1 and _covers(floors[-1], floors[-2]):
            del floors[-2]


def _covers(newer: RecordedFloor, older: RecordedFloor) -> bool:
    """Return whether the newer floor bounds the older in size and term."""
    share = newer.granted
    return (
        newer.expires_seconds >= older.expires_seconds
        and share.rate_per_second >= older.granted.rate_per_second
        and share.burst_tokens >= older.granted.burst_tokens
    )
