"""Replica of the configuration state, built from the stream."""

from typing import Any

from attrs import define, field, frozen

from waxwingwinch.configuration._records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    KeyWithdrawal,
)
from waxwingwinch.configuration._state import (
    Accepted,
    ConfigurationState,
    Refused,
    apply_record,
    state_from_snapshot,
)


@frozen
class PositionedRecord:
    """
    A record with its offset.

    :param offset: Offset in the stream.
    :param record: The record.
    """

    offset: int
    record: Any


@frozen
class ChangeOutcome:
    """
    Outcome of a change.

    :param offset: Offset of the record.
    :param change: The record.
    :param result: The new state, or the reasons for the refusal.
    """

    offset: int
    change: ConfigurationChange
    result: Accepted | Refused


@define
class ConfigurationReplica:
    """
    Derives the state from the stream, starting at any retained offset.

    All replicas reach the same state. A snapshot contains the first offset
    that it doesn't include. A reader that missed records starts from a
    snapshot whose offset is still retained and applies exactly the records
    from this offset on. A reader that missed no record takes nothing but
    withdrawals from snapshots in the stream.

    Starting after the snapshot's own record would be wrong: a change that was
    accepted after the snapshot was built and before it was appended would be
    lost, and a conflicting change would be accepted instead.

    :param state: The newest state; None before there is a state.
    :param next_offset: First offset that is not included in ``state``.
    :param gap_end: None while no record is missing after ``state``, else the
        first offset after the missing records.
    :param buffered: Records from ``gap_end`` on, kept until a snapshot closes
        the gap.
    """

    state: ConfigurationState | None = None
    next_offset: int = 0
    # Before the first read, it is unknown whether the log still retains its
    # first record.
    gap_end: int | None = 0
    buffered: list[PositionedRecord] = field(factory=list)

    @property
    def is_complete(self) -> bool:
        """True if ``state`` includes every record that was read."""
        return self.gap_end is None

    def skip_to(self, first_offset: int) -> None:
        """
        Record that older records have expired from the log.

        :param first_offset: Oldest offset that the log retains.
        """
        if self.gap_end is None and first_offset <= self.next_offset:
            return
        self.gap_end = max(first_offset, self.gap_end or 0)
        self.buffered = [item for item in self.buffered if item.offset >= first_offset]

    def add_record(self, offset: int, record: Any) -> tuple[ChangeOutcome, ...]:
        """
        Apply the next record, or buffer it while records are missing.

        :param offset: Offset of the record.
        :param record: The record.
        :returns: Outcomes of the changes that were applied by this call.
        """
        self.start_empty()
        if self.gap_end is None:
            return self._apply(PositionedRecord(offset, record))
        self.buffered.append(PositionedRecord(offset, record))
        if isinstance(record, ConfigurationSnapshot):
            return self.adopt(record)
        return ()

    def start_empty(self) -> None:
        """Start with the empty state if the log is retained from its start."""
        if self.state is None and self.gap_end == 0:
            self.state = ConfigurationState()
            self.gap_end = None

    def adopt(self, snapshot: ConfigurationSnapshot) -> tuple[ChangeOutcome, ...]:
        """
        Continue from a snapshot if it isn't behind the current state.

        A snapshot behind the current state has no effect, nor has a snapshot
        that doesn't reach the end of the gap.

        :param snapshot: A snapshot from the stream or from a peer.
        :returns: Outcomes of the buffered changes after the snapshot.
        """
        if snapshot.next_offset < max(self.next_offset, self.gap_end or 0):
            return ()
        if self.state is not None and snapshot.version < self.state.version:
            return ()
        self.state = state_from_snapshot(snapshot)
        self.next_offset = snapshot.next_offset
        self.gap_end = None
        buffered, self.buffered = self.buffered, []
        outcomes: list[ChangeOutcome] = []
        for item in buffered:
            outcomes.extend(self._apply(item))
        return tuple(outcomes)

    def _apply(self, item: PositionedRecord) -> tuple[ChangeOutcome, ...]:
        if self.state is None or item.offset < self.next_offset:
            return ()
        result = apply_record(self.state, item.record)
        self.next_offset = item.offset + 1
        if isinstance(result, Accepted):
            self.state = result.state
        if isinstance(item.record, ConfigurationChange):
            return (ChangeOutcome(item.offset, item.record, result),)
        return ()


def withdrawn_key_ids_in(record: Any) -> tuple[str, ...]:
    """
    Return the withdrawn keys in a record, independent of its offset.

    :param record: Any record of the stream.
    """
    match record:
        case KeyWithdrawal():
            return record.key_ids
        case ConfigurationSnapshot():
            return record.withdrawn_key_ids
        case _:
            return ()
