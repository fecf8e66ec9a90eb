"""Usage of one customer's quota by all instances, as one process knows it."""

from collections import deque

from attrs import define, field, frozen

#: Returns of silent peers whose usage is kept until the next refill.
MAX_LATE_USAGES = 64


@frozen
class LateUsage:
    """
    Units that a peer admitted while it was silent.

    :param units: The units.
    :param assumed_seconds: Seconds of the rate that it was assumed to use.
    :param began_seconds: Time of its last message before, in the seconds of
        :class:`QuotaBucket`.
    """

    units: float
    assumed_seconds: float
    began_seconds: float


@define
class QuotaBucket:
    """
    Usage of a customer's quota by all instances.

    Its times are seconds of the whole rate: an interval counts as much as the
    share of the rate that this process may use during it.

    :param used: Units used and not refilled by the rate yet.
    :param refilled_seconds: Time of the last refill.
    :param local_total: Units that this process has admitted since its start.
    :param is_new: True until the first refill, which needs the customer's
        burst.
    :param withheld: Units that are left to instances out of contact.
    :param left: Units that were left at the last contact; None while this
        process is in contact.
    :param recent: Monotonic times and costs of the last local admissions.
    :param late: Usage by peers that is charged with the next refill.
    """

    used: float
    refilled_seconds: float
    local_total: float = 0.0
    is_new: bool = True
    withheld: float = 0.0
    left: float | None = None
    recent: deque[tuple[float, float]] = field(factory=deque)
    late: deque[LateUsage] = field(factory=lambda: deque(maxlen=MAX_LATE_USAGES))

    def refill(self, rate_per_second: float, shared_seconds: float) -> None:
        """
        Refill the bucket, and charge what was learnt of late.

        :param rate_per_second: The customer's rate.
        :param shared_seconds: The present time, see above.
        """
        while self.late:
            late = self.late.popleft()
            self._refill_until(rate_per_second, late.began_seconds)
            self.used += max(late.units - rate_per_second * late.assumed_seconds, 0.0)
        self._refill_until(rate_per_second, shared_seconds)

    def _refill_until(self, rate_per_second: float, shared_seconds: float) -> None:
        elapsed_seconds = max(shared_seconds - self.refilled_seconds, 0.0)
        self.used = max(self.used - elapsed_seconds * rate_per_second, 0.0)
        self.refilled_seconds = max(shared_seconds, self.refilled_seconds)

    def withhold(self, units: float, share: float, contact_seconds: float) -> None:
        """
        Withhold what instances out of contact may use of the burst.

        What was left at the last contact is divided; what this process has
        admitted since then is its own.

        :param units: The burst.
        :param share: Fraction of it that this process may use.
        :param contact_seconds: Monotonic time of the last contact.
        """
        while self.recent and self.recent[0][0] < contact_seconds:
            self.recent.popleft()
        if share >= 1.0:
            self.left, self.withheld = None, 0.0
            return
        if self.left is None:
            own = sum(cost for _, cost in self.recent)
            self.left = max(units - self.used + own, 0.0)
        withheld_share = 1.0 - share
        self.withheld = max(
            self.left * withheld_share, units * withheld_share - self.used
        )
