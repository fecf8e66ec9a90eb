"""Claiming, renewing and releasing the lease on the gateway's duty."""

import math
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
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.gateway._ledger import (
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    LedgerRecord,
    LedgerState,
    WindowFixed,
)
from waxwingwinch.gateway._positions import era_of
from waxwingwinch.gateway._process_log_lines import (
    DutyClaimed,
    DutyReleased,
    DutySteppedDown,
    LedgerConflict,
    LedgerMalformed,
    LedgerRefused,
    LedgerUnanswered,
)
from waxwingwinch.gateway._store import (
    AppendConflict,
    HistoryReplaced,
    PlatformStore,
)
from waxwingwinch.kernel import Clock

#: Topic of the ledger in the platform's store. The ledger is the log of claims
#: to the duty and of the final counts of usage windows.
LEDGER_TOPIC = "ledger"
#: Fraction of the lease duration after which the lease is renewed.
RENEW_FRACTION = 1 / 3
#: Fraction of the lease duration for which the holder acts on the lease; the
#: remainder covers clocks that run at slightly different speeds.
HOLD_FRACTION = 0.9
#: Time beyond the lease duration that another instance waits before it claims
#: the duty.
CLAIM_MARGIN_SECONDS = 0.3
#: Time for which a call of the former holder may be on its way after its lease
#: has ended: the longest time-out of a call, with the time for connecting.
#: Added where receivers don't reject outdated fencing tokens.
CALL_IN_FLIGHT_SECONDS = 1.0

_NONCE_BYTES = 8


class DutyNotHeld(WaxwingError):
    """This process does not hold the duty, or its lease may have expired."""


@frozen
class HeldLease:
    """
    The lease under which this process holds the duty.

    :param epoch: Epoch of the lease, sent with calls as the fencing token.
    :param expires_seconds: Monotonic time after which the holder no longer
        acts on the lease.
    """

    epoch: int
    expires_seconds: float


