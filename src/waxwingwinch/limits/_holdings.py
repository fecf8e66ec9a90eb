"""An entry's floor and extra tokens of one customer."""

import math
from collections import deque

from attrs import define, frozen

from waxwingwinch._types import CustomerId, Epoch
from waxwingwinch.limits._account import NO_EPOCH
from waxwingwinch.limits._arrival_rate import ArrivalRate
from waxwingwinch.limits._bucket import TokenBucket
from waxwingwinch.limits._customer_limits import CustomerLimit, safe_rate_per_second
from waxwingwinch.limits._messages import (
    CustomerTokens,
    Floor,
    FloorWanted,
    GrantedTokens,
    ReturnedTokens,
)

#: Higher than the log offset of any record.
MAX_OFFSET = 2**62
#: Period of expected demand for which tokens are requested in advance.
REQUEST_HORIZON_SECONDS = 0.5
#: Smallest number of idle tokens that is worth a message.
MIN_RETURNED_TOKENS = 0.25
#: Request rate below which no tokens are requested in advance.
MIN_ARRIVALS_PER_SECOND = 0.1


@define
class _Extra:
    """
    Short-term tokens of one grant.

    :param tokens: Number of unused tokens.
    :param epoch: Epoch of the grantor.
    :param expires_seconds: Monotonic time from which the tokens are void.
    """

    tokens: int
    epoch: Epoch
    expires_seconds: float


@frozen
class _HeldFloor:
    """
    A floor in use.

    :param floor: The floor.
    :param bucket: Token bucket of the floor.
    :param expires_seconds: Monotonic time from which the floor is void.
    """

    floor: Floor
    bucket: TokenBucket
    expires_seconds: float


