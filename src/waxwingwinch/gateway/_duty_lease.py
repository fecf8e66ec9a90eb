"""Standing for the steward's duty and holding it."""

import secrets

from attrs import frozen

from waxwingwinch._exceptions import (
    MalformedMessage,
    PlatformRefused,
    PlatformUnavailable,
    RecordsExpired,
    WaxwingError,
)
from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._ledger import (
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    LedgerRecord,
    LedgerState,
    WindowFixed,
)
from waxwingwinch.gateway._process_log_lines import (
    DutyClaimed,
    DutyReleased,
    DutySteppedDown,
    LedgerConflict,
    LedgerMalformed,
    LedgerRefused,
    LedgerUnanswered,
)
from waxwingwinch.gateway._store import AppendConflict, PlatformStore
from waxwingwinch.kernel import Clock

#: The topic of the ledger.
LEDGER_TOPIC = "ledger"
#: Part of a lease after which it is renewed.
RENEW_FRACTION = 1 / 3
#: Part of a lease for which the holder acts; the rest covers clocks that
#: run at slightly different speeds.
HOLD_FRACTION = 0.9
#: What a challenger waits beyond the lease.
CLAIM_MARGIN_SECONDS = 0.3

_NONCE_BYTES = 8


class DutyNotHeld(WaxwingError):
    """The duty is not held, or no longer for certain."""


@frozen
class HeldLease:
    """
    A time in which this process holds the duty.

    :param epoch: The fencing token.
    :param until_seconds: Monotonic time at which the lease ends.
    """

    epoch: int
    expires_seconds: float


