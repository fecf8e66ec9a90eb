"""Decisions of the process that gives out rate and burst."""

import math
from collections.abc import Mapping, Sequence

from attrs import frozen

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.limits._account import NO_EPOCH, Account
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
from waxwingwinch.limits._terms import LAPSE_FACTOR, CustomerLimit
from waxwingwinch.streams import AppliedRecord

#: Used until a configuration is known.
DEFAULT_EXTRA_TERM_SECONDS = 2.0


@frozen
class _Decided:
    """
    A floor recorded in this epoch.

    :param offset: Offset of its record.
    :param decided_seconds: Monotonic time before it was appended.
    """

    offset: int
    decided_seconds: float


class Grantor:
    """
    Gives out each customer's rate and burst. Not safe for several threads.

    :param handover_seconds: How long after its begin an earlier grantor may
        still answer.
    """

    def __init__(self, handover_seconds: float) -> None:
        #: Floors, also while this process is no grantor.
        self.floors = FloorTable()
        self._handover_seconds = handover_seconds
        self._epoch = NO_EPOCH
        self._term_seconds = DEFAULT_EXTRA_TERM_SECONDS
        self._quiet_until_seconds = math.inf
        self._sequence = 0
        self._limits: dict[CustomerId, CustomerLimit] = {}
        self._accounts: dict[CustomerId, Account] = {}
        self._decided: dict[tuple[CustomerId, ProcessId], _Decided] = {}

    @property
    def epoch(self) -> Epoch | None:
        """The epoch in which it grants; None if it doesn't."""
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
        Prepare to grant; grants begin when the returned record is applied.

        :param epoch: Fencing token of the duty.
        :param limits: Limits of all customers.
        :param now_seconds: Monotonic time.
        :returns: The record to append.
        """
        self._epoch = epoch
        self._sequence = 0
        self._quiet_until_seconds = math.inf
        self._accounts = {}
        self._decided = {}
        # The term stays for the epoch: the next grantor waits as long.
        self._term_seconds = _longest_term_seconds(limits)
        self._limits = dict(limits)
        return GrantorBegan(epoch, self._term_seconds)

    def end(self) -> None:
        """Grant nothing any more."""
        self._epoch = NO_EPOCH
        self._accounts = {}

    def configure(
        self, limits: Mapping[CustomerId, CustomerLimit], now_seconds: float
    ) -> None:
        """
        Put new limits in force.

        A removed customer keeps its account with nothing to give, so that
        its floors and tokens still count if it comes back.

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
        Apply the next record of the stream of floors.

        :param applied: The record.
        """
        match applied.body:
            case GrantorBegan() as began:
                self._apply_began(began, applied)
            case FloorGranted() | FloorReleased() as record:
                account = self._accounts.get(record.customer_id)
                if account is not None:
                    account.advance(applied.now_seconds)
                self.floors.apply(applied)
                if account is not None:
                    account.resize()

    def grant(self, request: ExtraRequest, now_seconds: float) -> ExtraReply:
        """
        Answer an entry's request for tokens.

        :param request: The request.
        :param now_seconds: Monotonic time, read after it was received.
        """
        epoch = self.epoch
        if epoch is None:
            return ExtraReply(None, (), 0.0)
        granted: list[GrantedTokens] = []
        holder, term_seconds = request.holder, self._term_seconds
        for row in request.wanted:
            account = self._accounts.get(row.customer_id)
            if account is None:
                continue
            account.advance(now_seconds)
            if request.epoch == epoch:
                account.settle(holder, row)
            self._sequence += 1
            sequence = self._sequence
            granted.append(
                account.grant(holder, row, sequence, term_seconds, now_seconds)
            )
        return ExtraReply(epoch, tuple(granted), self._term_seconds)

    def confirm_floor(
        self, holder: ProcessId, wanted: FloorWanted, now_seconds: float
    ) -> None:
        """
        Note which floor a holder uses; older ones no longer count.

        :param holder: Who says so.
        :param wanted: What it says.
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
        :param holder: Who wants a floor.
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
        kept = self._kept(granted, now_seconds)
        if kept is not None:
            return kept
        if not account.reserve(holder, share, now_seconds):
            return PostponeFloor()
        account.record(holder, share)
        return RecordFloor(granted)

    def settle_floor(
        self,
        granted: FloorGranted,
        offset: int | None,
        decided_seconds: float,
        now_seconds: float,
    ) -> None:
        """
        Note that the record of a floor was applied or given up.

        A record that turns up later still counts, but was never answered.

        :param granted: The record.
        :param offset: Where it stands; None if it was given up.
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
            self._decided[key] = _Decided(offset, decided_seconds)

    def _kept(self, granted: FloorGranted, now_seconds: float) -> KeepFloor | None:
        """Return the recorded floor if it need not be renewed."""
        newest = self.floors.newest(granted.customer_id, granted.holder)
        decided = self._decided.get((granted.customer_id, granted.holder))
        if newest is None or decided is None or decided.offset != newest.offset:
            # Others may have read an earlier grantor's record before this
            # process did, so only the time of the decision bounds its term.
            return None
        term_seconds = newest.granted.term_seconds
        left_seconds = decided.decided_seconds + term_seconds - now_seconds
        if not is_current(newest.granted, granted, left_seconds):
            return None
        return KeepFloor(newest, left_seconds)

    def _apply_began(self, began: GrantorBegan, applied: AppliedRecord) -> None:
        self.floors.apply(applied)
        if began.epoch != self._epoch or self.floors.epoch != self._epoch:
            return
        # The begin of the earlier grantor may have left the log; its term is
        # then taken to be this one's.
        lapse_seconds = applied.now_seconds + self._term_seconds * LAPSE_FACTOR
        lapse_seconds = max(lapse_seconds, self.floors.extras_lapse_seconds)
        self._quiet_until_seconds = lapse_seconds + self._handover_seconds
        self._open_accounts(applied.now_seconds)

    def _open_accounts(self, now_seconds: float) -> None:
        """Make the accounts of customers that have none, with no tokens."""
        for customer_id, limit in self._limits.items():
            if customer_id not in self._accounts:
                self._accounts[customer_id] = Account(
                    customer_id,
                    limit,
                    self.floors,
                    self._quiet_until_seconds,
                    now_seconds,
                )


def _longest_term_seconds(limits: Mapping[CustomerId, CustomerLimit]) -> float:
    terms = (limit.extra_term_seconds for limit in limits.values())
    return max(terms, default=DEFAULT_EXTRA_TERM_SECONDS)