class DutyLease:
    """
    Claims, renews and releases the duty.

    All methods except `held_epoch` must be called by one thread at a time.

    :param store: The platform's store.
    :param instance_id: This instance.
    :param lease_seconds: Duration of a lease.
    :param clock: Source of the current time.
    :param history: When this process first saw the store's present history.
    :param is_fencing_checked: True if receivers of calls reject outdated
        fencing tokens.
    """

    def __init__(
        self,
        store: PlatformStore,
        instance_id: InstanceId,
        lease_seconds: float,
        clock: Clock,
        history: HistoryWatch | None = None,
        is_fencing_checked: bool = True,
    ) -> None:
        self._is_fencing_checked = is_fencing_checked
        #: Last epoch under which this process acts no more.
        self.relinquished_epoch: int | None = None
        # The last epoch of another holder that acts under it no more, and the
        # monotonic time at which its report arrived.
        self._peer_relinquished_epoch: int | None = None
        self._peer_relinquished_seconds = 0.0
        #: Monotonic time of the last call of this process without a response.
        self._unanswered_seconds = -math.inf
        self._history = history or HistoryWatch(clock)
        #: Unix time; all counts of windows that ended later are known if they
        #: are final.
        self.complete_since_wall_seconds = 0.0
        # True if this process held the duty when the present history began.
        self._is_former_holder = False
        self._store = store
        self._instance_id = instance_id
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._state = LedgerState()
        self._held_lease: HeldLease | None = None
        self._renewed_seconds = 0.0
        # The last sent claim or renewal. If its append was not acknowledged,
        # the record is recognized when it is read back.
        self._sent_nonce = ""
        self._sent_seconds = 0.0

    @property
    def state(self) -> LedgerState:
        """The state derived from the records read so far."""
        return self._state

    def held_epoch(self) -> int | None:
        """Return the epoch of the held lease; None if the duty is not held."""
        held_lease = self._held_lease
        if (
            held_lease is None
            or self._clock.now_seconds() >= held_lease.expires_seconds
        ):
            return None
        return held_lease.epoch

    def require_epoch(self) -> int:
        """
        Return the epoch as a fencing token; call right before using it.

        :raises DutyNotHeld: If the duty is not held or its lease has
            expired.
        """
        epoch = self.held_epoch()
        if epoch is None:
            raise DutyNotHeld("the duty is not held or its lease has expired")
        return epoch

    def read(self, wait_seconds: float) -> None:
        """
        Read the ledger to its end.

        :param wait_seconds: Longest time the store may wait for a record.
        :raises PlatformUnavailable: If the store does not respond.
        :raises PlatformRefused: If the store rejects the call.
        """
        while True:
            try:
                page = self._store.read(
                    LEDGER_TOPIC, self._state.end_offset, wait_seconds
                )
            except HistoryReplaced as error:
                self._begin_history(error.first_offset)
                wait_seconds = 0.0
                continue
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
        Claim the duty if it is free or its lease has expired.

        :returns: True if the claim was appended and the duty is held.
        """
        now_seconds = self._clock.now_seconds()
        if not self._is_claimable(now_seconds):
            return False
        nonce = secrets.token_hex(_NONCE_BYTES)
        if not self._append(DutyClaim(self._instance_id, nonce, self._era)):
            return False
        # The epoch is the offset of the claim record, so it increases with
        # each claim.
        epoch = self._state.end_offset - 1
        self._set_held_lease(epoch, now_seconds)
        DutyClaimed(epoch=epoch).write()
        return True

    def renew(self) -> None:
        """
        Renew the lease if ``RENEW_FRACTION`` of its duration has passed.

        :raises DutyNotHeld: If the duty is not held or its lease has
            expired.
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
        Make the counts of a usage window final by recording them.

        Does nothing if the ledger holds counts of the window already.

        :param window: Number of the window.
        :param counts: Number of requests by customer.
        :returns: True if the ledger is known to hold counts of the window.
        :raises DutyNotHeld: If the duty is not held or its lease has
            expired.
        """
        self.require_epoch()
        if window in self._state.fixed_counts:
            return True
        return self._append(WindowFixed(window, counts, self._era))

    def record_relinquished(self, epoch: int) -> bool:
        """
        Record that another holder acts no more under its epoch.

        Its lease needn't be waited for.

        :param epoch: The epoch.
        :returns: False if it was known.
        """
        known_epoch = self._peer_relinquished_epoch
        if known_epoch is not None and known_epoch >= epoch:
            return False
        self._peer_relinquished_epoch = epoch
        self._peer_relinquished_seconds = self._clock.now_seconds()
        return True

    def record_unanswered_call(self) -> None:
        """Record that a call of the holder may still be on its way."""
        self._unanswered_seconds = self._clock.now_seconds()

    def release(self) -> None:
        """
        Release the duty if it is held.

        The lease expires by itself if a call may still be on its way to a
        receiver that would take it after one of the next holder.
        """
        epoch = self.held_epoch()
        self._held_lease = None
        since_call_seconds = self._clock.now_seconds() - self._unanswered_seconds
        if not self._is_fencing_checked and (
            since_call_seconds <= CALL_IN_FLIGHT_SECONDS
        ):
            return
        if epoch is not None and self._append(DutyRelease(epoch)):
            DutyReleased(epoch=epoch).write()

    def step_down(self, reason: str) -> None:
        """
        Stop acting as the holder of the duty.

        :param reason: Reason for the log line.
        """
        if self._held_lease is not None:
            DutySteppedDown(epoch=self._held_lease.epoch, reason=reason).write()
            self.relinquished_epoch = self._held_lease.epoch
            # A renewal that is read back must not revive the lease.
            self._sent_nonce = ""
        self._held_lease = None

    @property
    def _era(self) -> int:
        """Era of the records that the state is derived from."""
        return era_of(self._state.end_offset)

    def _is_claimable(self, now_seconds: float) -> bool:
        if self._is_former_holder and self._state.epoch is None:
            return True
        wait_seconds = self._lease_seconds + CLAIM_MARGIN_SECONDS
        if not self._is_fencing_checked:
            wait_seconds += CALL_IN_FLIGHT_SECONDS
            if self._state.returns_soon(self._instance_id, wait_seconds, now_seconds):
                return False
        if self._era > 0:
            # A lease that was granted in the lost part may still be held.
            sight = self._history.observe(self._state.end_offset)
            if now_seconds - sight.seen_seconds <= wait_seconds:
                return False
        if self._is_relinquished(now_seconds):
            return True
        return self._state.is_claimable(wait_seconds, now_seconds)

    def _is_relinquished(self, now_seconds: float) -> bool:
        """Tell whether the holder has said that it acts no more."""
        epoch = self._state.epoch
        if epoch is None or epoch != self._peer_relinquished_epoch:
            return False
        since_seconds = now_seconds - self._peer_relinquished_seconds
        return self._is_fencing_checked or since_seconds > CALL_IN_FLIGHT_SECONDS

    def _begin_history(self, first_offset: int) -> None:
        """Start over after the store has returned from an older copy."""
        sight = self._history.observe(first_offset)
        held_lease = self._held_lease
        self._is_former_holder = (
            held_lease is not None and sight.seen_seconds < held_lease.expires_seconds
        )
        if not self._is_former_holder:
            # Another instance may have made counts final in the lost part.
            self.complete_since_wall_seconds = sight.seen_wall_seconds
        self.step_down("the store returned from an older copy")
        self._state = LedgerState(
            end_offset=first_offset,
            fixed_counts=self._state.fixed_counts,
            last_holder=self._state.last_holder,
            succeeded_seconds=self._state.succeeded_seconds,
        )
        self._sent_nonce = ""

    def _set_held_lease(self, epoch: int, sent_seconds: float) -> None:
        # The lease starts before the record is sent, so that the holder never
        # assumes a later expiry than other instances.
        self._renewed_seconds = sent_seconds
        self._held_lease = HeldLease(
            epoch, sent_seconds + self._lease_seconds * HOLD_FRACTION
        )

    def _append(self, record: LedgerRecord) -> bool:
        """
        Append a record at the last read offset.

        :returns: True if it was appended or, after a conflict, if the ledger
            already holds counts of the same window.
        """
        at_offset = self._state.end_offset
        if isinstance(record, DutyClaim | DutyRenewal):
            self._sent_nonce = record.nonce
            self._sent_seconds = self._clock.now_seconds()
        try:
            appended_offset = self._store.append(
                LEDGER_TOPIC, [encode_message(record)], at_offset
            )
        except AppendConflict as error:
            return self._read_after_conflict(record, at_offset, error.end_offset)
        except PlatformUnavailable as error:
            # The store may still execute the append. Reading the ledger shows
            # whether it did; the append fails if another record has taken
            # the offset.
            LedgerUnanswered(reason=str(error)).write()
            return False
        except PlatformRefused as error:
            LedgerRefused(reason=str(error)).write()
            return False
        if appended_offset != at_offset:
            # The ledger was empty before and after a return of the store.
            return self._read_after_conflict(record, at_offset, appended_offset)
        self._state.apply(at_offset, record, self._clock.now_seconds())
        return True

    def _read_after_conflict(
        self, record: LedgerRecord, at_offset: int, end_offset: int
    ) -> bool:
        """Read the ledger; tell whether it holds counts of the same window."""
        LedgerConflict(at_offset=at_offset, end_offset=end_offset).write()
        try:
            self.read(0.0)
        except (PlatformUnavailable, PlatformRefused) as error:
            LedgerUnanswered(reason=str(error)).write()
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