class DutyLease:
    """
    Claims, renews and releases the duty; used from one thread.

    :param store: The platform's store.
    :param instance_id: This instance.
    :param lease_seconds: Length of a lease.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        store: PlatformStore,
        instance_id: InstanceId,
        lease_seconds: float,
        clock: Clock,
    ) -> None:
        self._store = store
        self._instance_id = instance_id
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._state = LedgerState()
        self._held_lease: HeldLease | None = None
        self._renewed_seconds = 0.0
        # The record that was sent last, as it may be read back unanswered.
        self._sent_nonce = ""
        self._sent_seconds = 0.0

    @property
    def state(self) -> LedgerState:
        """What the ledger says, as far as it was read."""
        return self._state

    def held_epoch(self) -> int | None:
        """Return the epoch of the tenure; None if the duty isn't held."""
        held_lease = self._held_lease
        if (
            held_lease is None
            or self._clock.now_seconds() >= held_lease.expires_seconds
        ):
            return None
        return held_lease.epoch

    def require_epoch(self) -> int:
        """
        Return the fencing token right before it is used.

        :raises NotHolding: If the lease has ended.
        """
        epoch = self.held_epoch()
        if epoch is None:
            raise DutyNotHeld("the lease of the duty has ended")
        return epoch

    def read(self, wait_seconds: float) -> None:
        """
        Read the ledger to its end.

        :param wait_seconds: How long to wait for a record.
        :raises PlatformUnavailable: If the store does not answer.
        :raises PlatformRefused: If it turns the call away.
        """
        while True:
            try:
                page = self._store.read(
                    LEDGER_TOPIC, self._state.end_offset, wait_seconds
                )
            except RecordsExpired as error:
                self._state.end_offset = error.first_offset
                continue
            now_seconds = self._clock.now_seconds()
            for record in page.records:
                self._apply(record.offset, record.payload, now_seconds)
            if self._state.end_offset >= page.end_offset:
                return
            wait_seconds = 0.0

    def try_claim(self) -> bool:
        """
        Claim the duty if nobody can hold it any more.

        :returns: True if it is held now.
        """
        now_seconds = self._clock.now_seconds()
        wait_seconds = self._lease_seconds + CLAIM_MARGIN_SECONDS
        if not self._state.is_claimable(wait_seconds, now_seconds):
            return False
        nonce = secrets.token_hex(_NONCE_BYTES)
        if not self._append(DutyClaim(self._instance_id, nonce)):
            return False
        epoch = self._state.end_offset - 1
        self._set_held_lease(epoch, now_seconds)
        DutyClaimed(epoch=epoch).write()
        return True

    def renew(self) -> None:
        """
        Renew the lease if a part of it has passed.

        :raises NotHolding: If another instance holds the duty now.
        """
        epoch = self.require_epoch()
        now_seconds = self._clock.now_seconds()
        if now_seconds - self._renewed_seconds < self._lease_seconds * RENEW_FRACTION:
            return
        nonce = secrets.token_hex(_NONCE_BYTES)
        if self._append(DutyRenewal(epoch, nonce)):
            self._set_held_lease(epoch, now_seconds)

    def fix_window(self, window: int, counts: dict[CustomerId, int]) -> bool:
        """
        Record the figures of a usage window.

        :param window: Number of the window.
        :param counts: Requests by customer.
        :returns: True if the ledger holds figures of the window now.
        :raises NotHolding: If the lease has ended.
        """
        self.require_epoch()
        if window in self._state.fixed_counts:
            return True
        return self._append(WindowFixed(window, counts))

    def release(self) -> None:
        """Give the duty up, if it is held."""
        epoch = self.held_epoch()
        self._held_lease = None
        if epoch is not None and self._append(DutyRelease(epoch)):
            DutyReleased(epoch=epoch).write()

    def step_down(self, reason: str) -> None:
        """
        Stop acting as the holder.

        :param reason: Why.
        """
        if self._held_lease is not None:
            DutySteppedDown(epoch=self._held_lease.epoch, reason=reason).write()
        self._held_lease = None

    def _set_held_lease(self, epoch: int, sent_seconds: float) -> None:
        # The lease counts from before the record was sent.
        self._renewed_seconds = sent_seconds
        self._held_lease = HeldLease(
            epoch, sent_seconds + self._lease_seconds * HOLD_FRACTION
        )

    def _append(self, record: LedgerRecord) -> bool:
        """Append a record where the ledger was read to; return whether."""
        at_offset = self._state.end_offset
        if isinstance(record, DutyClaim | DutyRenewal):
            self._sent_nonce = record.nonce
            self._sent_seconds = self._clock.now_seconds()
        try:
            self._store.append(LEDGER_TOPIC, [encode_message(record)], at_offset)
        except AppendConflict as error:
            LedgerConflict(at_offset=at_offset, end_offset=error.end_offset).write()
            self._read_after_conflict()
            return self._is_applied(record)
        except PlatformUnavailable as error:
            # It may be appended yet; reading tells, and a later record at the
            # same offset makes it void.
            LedgerUnanswered(reason=str(error)).write()
            return False
        except PlatformRefused as error:
            LedgerRefused(reason=str(error)).write()
            return False
        self._state.apply(at_offset, record, self._clock.now_seconds())
        return True

    def _read_after_conflict(self) -> None:
        try:
            self.read(0.0)
        except (PlatformUnavailable, PlatformRefused) as error:
            LedgerUnanswered(reason=str(error)).write()

    def _is_applied(self, record: LedgerRecord) -> bool:
        match record:
            case WindowFixed(window):
                return window in self._state.fixed_counts
            case _:
                return False

    def _apply(self, offset: int, payload: bytes, now_seconds: float) -> None:
        try:
            record = decode_message(payload)
        except MalformedMessage as error:
            LedgerMalformed(offset=offset, reason=str(error)).write()
            record = None
        self._state.apply(offset, record, now_seconds)
        match record:
            case DutyClaim(_, nonce) if nonce == self._sent_nonce:
                self._set_held_lease(offset, self._sent_seconds)
            case DutyRenewal(epoch, nonce) if nonce == self._sent_nonce:
                self._set_held_lease(epoch, self._sent_seconds)
        held_lease = self._held_lease
        if held_lease is not None and self._state.epoch != held_lease.epoch:
            self.step_down("another instance claimed the duty")
