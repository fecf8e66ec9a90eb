"""Leases that a process holds, and the times to renew and to claim."""

import hashlib

from attrs import define

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch._types import Epoch
from waxwingwinch.authority._records import DutyVersion
from waxwingwinch.authority._table import DutyTable
from waxwingwinch.streams import RecordId

#: Number of renewals during the length of a lease.
RENEWALS_PER_LEASE = 3
#: Fraction of a lease by which the holder steps down before its end.
STEP_DOWN_FRACTION = 1 / 6
#: Fraction of a lease over which the claims of candidates are spread.
JITTER_FRACTION = 1 / 4
#: Fraction of a lease by which each held duty delays a further claim.
HELD_DELAY_FRACTION = 1 / 8


@define
class Lease:
    """
    The lease of a duty that this process holds.

    :param duty: Name of the duty.
    :param epoch: Fencing token of the term.
    :param end_seconds: Monotonic time at which the lease ends.
    :param orders_allowed_seconds: Monotonic time before which no order is
        sent.
    :param closed: True once no further step may start.
    :param running_steps: Number of steps in progress.
    """

    duty: str
    epoch: Epoch
    end_seconds: float
    orders_allowed_seconds: float
    closed: bool = False
    running_steps: int = 0


class LeaseTracker:
    """
    Tracks the leases of one process; the caller serializes all calls.

    :param token: Unique id of the process, new at each start; not the fencing
        token.
    :param lease_seconds: Length of a lease, the same in all processes.
    :param drift_ratio: Bound on the relative drift of two clocks.
    :param order_lifetime_seconds: Longest time for which TCP retransmits
        unacknowledged bytes of an order.
    :param table: State of all duties according to the log.
    """

    def __init__(
        self,
        token: str,
        lease_seconds: float,
        drift_ratio: float,
        order_lifetime_seconds: float,
        table: DutyTable,
    ) -> None:
        self.token = token
        self.lease_seconds = lease_seconds
        self._drift_ratio = drift_ratio
        self._order_lifetime_seconds = order_lifetime_seconds
        self._table = table
        self._leases: dict[str, Lease] = {}
        self._sent_seconds: dict[RecordId, float] = {}
        self._orders_allowed_seconds: dict[RecordId, float] = {}

    @property
    def step_down_margin_seconds(self) -> float:
        """Time before the end of a lease at which its holder steps down."""
        return self.lease_seconds * STEP_DOWN_FRACTION

    def leases(self) -> tuple[Lease, ...]:
        """Return all leases, including closed ones."""
        return tuple(self._leases.values())

    def record_sent(
        self,
        record_id: RecordId,
        now_seconds: float,
        orders_allowed_seconds: float = 0.0,
    ) -> None:
        """
        Record the time before a claim or renewal is appended.

        :param record_id: Identity of the record.
        :param now_seconds: Monotonic time before the append.
        :param orders_allowed_seconds: For a claim, the time from which orders
            may be sent.
        """
        oldest_seconds = now_seconds - 2 * self.lease_seconds
        for known, sent_seconds in list(self._sent_seconds.items()):
            if sent_seconds < oldest_seconds:
                self._sent_seconds.pop(known)
                self._orders_allowed_seconds.pop(known, None)
        self._sent_seconds[record_id] = now_seconds
        self._orders_allowed_seconds[record_id] = orders_allowed_seconds

    def record_change(self, duty: str, record_id: RecordId, now_seconds: float) -> None:
        """
        Update the lease of a duty after its state changed.

        A claim that is read back only when its lease is about to end starts
        no lease; :meth:`releasable` then lists the duty.

        :param duty: The duty whose state changed.
        :param record_id: The record that changed it.
        :param now_seconds: Monotonic time.
        """
        state = self._table.state(duty)
        lease = self._leases.get(duty)
        if state is None or state.token != self.token or state.released:
            if lease is not None:
                lease.closed = True
            return
        sent_seconds = self._sent_seconds.get(record_id)
        if sent_seconds is None:
            # The record was sent so long ago that its lease has ended.
            return
        end_seconds = sent_seconds + self.lease_seconds
        if lease is not None and lease.epoch == state.epoch:
            lease.end_seconds = max(lease.end_seconds, end_seconds)
            return
        is_claim = state.version == state.epoch and lease is None
        if is_claim and now_seconds < end_seconds - self.step_down_margin_seconds:
            orders_allowed_seconds = self._orders_allowed_seconds[record_id]
            self._leases[duty] = Lease(
                duty, state.epoch, end_seconds, orders_allowed_seconds
            )

    def epoch(self, duty: str, now_seconds: float) -> Epoch:
        """
        Return the fencing token under which orders may be sent now.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If the duty isn't held, its lease is about to
            end, or orders of the last holder may still arrive.
        """
        lease = self._leases.get(duty)
        if lease is None or lease.closed:
            raise AuthorityLost(f"duty {duty!r} is not held")
        if now_seconds >= lease.end_seconds - self.step_down_margin_seconds:
            raise AuthorityLost(f"the lease of duty {duty!r} is about to end")
        if now_seconds < lease.orders_allowed_seconds:
            raise AuthorityLost(
                f"orders of the last holder of {duty!r} may still arrive"
            )
        return lease.epoch

    def begin_step(self, duty: str, now_seconds: float) -> Lease:
        """
        Count a step as in progress and return the lease.

        :raises AuthorityLost: As :meth:`epoch`.
        """
        self.epoch(duty, now_seconds)
        lease = self._leases[duty]
        lease.running_steps += 1
        return lease

    def close_expiring(self, now_seconds: float) -> None:
        """Close the leases that are about to end without renewal."""
        for lease in self._leases.values():
            if now_seconds >= lease.end_seconds - self.step_down_margin_seconds:
                lease.closed = True

    def remove_closed(self) -> tuple[Lease, ...]:
        """Remove closed leases without a step in progress and return them."""
        removed = [v for v in self._leases.values() if v.closed and not v.running_steps]
        for lease in removed:
            del self._leases[lease.duty]
        return tuple(removed)

    def earliest_end_seconds(self) -> float | None:
        """Return the earliest end of a lease; None without leases."""
        ends = [lease.end_seconds for lease in self._leases.values()]
        return min(ends, default=None)

    def renewable(self) -> tuple[DutyVersion, ...]:
        """Return the open leases with the current versions of their duties."""
        return tuple(
            DutyVersion(lease.duty, lease.epoch, self._table.version(lease.duty))
            for lease in self._leases.values()
            if not lease.closed
        )

    def releasable(self, duties: tuple[str, ...]) -> tuple[DutyVersion, ...]:
        """
        Return the duties that the log assigns to this process without a lease.

        :param duties: The duties that the process claims.
        """
        items = []
        for duty in duties:
            state = self._table.state(duty)
            if state is None or state.token != self.token or state.released:
                continue
            if duty not in self._leases:
                items.append(DutyVersion(duty, state.epoch, state.version))
        return tuple(items)

    def claim_due_seconds(
        self, duty: str, first_caught_up_seconds: float
    ) -> float | None:
        """
        Return when this process may claim a duty.

        The result is None while the process holds the duty or the state of
        the duties is unknown.

        :param duty: Name of the duty.
        :param first_caught_up_seconds: When this process first read the log to
            its end.
        """
        state = self._table.state(duty)
        if duty in self._leases or not self._table.anchored:
            return None
        if state is not None and state.token == self.token and not state.released:
            return None
        jitter = _fraction(duty, self.token) * JITTER_FRACTION
        jitter += len(self._leases) * HELD_DELAY_FRACTION
        wait_seconds = self.lease_seconds * jitter
        if self._table.may_have_holder(duty):
            wait_seconds += self.lease_seconds * (1 + self._drift_ratio)
        read_seconds = self._table.read_seconds(duty)
        return max(read_seconds, first_caught_up_seconds) + wait_seconds

    def orders_allowed_seconds(self, duty: str, now_seconds: float) -> float:
        """
        Return the time from which orders may be sent under a claim made now.

        The lease of the last holder has ended, but bytes that it sent before
        may be retransmitted until their TCP user timeout. A holder that
        released the duty had no unacknowledged bytes.

        :param now_seconds: Monotonic time of the claim.
        """
        if not self._table.may_have_holder(duty):
            return now_seconds
        return now_seconds + self._order_lifetime_seconds


def _fraction(duty: str, token: str) -> float:
    """Return a hash in [0, 1) that differs between processes and duties."""
    digest = hashlib.blake2b(f"{duty}\0{token}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
