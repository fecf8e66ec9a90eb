"""The floors that are outstanding, folded from their records."""

import math

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.limits._messages import (
    FloorGranted,
    FloorReleased,
    GrantorBegan,
)
from waxwingwinch.limits._terms import LAPSE_FACTOR
from waxwingwinch.streams import AppliedRecord


@frozen
class RecordedFloor:
    """
    A floor that may be in use.

    :param granted: Its record.
    :param offset: Offset of the record.
    :param lapse_seconds: Monotonic time here from which it isn't in use.
    """

    granted: FloorGranted
    offset: int
    lapse_seconds: float


@frozen
class FloorShare:
    """
    Rate and burst of floors.

    :param rate_per_second: Tokens a second.
    :param burst_tokens: Cap of the buckets.
    """

    rate_per_second: float = 0.0
    burst_tokens: float = 0.0

    def joined(self, other: "FloorShare") -> "FloorShare":
        """Return the larger of each."""
        return FloorShare(
            max(self.rate_per_second, other.rate_per_second),
            max(self.burst_tokens, other.burst_tokens),
        )

    def plus(self, other: "FloorShare") -> "FloorShare":
        """Return the sum of each."""
        return FloorShare(
            self.rate_per_second + other.rate_per_second,
            self.burst_tokens + other.burst_tokens,
        )


class FloorTable:
    """
    Floors by customer and holder.

    A lapse is counted from when the record was read here, which is later
    than the request from which the holder counts.
    """

    def __init__(self) -> None:
        #: Highest epoch that recorded its begin.
        self.epoch = Epoch(-1)
        #: When all short-term tokens of ended epochs have lapsed.
        self.extras_lapse_seconds = -math.inf
        self._extra_term_seconds = 0.0
        self._floors: dict[CustomerId, dict[ProcessId, list[RecordedFloor]]] = {}

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record.

        :param applied: A record of the stream ``limits-<cell>``.
        """
        match applied.body:
            case GrantorBegan() as began if began.epoch > self.epoch:
                self.epoch = began.epoch
                lapse_seconds = (
                    applied.now_seconds + self._extra_term_seconds * LAPSE_FACTOR
                )
                self.extras_lapse_seconds = max(
                    self.extras_lapse_seconds, lapse_seconds
                )
                self._extra_term_seconds = began.extra_term_seconds
            case FloorGranted() as granted if granted.epoch >= self.epoch:
                # The begin of its epoch may have left the log.
                self.epoch = granted.epoch
                self._add(granted, applied)
            case FloorReleased() as released:
                self.release(released.customer_id, released.holder, released.offset)

    def release(self, customer_id: CustomerId, holder: ProcessId, offset: int) -> None:
        """
        Forget the floors of a holder up to an offset.

        :param offset: The last one that is no longer used.
        """
        by_holder = self._floors.get(customer_id, {})
        kept = [floor for floor in by_holder.get(holder, ()) if floor.offset > offset]
        by_holder[holder] = kept
        if not kept:
            del by_holder[holder]

    def lapse(self, customer_id: CustomerId, now_seconds: float) -> None:
        """
        Forget the lapsed floors of a customer.

        :param now_seconds: Monotonic time.
        """
        by_holder = self._floors.get(customer_id, {})
        for holder, floors in list(by_holder.items()):
            kept = [floor for floor in floors if floor.lapse_seconds > now_seconds]
            by_holder[holder] = kept
            if not kept:
                del by_holder[holder]

    def next_lapse_seconds(self, customer_id: CustomerId) -> float | None:
        """Return when the next floor of a customer lapses."""
        lapses = [
            floor.lapse_seconds
            for floors in self._floors.get(customer_id, {}).values()
            for floor in floors
        ]
        return min(lapses, default=None)

    def newest(
        self, customer_id: CustomerId, holder: ProcessId
    ) -> RecordedFloor | None:
        """Return the latest floor of a holder."""
        floors = self._floors.get(customer_id, {}).get(holder)
        return floors[-1] if floors else None

    def shares(self, customer_id: CustomerId) -> dict[ProcessId, FloorShare]:
        """Return the most that each holder may be using."""
        shares = {}
        for holder, floors in self._floors.get(customer_id, {}).items():
            share = FloorShare()
            for floor in floors:
                granted = floor.granted
                own = FloorShare(granted.rate_per_second, granted.burst_tokens)
                share = share.joined(own)
            shares[holder] = share
        return shares

    def _add(self, granted: FloorGranted, applied: AppliedRecord) -> None:
        self.lapse(granted.customer_id, applied.now_seconds)
        lapse_seconds = applied.now_seconds + granted.term_seconds * LAPSE_FACTOR
        by_holder = self._floors.setdefault(granted.customer_id, {})
        floors = by_holder.setdefault(granted.holder, [])
        floors.append(RecordedFloor(granted, applied.offset, lapse_seconds))
        # A renewal of the same size replaces what it renews.
        while len(floors) > 1 and _covers(floors[-1], floors[-2]):
            del floors[-2]


def _covers(newer: RecordedFloor, older: RecordedFloor) -> bool:
    """Tell whether counting the newer floor alone is enough."""
    share = newer.granted
    return (
        newer.lapse_seconds >= older.lapse_seconds
        and share.rate_per_second >= older.granted.rate_per_second
        and share.burst_tokens >= older.granted.burst_tokens
    )
