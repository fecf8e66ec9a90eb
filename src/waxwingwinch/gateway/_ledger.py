"""
The ledger of the gateway's duty, on one topic of the platform's store.

Offsets are positions, which rise when the store returns from an older copy.

Every record is appended on condition that the topic still ends at the offset
its writer last read. The order of the records alone therefore decides who
holds the duty, and an append that the store executes late fails once another
record was appended at that offset. After a return it may be executed all the
same, so records that were written for another era are ignored.
"""

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import message
from waxwingwinch.gateway._positions import era_of

#: Number of windows before the newest one whose fixed counts are retained;
#: the reports of older windows are past their due time.
FIXED_WINDOWS_RETAINED = 20


@message("gateway_duty_claim")
@frozen
class DutyClaim:
    """
    An instance takes over the duty.

    :param instance_id: The instance.
    :param nonce: Unique id by which the writer recognizes this record.
    :param era: Era of the store that the writer knew.
    """

    instance_id: InstanceId
    nonce: str
    era: int = 0


@message("gateway_duty_renewal")
@frozen
class DutyRenewal:
    """
    The holder renews its lease on the duty.

    :param epoch: Offset of the holder's claim.
    :param nonce: Unique id by which the writer recognizes this record.
    """

    epoch: int
    nonce: str


@message("gateway_duty_release")
@frozen
class DutyRelease:
    """
    The holder releases the duty, so that it can be claimed immediately.

    :param epoch: Offset of the holder's claim.
    """

    epoch: int


@message("gateway_window_fixed")
@frozen
class WindowFixed:
    """
    The counts of a usage window, which are final once recorded.

    :param window: Number of the window.
    :param counts: Number of requests by customer.
    :param era: Era of the store that the writer knew.
    """

    window: int
    counts: dict[CustomerId, int]
    era: int = 0


LedgerRecord = DutyClaim | DutyRenewal | DutyRelease | WindowFixed


@define
class LedgerState:
    """
    The state derived from the records of an era up to an offset.

    :param end_offset: The offset after the last applied record.
    :param holder: Instance that claimed the duty last; None before the first
        claim and after a release.
    :param epoch: Offset of the last claim; increases with each claim.
    :param last_renewal_seconds: Monotonic time at which the last claim or
        renewal was read.
    :param fixed_counts: Final counts of usage windows, by window number; those
        of earlier eras, too.
    :param last_holder: Instance that claimed the duty last, also after its
        release.
    :param succeeded_seconds: Monotonic time at which the claim of the next
        holder was read, by former holder.
    """

    end_offset: int = 0
    holder: InstanceId | None = None
    epoch: int | None = None
    last_renewal_seconds: float | None = None
    fixed_counts: dict[int, dict[CustomerId, int]] = field(factory=dict)
    last_holder: InstanceId | None = None
    succeeded_seconds: dict[InstanceId, float] = field(factory=dict)

    def apply(self, offset: int, record: object, now_seconds: float) -> None:
        """
        Apply a record.

        :param offset: Offset of the record.
        :param record: The record; other types only advance the offset.
        :param now_seconds: Monotonic time at which it was read.
        """
        self.end_offset = offset + 1
        match record:
            case DutyClaim(instance_id, era=era) if era == era_of(offset):
                if self.last_holder not in (None, instance_id):
                    self.succeeded_seconds[self.last_holder] = now_seconds
                self.holder = self.last_holder = instance_id
                self.epoch = offset
                self.last_renewal_seconds = now_seconds
            case DutyRenewal(epoch) if epoch == self.epoch:
                self.last_renewal_seconds = now_seconds
            case DutyRelease(epoch) if epoch == self.epoch:
                self.holder = None
            case WindowFixed(window, counts, era) if era == era_of(offset):
                self.fixed_counts.setdefault(window, counts)
                for expired_window in [
                    key
                    for key in self.fixed_counts
                    if key < window - FIXED_WINDOWS_RETAINED
                ]:
                    del self.fixed_counts[expired_window]

    def returns_soon(
        self, instance_id: InstanceId, lease_seconds: float, now_seconds: float
    ) -> bool:
        """
        Tell whether a former holder would act again soon after another one.

        :param instance_id: The instance.
        :param lease_seconds: Duration of a lease.
        :param now_seconds: Monotonic time.
        """
        succeeded_seconds = self.succeeded_seconds.get(instance_id)
        return (
            succeeded_seconds is not None
            and now_seconds - succeeded_seconds <= lease_seconds
        )

    def is_claimable(self, lease_seconds: float, now_seconds: float) -> bool:
        """
        Tell whether the duty is free or its lease has expired.

        :param lease_seconds: Time after the last claim or renewal at which the
            lease counts as expired.
        :param now_seconds: Current monotonic time.
        """
        if self.holder is None:
            return True
        if self.last_renewal_seconds is None:
            return False
        return now_seconds - self.last_renewal_seconds > lease_seconds
