"""The grantor's account of one customer."""

import math

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, ProcessId
from waxwingwinch.limits._bucket import TokenBucket
from waxwingwinch.limits._customer_limits import (
    EXPIRY_MARGIN_FACTOR,
    CustomerLimit,
    safe_rate_per_second,
)
from waxwingwinch.limits._floors import FloorShare, FloorTable
from waxwingwinch.limits._messages import (
    CustomerTokens,
    GrantedTokens,
    ReturnedTokens,
)
from waxwingwinch.limits._outstanding_grants import Demand, Grant, OutstandingGrants

#: Stands for no epoch; lower than any epoch.
NO_EPOCH = Epoch(-1)
#: How long capacity stays reserved for a postponed floor, in which time its
#: holder is to request it again.
RESERVATION_SECONDS = 5.0
#: Retry-After time of a refused request if no better estimate is known.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


@frozen
class Reservation:
    """
    Capacity reserved for a floor that isn't granted yet.

    :param share: Rate and burst of the floor.
    :param until_seconds: Monotonic time at which the reservation ends.
    """

    share: FloorShare
    until_seconds: float


class Account:
    """
    Token bucket, outstanding tokens and floors of one customer.

    At any time the sum of the bucket's level, the outstanding tokens and the
    bursts of the floors stays within the customer's burst, and the sum of the
    bucket's rate and the rates of the floors within the customer's rate.
    ``advance`` handles the expiries one by one in order of time, since each
    changes the rate and the cap: a single refill with the last cap would add
    tokens that an earlier, smaller cap had cut off.

    :param customer_id: The customer.
    :param limit: The customer's limits.
    :param floors: Floors of all customers.
    :param blocked_until_seconds: Monotonic time until which tokens of an
        earlier grantor may be in use; nothing is granted before it.
    :param now_seconds: Monotonic time.
    """

    def __init__(
        self,
        customer_id: CustomerId,
        limit: CustomerLimit,
        floors: FloorTable,
        blocked_until_seconds: float,
        now_seconds: float,
    ) -> None:
        #: The customer's limits.
        self.limit = limit
        #: Floors whose records are submitted but not yet read back.
        self.pending: dict[ProcessId, FloorShare] = {}
        self._customer_id = customer_id
        self._floors = floors
        self._blocked_until_seconds = blocked_until_seconds
        self._reserved: dict[ProcessId, Reservation] = {}
        self._outstanding_grants = OutstandingGrants()
        self._returned: dict[ProcessId, ReturnedTokens] = {}
        self._bucket = TokenBucket(0.0, 0.0, 0.0, now_seconds)
        self.resize()

    def advance(self, now_seconds: float) -> None:
        """
        Refill the bucket up to now, applying each expiry in order.

        :param now_seconds: Monotonic time.
        """
        while (expiry_seconds := self._next_expiry_seconds()) <= now_seconds:
            self._bucket = self._bucket.refilled(expiry_seconds)
            self._outstanding_grants.remove_expired(expiry_seconds)
            self._floors.remove_expired(self._customer_id, expiry_seconds)
            self._reserved = {
                holder: reservation
                for holder, reservation in self._reserved.items()
                if reservation.until_seconds > expiry_seconds
            }
            if expiry_seconds >= self._blocked_until_seconds:
                self._blocked_until_seconds = -math.inf
            self.resize()
        self._bucket = self._bucket.refilled(now_seconds)

    def reserve(self, holder: ProcessId, share: FloorShare, now_seconds: float) -> bool:
        """
        Reserve capacity for a floor.

        A floor larger than the one its holder has may be used only once the
        outstanding tokens leave enough capacity for it. Until then the
        reservation keeps that capacity from being granted as tokens.

        :param holder: Entry process that is to get the floor.
        :param share: Rate and burst of the floor.
        :param now_seconds: Monotonic time.
        :returns: True if there is enough capacity now.
        """
        current_share = self._floors.shares(self._customer_id).get(holder, FloorShare())
        if current_share.componentwise_max(share) == current_share:
            return True
        until_seconds = now_seconds + RESERVATION_SECONDS
        self._reserved[holder] = Reservation(share, until_seconds)
        self.resize()
        return self._blocked_until_seconds == -math.inf and self._free_tokens() >= 0

    def add_pending(self, holder: ProcessId, share: FloorShare) -> None:
        """
        Count a floor whose record is being submitted to the log.

        :param holder: Entry process that is to get the floor.
        :param share: Rate and burst of the floor.
        """
        self._reserved.pop(holder, None)
        self.pending[holder] = share
        self.resize()

    def resize(self) -> None:
        """
        Set the bucket's rate and cap to the unused rate and burst.

        These are the customer's rate and burst less the floors, pending
        floors and reservations; outstanding tokens lower the cap as well.
        The cap is 0 while nothing may be granted.
        """
        shares = self.floor_shares()
        rate = self.limit.rate_per_second - sum(
            share.rate_per_second for share in shares.values()
        )
        cap = self._free_tokens()
        if self._blocked_until_seconds > -math.inf:
            cap = 0.0
        self._bucket = self._bucket.resized(
            safe_rate_per_second(max(0.0, rate)), max(0.0, cap)
        )

    def floor_shares(self) -> dict[ProcessId, FloorShare]:
        """
        Return the largest share that each holder may use.

        Includes floors whose records are pending, and reservations.
        """
        shares = self._floors.shares(self._customer_id)
        for holder, pending in self.pending.items():
            shares[holder] = shares.get(holder, FloorShare()).componentwise_max(pending)
        for holder, reservation in self._reserved.items():
            share = shares.get(holder, FloorShare())
            shares[holder] = share.componentwise_max(reservation.share)
        return shares

    def _free_tokens(self) -> float:
        """Return the part of the burst that isn't granted; may be negative."""
        free_tokens = self.limit.burst_requests - self._outstanding_grants.tokens()
        for share in self.floor_shares().values():
            free_tokens -= share.burst_tokens
        return free_tokens

    def reconcile(self, holder: ProcessId, report: CustomerTokens) -> None:
        """Update the account from a holder's report about its tokens."""
        self._outstanding_grants.reconcile(
            holder, report.received_sequence, report.held_tokens
        )
        self.resize()
        self._credit_returned(holder, report.returned)

    def grant(
        self,
        holder: ProcessId,
        report: CustomerTokens,
        sequence: int,
        term_seconds: float,
        now_seconds: float,
    ) -> GrantedTokens:
        """
        Grant tokens from the bucket.

        If tokens are scarce, a holder gets at most the fraction of the bucket
        that corresponds to its part of the total demand, but one token at
        least if the bucket has one.

        :param holder: Entry process that requests the tokens.
        :param report: The holder's report, with the tokens it requests.
        :param sequence: Sequence of this grant.
        :param term_seconds: Validity of the tokens at the holder.
        :param now_seconds: Monotonic time.
        """
        demand = Demand(report.arrivals_per_second, now_seconds)
        self._outstanding_grants.record_demand(holder, demand)
        total_per_second = self._outstanding_grants.demand_per_second(now_seconds)
        tokens = self._fair_tokens(report, total_per_second)
        if tokens:
            expires_seconds = now_seconds + term_seconds * EXPIRY_MARGIN_FACTOR
            self._outstanding_grants.add_grant(
                holder, Grant(sequence, tokens, expires_seconds)
            )
            self._bucket = self._bucket.debited(tokens)
            self.resize()
        return GrantedTokens(
            self._customer_id,
            tokens,
            sequence,
            total_per_second > self.limit.rate_per_second,
            self._retry_after_seconds(now_seconds),
            self._returned.get(holder, ReturnedTokens()),
        )

    def _credit_returned(self, holder: ProcessId, returned: ReturnedTokens) -> None:
        """
        Credit the returned tokens of a holder that aren't credited yet.

        Until the holder receives the confirmation it keeps its floor's bucket
        smaller by these tokens, so they stay within the floor's burst. When
        the floor ends, returned tokens not yet credited become void.
        """
        newest = self._floors.newest(self._customer_id, holder)
        if newest is None or newest.offset != returned.floor_offset:
            return
        last_credited = self._returned.get(holder, ReturnedTokens())
        if last_credited.floor_offset != returned.floor_offset:
            last_credited = ReturnedTokens(returned.floor_offset)
        if returned.tokens > last_credited.tokens:
            self._bucket = self._bucket.credited(returned.tokens - last_credited.tokens)
            last_credited = returned
        self._returned[holder] = last_credited

    def _fair_tokens(self, report: CustomerTokens, total_per_second: float) -> int:
        level_tokens = self._bucket.level_tokens
        demand_fraction = 1.0
        if total_per_second > 0:
            demand_fraction = report.arrivals_per_second / total_per_second
        fair_tokens = max(1, math.ceil(level_tokens * demand_fraction))
        return max(0, min(report.wanted_tokens, int(level_tokens), fair_tokens))

    def _retry_after_seconds(self, now_seconds: float) -> float:
        if self._blocked_until_seconds > now_seconds:
            return self._blocked_until_seconds - now_seconds
        wait_seconds = self._bucket.seconds_until(1.0)
        return DEFAULT_RETRY_AFTER_SECONDS if wait_seconds is None else wait_seconds

    def _next_expiry_seconds(self) -> float:
        expiries = [
            self._outstanding_grants.next_expiry_seconds(),
            self._floors.next_expiry_seconds(self._customer_id),
        ]
        if self._blocked_until_seconds > -math.inf:
            expiries.append(self._blocked_until_seconds)
        expiries += [
            reservation.until_seconds for reservation in self._reserved.values()
        ]
        return min(
            (expiry for expiry in expiries if expiry is not None), default=math.inf
        )
