"""The grantor, which divides rate and burst of customers among entries."""

import math
from collections.abc import Mapping, Sequence

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits._account import NO_EPOCH, Account
from waxwingwinch.limits._customer_limits import EXPIRY_MARGIN_FACTOR, CustomerLimit
from waxwingwinch.limits._floor_policy import (
    FloorDecision,
    KeepFloor,
    PostponeFloor,
    RecordFloor,
    RefuseFloor,
    floor_record,
    floor_share,
    is_current,
)
from waxwingwinch.limits._floors import FloorTable
from waxwingwinch.limits._messages import (
    ExtraReply,
    ExtraRequest,
    FloorGranted,
    FloorReleased,
    FloorWanted,
    GrantedTokens,
    GrantorBegan,
)
from waxwingwinch.streams import AppliedRecord

#: Longest term of extra tokens while no customer is configured.
DEFAULT_EXTRA_TERM_SECONDS = 2.0


@frozen
class _RecordedDecision:
    """
    The decision behind a floor that was recorded in this epoch.

    :param offset: Log offset of the floor's record.
    :param decided_seconds: Monotonic time of the decision, before the record
        was appended.
    """

    offset: int
    decided_seconds: float


class Grantor:
    """
    Grants parts of each customer's rate and burst to entries.

    Not thread-safe.

    :param handover_seconds: How long an earlier grantor may still answer
        requests after this one began.
    """

    def __init__(self, handover_seconds: float) -> None:
        #: Floors of all customers, kept current also while this process isn't
        #: the grantor.
        self.floors = FloorTable()
        self._handover_seconds = handover_seconds
        self._epoch = NO_EPOCH
        self._extra_term_seconds = DEFAULT_EXTRA_TERM_SECONDS
        self._blocked_until_seconds = math.inf
        self._sequence = 0
        self._limits: dict[CustomerId, CustomerLimit] = {}
        self._accounts: dict[CustomerId, Account] = {}
        self._recorded_decisions: dict[
            tuple[CustomerId, ProcessId], _RecordedDecision
        ] = {}

    @property
    def epoch(self) -> Epoch | None:
        """The epoch in which this process grants; None if it doesn't grant."""
        if self._epoch == NO_EPOCH or self.floors.epoch != self._epoch:
            return None
        return self._epoch

    def begin(
        self,
        epoch: Epoch,
        limits: Mapping[CustomerId, CustomerLimit],
        now_seconds: float,
    ) -> GrantorBegan:
        """
        Prepare to grant.

        Nothing is granted until the returned record is applied.

        :param epoch: Fencing token of the duty.
        :param limits: Limits of all customers.
        :param now_seconds: Monotonic time; unused.
        :returns: The record to append.
        """
        self._epoch = epoch
        self._sequence = 0
        self._blocked_until_seconds = math.inf
        self._accounts = {}
        self._recorded_decisions = {}
        # The term is fixed for the epoch, as the next grantor waits for the
        # term of the begin record.
        self._extra_term_seconds = _longest_extra_term_seconds(limits)
        self._limits = dict(limits)
        return GrantorBegan(epoch, self._extra_term_seconds)

    def end(self) -> None:
        """Stop granting."""
        self._epoch = NO_EPOCH
        self._accounts = {}

    def configure(
        self, limits: Mapping[CustomerId, CustomerLimit], now_seconds: float
    ) -> None:
        """
        Apply new limits.

        The account of a removed customer stays, with limits of zero, so that
        its floors and tokens still count if the customer is added again.

        :param limits: Limits of all customers.
        :param now_seconds: Monotonic time.
        """
        self._limits = dict(limits)
        for customer_id, account in self._accounts.items():
            account.advance(now_seconds)
            account.limit = limits.get(
                customer_id, CustomerLimit(0.0, 0.0, 0.0, 0.0, 0.0)
            )
            account.resize()
        if self.epoch is not None:
            self._open_accounts(now_seconds)

    def apply(self, applied: AppliedRecord) -> None:
        """
        Apply the next record of the stream ``limits-<cell>``.

        :param applied: The record.
        """
        match applied.body:
            case GrantorBegan() as begin_record:
                self._apply_begin_record(begin_record, applied)
            case FloorGranted() | FloorReleased() as record:
                account = self._accounts.get(record.customer_id)
                if account is not None:
                    account.advance(applied.now_seconds)
                self.floors.apply(applied)
                if account is not None:
                    account.resize()

    def grant(self, request: ExtraRequest, now_seconds: float) -> ExtraReply:
        """
        Answer an entry's request for extra tokens.

        :param request: The request.
        :param now_seconds: Monotonic time, read after the request was
            received.
        """
        epoch = self.epoch
        if epoch is None:
            return ExtraReply(None, (), 0.0)
        granted: list[GrantedTokens] = []
        holder, term_seconds = request.holder, self._extra_term_seconds
        for report in request.wanted:
            account = self._accounts.get(report.customer_id)
            if account is None:
                continue
            account.advance(now_seconds)
            if request.epoch == epoch:
                account.reconcile(holder, report)
            self._sequence += 1
            sequence = self._sequence
            granted.append(
                account.grant(holder, report, sequence, term_seconds, now_seconds)
            )
        return ExtraReply(epoch, tuple(granted), self._extra_term_seconds)

    def confirm_floor(
        self, holder: ProcessId, wanted: FloorWanted, now_seconds: float
    ) -> None:
        """
        Record which floor a holder uses; its older floors no longer count.

        :param holder: Entry process that sent the report.
        :param wanted: The holder's report.
        :param now_seconds: Monotonic time.
        """
        account = self._accounts.get(wanted.customer_id)
        if account is None:
            return
        account.advance(now_seconds)
        last_unused_offset = wanted.applied_offset - 1
        self.floors.release(wanted.customer_id, holder, last_unused_offset)
        account.resize()

    def decide_floor(
        self,
        customer_id: CustomerId,
        holder: ProcessId,
        homes: Sequence[InstanceId],
        now_seconds: float,
    ) -> FloorDecision:
        """
        Decide on the floor of a holder.

        :param customer_id: The customer.
        :param holder: Entry process that requests a floor.
        :param homes: The customer's home instances, the most preferred first.
        :param now_seconds: Monotonic time.
        """
        account = self._accounts.get(customer_id)
        if account is None or self.epoch is None:
            return RefuseFloor()
        account.advance(now_seconds)
        share = floor_share(account, holder, homes)
        if share is None:
            return RefuseFloor()
        limit, epoch = account.limit, self._epoch
        granted = floor_record(customer_id, holder, share, limit, epoch)
        keep_decision = self._keep_decision(granted, now_seconds)
        if keep_decision is not None:
            return keep_decision
        if not account.reserve(holder, share, now_seconds):
            return PostponeFloor()
        account.add_pending(holder, share)
        return RecordFloor(granted)

    def complete_floor_record(
        self,
        granted: FloorGranted,
        offset: int | None,
        decided_seconds: float,
        now_seconds: float,
    ) -> None:
        """
        Handle that the record of a floor was applied or abandoned.

        An abandoned record that appears in the log later still counts as a
        floor, although no reply gave that floor to the holder.

        :param granted: The record.
        :param offset: Log offset of the record; None if it was abandoned.
        :param decided_seconds: Monotonic time of the decision.
        :param now_seconds: Monotonic time.
        """
        account = self._accounts.get(granted.customer_id)
        if account is None:
            return
        account.advance(now_seconds)
        account.pending.pop(granted.holder, None)
        account.resize()
        if offset is not None and granted.epoch == self._epoch:
            key = granted.customer_id, granted.holder
            self._recorded_decisions[key] = _RecordedDecision(offset, decided_seconds)

    def _keep_decision(
        self, granted: FloorGranted, now_seconds: float
    ) -> KeepFloor | None:
        """Return the decision to keep the recorded floor if it is current."""
        newest = self.floors.newest(granted.customer_id, granted.holder)
        decision = self._recorded_decisions.get((granted.customer_id, granted.holder))
        if newest is None or decision is None or decision.offset != newest.offset:
            # The time of the decision behind the newest record is unknown
            # here: an earlier grantor made it, or the append was abandoned.
            # Other control processes may have read the record before this
            # process did, and count the floor as expired earlier. Its term is
            # only safe when counted from the decision, so the floor isn't kept
            # but recorded anew.
            return None
        term_seconds = newest.granted.term_seconds
        remaining_seconds = decision.decided_seconds + term_seconds - now_seconds
        if not is_current(newest.granted, granted, remaining_seconds):
            return None
        return KeepFloor(newest, remaining_seconds)

    def _apply_begin_record(
        self, begin_record: GrantorBegan, applied: AppliedRecord
    ) -> None:
        self.floors.apply(applied)
        if begin_record.epoch != self._epoch or self.floors.epoch != self._epoch:
            return
        # The begin record of the earlier grantor may have expired from the
        # log; its term is then assumed to equal this grantor's.
        expires_seconds = (
            applied.now_seconds + self._extra_term_seconds * EXPIRY_MARGIN_FACTOR
        )
        expires_seconds = max(expires_seconds, self.floors.extras_expire_seconds)
        self._blocked_until_seconds = expires_seconds + self._handover_seconds
        self._open_accounts(applied.now_seconds)

    def _open_accounts(self, now_seconds: float) -> None:
        """Create an account without tokens for each customer that has none."""
        for customer_id, limit in self._limits.items():
            if customer_id not in self._accounts:
                self._accounts[customer_id] = Account(
                    customer_id,
                    limit,
                    self.floors,
                    self._blocked_until_seconds,
                    now_seconds,
                )


def _longest_extra_term_seconds(limits: Mapping[CustomerId, CustomerLimit]) -> float:
    terms = (limit.extra_term_seconds for limit in limits.values())
    return max(terms, default=DEFAULT_EXTRA_TERM_SECONDS)
