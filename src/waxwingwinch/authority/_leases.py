"""Which leases this process holds, and when to renew and to challenge."""

import hashlib

from attrs import define

from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch._types import Epoch
from waxwingwinch.authority._records import DutyVersion
from waxwingwinch.authority._table import DutyTable
from waxwingwinch.streams import RecordId

#: Renewals in each lease.
RENEWALS_PER_LEASE = 3
#: Part of the lease before its end at which the holder steps down.
STEP_DOWN_FRACTION = 1 / 6
#: Part of the lease over which challengers spread.
JITTER_FRACTION = 1 / 4
#: Part of the lease by which each held duty delays a further challenge.
HELD_DELAY_FRACTION = 1 / 8


@define
class Lease:
    """
    A duty that this process holds.

    :param duty: Name of the duty.
    :param epoch: Fencing token of the term.
    :param end_seconds: Monotonic time at which the lease ends.
    :param acts_from_seconds: No order is sent before.
    :param closed: True once no further step may begin.
    :param running: Number of steps under way.
    """

    duty: str
    epoch: Epoch
    end_seconds: float
    acts_from_seconds: float
    closed: bool = False
    running: int = 0


class LeaseKeeper:
    """
    Counts the leases of one process; the caller serializes all calls.

    :param token: Unique name of the process.
    :param lease_seconds: Length of a lease, the same in all processes.
    :param drift_ratio: Bound on the difference in speed of two clocks.
    :param order_lifetime_seconds: Longest time that unacknowledged bytes of
        an order live.
    :param table: The fold of the duties.
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
        self._acts_from_seconds: dict[RecordId, float] = {}

    @property
    def step_down_seconds(self) -> float:
        """How long before the end of a lease its holder steps down."""
        return self.lease_seconds * STEP_DOWN_FRACTION

    def leases(self) -> tuple[Lease, ...]:
        """Return all leases, closed ones included."""
        return tuple(self._leases.values())

    def note_sent(
        self, record_id: RecordId, now_seconds: float, acts_from_seconds: float = 0.0
    ) -> None:
        """
        Remember when a claim or renewal was about to be sent.

        :param record_id: Identity of the record.
        :param now_seconds: Monotonic time before the append.
        :param acts_from_seconds: For a claim, when orders may begin.
        """
        oldest_seconds = now_seconds - 2 * self.lease_seconds
        for known, sent_seconds in list(self._sent_seconds.items()):
            if sent_seconds < oldest_seconds:
                self._sent_seconds.pop(known)
                self._acts_from_seconds.pop(known, None)
        self._sent_seconds[record_id] = now_seconds
        self._acts_from_seconds[record_id] = acts_from_seconds

    def applied(self, duty: str, record_id: RecordId, now_seconds: float) -> None:
        """
        Take in a change of a duty.

        A claim that is read back when its lease is about to end gives none;
        the duty is then released.

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
            # So late that its lease is over.
            return
        end_seconds = sent_seconds + self.lease_seconds
        if lease is not None and lease.epoch == state.epoch:
            lease.end_seconds = max(lease.end_seconds, end_seconds)
            return
        is_claim = state.version == state.epoch and lease is None
        if is_claim and now_seconds < end_seconds - self.step_down_seconds:
            acts_from_seconds = self._acts_from_seconds[record_id]
            self._leases[duty] = Lease(
                duty, state.epoch, end_seconds, acts_from_seconds
            )

    def epoch(self, duty: str, now_seconds: float) -> Epoch:
        """
        Return the fencing token under which orders may be sent now.

        :param duty: Name of the duty.
        :param now_seconds: Monotonic time.
        :raises AuthorityLost: If the duty isn't held or soon won't be.
        """
        lease = self._leases.get(duty)
        if lease is None or lease.closed:
            raise AuthorityLost(f"duty {duty!r} is not held")
        if now_seconds >= lease.end_seconds - self.step_down_seconds:
            raise AuthorityLost(f"the lease of duty {duty!r} ends")
        if now_seconds < lease.acts_from_seconds:
            raise AuthorityLost(f"orders of the last holder of {duty!r} may be alive")
        return lease.epoch

    def enter(self, duty: str, now_seconds: float) -> Lease:
        """
        Count a step as under way.

        :raises AuthorityLost: As :meth:`epoch`.
        """
        self.epoch(duty, now_seconds)
        lease = self._leases[duty]
        lease.running += 1
        return lease

    def close_ending(self, now_seconds: float) -> None:
        """Close the leases that weren't renewed in time."""
        for lease in self._leases.values():
            if now_seconds >= lease.end_seconds - self.step_down_seconds:
                lease.closed = True

    def remove_idle(self) -> tuple[Lease, ...]:
        """Forget closed leases without a running step and return them."""
        idle = [v for v in self._leases.values() if v.closed and not v.running]
        for lease in idle:
            del self._leases[lease.duty]
        return tuple(idle)

    def fence_seconds(self) -> float | None:
        """Return the earliest lease end; None if no lease is held."""
        ends = [lease.end_seconds for lease in self._leases.values()]
        return min(ends, default=None)

    def renewable(self) -> tuple[DutyVersion, ...]:
        """Return the open leases at their present versions."""
        return tuple(
            DutyVersion(lease.duty, lease.epoch, self._table.version(lease.duty))
            for lease in self._leases.values()
            if not lease.closed
        )

    def releasable(self, duties: tuple[str, ...]) -> tuple[DutyVersion, ...]:
        """
        Return what the log credits to this process though it doesn't act.

        :param duties: The duties that the process stands for.
        """
        items = []
        for duty in duties:
            state = self._table.state(duty)
            if state is None or state.token != self.token or state.released:
                continue
            if duty not in self._leases:
                items.append(DutyVersion(duty, state.epoch, state.version))
        return tuple(items)

    def claim_seconds(self, duty: str, since_seconds: float) -> float | None:
        """
        Return when this process may claim a duty; None if it holds it.

        :param duty: Name of the duty.
        :param since_seconds: When this process first saw the end of the log.
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
        return max(read_seconds, since_seconds) + wait_seconds

    def first_order_seconds(self, duty: str, now_seconds: float) -> float:
        """
        Return from when orders may be sent under a claim made now.

        The lease of the last holder is over, but bytes that it sent before
        may live until their user timeout. One that released had none.

        :param now_seconds: Monotonic time of the claim.
        """
        if not self._table.may_have_holder(duty):
            return now_seconds
        return now_seconds + self._order_lifetime_seconds


def _fraction(duty: str, token: str) -> float:
    """Return a number in [0, 1) that differs between processes and duties."""
    digest = hashlib.blake2b(f"{duty}\0{token}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64