class Holdings:
    """
    Floor and extra tokens of one customer at one entry.

    Not thread-safe.

    :param customer_id: The customer.
    """

    def __init__(self, customer_id: CustomerId) -> None:
        #: The customer.
        self.customer_id = customer_id
        self._extras: deque[_Extra] = deque()
        self._epoch = NO_EPOCH
        self._received_sequence = 0
        self._held_floor: _HeldFloor | None = None
        self._applied_offset = -1
        self._released_offset = -1
        self._returned_tokens = 0.0
        self._confirmed_returned_tokens = 0.0
        #: Estimated request rate of the customer at this entry.
        self.arrival_rate = ArrivalRate()

    def try_consume(self, limit: CustomerLimit, now_seconds: float) -> bool:
        """
        Consume one token if there is one.

        Short-term tokens are used first, in the order of their grants, as
        they expire earlier than the floor.

        :param limit: The customer's limits in force at this entry.
        :param now_seconds: Monotonic time.
        :returns: False if no token is available.
        """
        self._expire(now_seconds)
        if self._extras:
            self._extras[0].tokens -= 1
            if not self._extras[0].tokens:
                self._extras.popleft()
            return True
        bucket = self._floor_bucket(limit, now_seconds)
        if bucket is None or bucket.level_tokens < 1:
            return False
        self._replace_bucket(bucket.debited(1))
        return True

    def floor_wait_seconds(
        self, limit: CustomerLimit, now_seconds: float
    ) -> float | None:
        """Return the time until the floor has a token; None for never."""
        bucket = self._floor_bucket(limit, now_seconds)
        return None if bucket is None else bucket.seconds_until(1.0)

    def prepare_request(
        self, limit: CustomerLimit, waiting: int, now_seconds: float
    ) -> CustomerTokens | None:
        """
        Return the report to send to the grantor in the next request.

        It requests tokens and reports held and returned tokens. Idle tokens
        are removed from the floor's bucket and returned with this report.

        :param limit: The customer's limits in force at this entry.
        :param waiting: Number of callers that wait for a token now.
        :param now_seconds: Monotonic time.
        :returns: None if there is nothing to request or report.
        """
        self._expire(now_seconds)
        arrivals_per_second = self.arrival_rate.per_second(now_seconds)
        held_tokens = sum(
            extra.tokens for extra in self._extras if extra.epoch == self._epoch
        )
        if arrivals_per_second < MIN_ARRIVALS_PER_SECOND:
            arrivals_per_second = 0.0
        bucket = self._return_idle_tokens(limit, arrivals_per_second, now_seconds)
        are_returns_confirmed = self._returned_tokens == self._confirmed_returned_tokens
        if are_returns_confirmed and not (
            waiting or held_tokens or arrivals_per_second
        ):
            return None
        needed_tokens = arrivals_per_second * REQUEST_HORIZON_SECONDS - held_tokens
        if bucket is not None:
            needed_tokens -= bucket.level_tokens
            needed_tokens -= bucket.rate_per_second * REQUEST_HORIZON_SECONDS
        return CustomerTokens(
            self.customer_id,
            waiting + max(0, math.ceil(needed_tokens)),
            held_tokens,
            self._received_sequence,
            arrivals_per_second,
            ReturnedTokens(self._floor_offset(), self._returned_tokens),
        )

    def add_extra(
        self, granted: GrantedTokens, epoch: Epoch, expires_seconds: float
    ) -> None:
        """
        Add granted tokens, unless the grant is out of order or a duplicate.

        Also applies the confirmation of returned tokens, even from such a
        grant, and takes over a later epoch. Grants of earlier epochs are
        ignored.

        :param granted: The grant.
        :param epoch: Epoch of the grantor.
        :param expires_seconds: Monotonic time from which the tokens are void.
        """
        if epoch < self._epoch:
            return
        if epoch > self._epoch:
            self._epoch = epoch
            self._received_sequence = 0
            self._reset_returned()
        if granted.returned.floor_offset == self._floor_offset():
            confirmed_tokens = max(
                self._confirmed_returned_tokens, granted.returned.tokens
            )
            # Capped at the returned tokens, as a larger confirmation would
            # enlarge the floor.
            self._confirmed_returned_tokens = min(
                confirmed_tokens, self._returned_tokens
            )
        if granted.sequence <= self._received_sequence:
            return
        self._received_sequence = granted.sequence
        if granted.tokens:
            self._extras.append(_Extra(granted.tokens, epoch, expires_seconds))

    @property
    def epoch(self) -> Epoch:
        """Grantor epoch of the received sequences and the held tokens."""
        return self._epoch

    def apply_floor(
        self,
        floor: Floor,
        limit: CustomerLimit,
        requested_seconds: float,
        now_seconds: float,
    ) -> None:
        """
        Use a floor from now on; a renewal keeps the tokens of the bucket.

        Floors older than the present one and released floors are ignored.

        :param floor: The floor.
        :param limit: The customer's limits in force at this entry.
        :param requested_seconds: Monotonic time before the request for the
            floor was sent.
        :param now_seconds: Monotonic time.
        """
        oldest_offset = max(self._applied_offset, self._released_offset + 1)
        if floor.offset < oldest_offset:
            return
        expires_seconds = requested_seconds + floor.term_seconds
        previous = self._held_floor
        bucket = self._floor_bucket(limit, now_seconds)
        if bucket is None or previous is None:
            bucket = TokenBucket(0.0, 0.0, 0.0, now_seconds)
        elif previous.floor.offset == floor.offset:
            expires_seconds = max(expires_seconds, previous.expires_seconds)
        if floor.offset != self._floor_offset():
            self._reset_returned()
        self._applied_offset = floor.offset
        self._held_floor = _HeldFloor(floor, bucket, expires_seconds)
        self._replace_bucket(self._resized(bucket, floor, limit))

    def release_floor(self, is_final: bool = False) -> None:
        """
        Stop using the present floor and all older ones.

        :param is_final: True to refuse all later floors as well.
        """
        self._held_floor = None
        self._reset_returned()
        self._released_offset = MAX_OFFSET if is_final else self._applied_offset

    def floor_wanted(self) -> FloorWanted:
        """Return the report about this customer's floor for the grantor."""
        return FloorWanted(
            self.customer_id, self._applied_offset, self._released_offset
        )

    def _floor_offset(self) -> int:
        return -1 if self._held_floor is None else self._held_floor.floor.offset

    def _reset_returned(self) -> None:
        """Reset the counts; tokens that the grantor doesn't know are lost."""
        self._returned_tokens = 0.0
        self._confirmed_returned_tokens = 0.0

    def _return_idle_tokens(
        self, limit: CustomerLimit, arrivals_per_second: float, now_seconds: float
    ) -> TokenBucket | None:
        """
        Remove tokens from the floor's bucket that would overflow soon.

        No more tokens are removed until the grantor confirms the last return:
        each unconfirmed return lowers the bucket's cap, so without a grantor
        the floor would shrink to nothing.
        """
        bucket = self._floor_bucket(limit, now_seconds)
        if bucket is None or self._returned_tokens != self._confirmed_returned_tokens:
            return bucket
        unneeded_per_second = bucket.rate_per_second - arrivals_per_second
        headroom_tokens = max(0.0, unneeded_per_second) * REQUEST_HORIZON_SECONDS
        idle_tokens = bucket.level_tokens - (bucket.cap_tokens - headroom_tokens)
        if idle_tokens < MIN_RETURNED_TOKENS:
            return bucket
        idle_tokens = min(idle_tokens, bucket.level_tokens)
        self._returned_tokens += idle_tokens
        self._replace_bucket(bucket.debited(idle_tokens))
        return self._floor_bucket(limit, now_seconds)

    def _expire(self, now_seconds: float) -> None:
        while self._extras and self._extras[0].expires_seconds <= now_seconds:
            self._extras.popleft()

    def _floor_bucket(
        self, limit: CustomerLimit, now_seconds: float
    ) -> TokenBucket | None:
        """Return the floor's bucket, refilled; None if there is no floor."""
        held_floor = self._held_floor
        if held_floor is None:
            return None
        if held_floor.expires_seconds <= now_seconds:
            self._held_floor = None
            self._reset_returned()
            return None
        bucket = self._resized(
            held_floor.bucket.refilled(now_seconds), held_floor.floor, limit
        )
        self._replace_bucket(bucket)
        return bucket

    def _resized(
        self, bucket: TokenBucket, floor: Floor, limit: CustomerLimit
    ) -> TokenBucket:
        """
        Set a bucket's rate and cap from its floor and the limits in force.

        A floor never exceeds its part of the configured rate and burst, so
        lowered limits take effect here before the grantor has renewed the
        floor. Returned tokens lower the cap until the grantor confirms them.
        """
        rate_ratio = _ratio(limit.rate_per_second, floor.customer_rate_per_second)
        burst_ratio = _ratio(limit.burst_requests, floor.customer_burst_requests)
        unconfirmed_tokens = self._returned_tokens - self._confirmed_returned_tokens
        return bucket.resized(
            safe_rate_per_second(floor.rate_per_second * rate_ratio),
            max(0.0, floor.burst_tokens * burst_ratio - unconfirmed_tokens),
        )

    def _replace_bucket(self, bucket: TokenBucket) -> None:
        held_floor = self._held_floor
        if held_floor is not None:
            self._held_floor = _HeldFloor(
                held_floor.floor, bucket, held_floor.expires_seconds
            )


def _ratio(current: float, original: float) -> float:
    return min(1.0, current / original) if original > 0 else 0.0
