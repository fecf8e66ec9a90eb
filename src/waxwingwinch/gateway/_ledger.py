"""
The ledger of the steward's duty, on one topic of the platform's store.

Every record is appended under the condition that the topic ends where its
writer last read it, so the order of the records is the only agreement, and a
record that is carried out late finds its condition broken.
"""

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import message

#: Windows whose figures are remembered; older ones are past the time at
#: which they are due.
FIXED_WINDOWS_RETAINED = 20


@message("gateway_duty_claim")
@frozen
class DutyClaim:
    """
    An instance takes the duty over.

    :param instance_id: The instance.
    :param nonce: Names this record.
    """

    instance_id: InstanceId
    nonce: str


@message("gateway_duty_renewal")
@frozen
class DutyRenewal:
    """
    The holder keeps the duty.

    :param epoch: Offset of its claim.
    :param nonce: Names this record.
    """

    epoch: int
    nonce: str


@message("gateway_duty_release")
@frozen
class DutyRelease:
    """
    The holder gives the duty up, so that it can be claimed at once.

    :param epoch: Offset of its claim.
    """

    epoch: int


@message("gateway_window_fixed")
@frozen
class WindowFixed:
    """
    The figures of a usage window, which never change again.

    :param window: Number of the window.
    :param counts: Requests by customer.
    """

    window: int
    counts: dict[CustomerId, int]


LedgerRecord = DutyClaim | DutyRenewal | DutyRelease | WindowFixed


@define
class LedgerState:
    """
    What the records say, up to an offset.

    :param end_offset: The offset after the last applied record.
    :param holder: Who claimed the duty last; None if it was released.
    :param epoch: Offset of that claim; grows with each claim.
    :param changed_seconds: Monotonic time at which the last claim or renewal
        was read.
    :param fixed: Figures of usage windows.
    """

    end_offset: int = 0
    holder: InstanceId | None = None
    epoch: int | None = None
    last_renewal_seconds: float | None = None
    fixed_counts: dict[int, dict[CustomerId, int]] = field(factory=dict)

    def apply(self, offset: int, record: object, now_seconds: float) -> None:
        """
        Take in a record.

        :param offset: Its offset.
        :param record: The record.
        :param now_seconds: Monotonic time at which it was read.
        """
        self.end_offset = offset + 1
        match record:
            case DutyClaim(instance_id):
                self.holder, self.epoch = instance_id, offset
                self.last_renewal_seconds = now_seconds
            case DutyRenewal(epoch) if epoch == self.epoch:
                self.last_renewal_seconds = now_seconds
            case DutyRelease(epoch) if epoch == self.epoch:
                self.holder = None
            case WindowFixed(window, counts):
                self.fixed_counts.setdefault(window, counts)
                for expired_window in [
                    key
                    for key in self.fixed_counts
                    if key < window - FIXED_WINDOWS_RETAINED
                ]:
                    del self.fixed_counts[expired_window]

    def is_claimable(self, lease_seconds: float, now_seconds: float) -> bool:
        """
        Tell whether nobody can hold the duty any more.

        :param lease_seconds: Length of a lease.
        :param now_seconds: Monotonic time.
        """
        if self.holder is None:
            return True
        if self.last_renewal_seconds is None:
            return False
        return now_seconds - self.last_renewal_seconds > lease_seconds
