"""A reader's copy of the configuration, whole or waiting for a base."""

from typing import Any

from attrs import define, field, frozen

from waxwingwinch.configuration._fold import (
    Accepted,
    FoldState,
    Refused,
    apply,
    state_of,
)
from waxwingwinch.configuration._records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    KeyWithdrawal,
)


@frozen
class Positioned:
    """
    A record at its place.

    :param offset: Its offset.
    :param record: The record.
    """

    offset: int
    record: Any


@frozen
class ChangeOutcome:
    """
    What became of one change.

    :param offset: Offset of its record.
    :param change: The record.
    :param result: Whether it was accepted.
    """

    offset: int
    change: ConfigurationChange
    result: Accepted | Refused


@define
class ConfigurationReplica:
    """
    Follows the stream from any retained offset to the one common state.

    A snapshot names the offset up to which it was folded. A reader that
    missed records starts from a snapshot whose offset is still retained and
    applies exactly the records from there on. A reader that missed nothing
    has no use for snapshots in the stream.

    Starting from the place of the snapshot's own record would be wrong: a
    change that was accepted between the making and the appending of the
    snapshot would be lost, and a rival of that change accepted in its place.

    :param state: The newest state; None before there was one.
    :param next_offset: First offset that is not in ``state``.
    :param gap_end: None while no record is missing after ``state``, else the
        first offset after the missing ones.
    :param held: Records since ``gap_end``, kept until a base is found.
    """

    state: FoldState | None = None
    next_offset: int = 0
    # Before anything is read, it is unknown whether the log goes back to
    # its first record.
    gap_end: int | None = 0
    held: list[Positioned] = field(factory=list)

    @property
    def is_whole(self) -> bool:
        """True if ``state`` includes every record that was read."""
        return self.gap_end is None

    def miss_until(self, first_offset: int) -> None:
        """
        Note that records can no longer be read.

        :param first_offset: The oldest offset that is held.
        """
        if self.gap_end is None and first_offset <= self.next_offset:
            return
        self.gap_end = max(first_offset, self.gap_end or 0)
        self.held = [item for item in self.held if item.offset >= first_offset]

    def read(self, offset: int, record: Any) -> tuple[ChangeOutcome, ...]:
        """
        Take the next record.

        :param offset: Its offset.
        :param record: The record.
        :returns: Outcomes of the changes that are now decided.
        """
        self.start_empty()
        if self.gap_end is None:
            return self._fold(Positioned(offset, record))
        self.held.append(Positioned(offset, record))
        if isinstance(record, ConfigurationSnapshot):
            return self.adopt(record)
        return ()

    def start_empty(self) -> None:
        """Begin without records, if the log can be read from its start."""
        if self.state is None and self.gap_end == 0:
            self.state = FoldState()
            self.gap_end = None

    def adopt(self, snapshot: ConfigurationSnapshot) -> tuple[ChangeOutcome, ...]:
        """
        Go on from a snapshot, if it is ahead of all that was folded.

        An older one is without effect, and so is one that leaves a gap.

        :param snapshot: From the stream or from a peer.
        :returns: Outcomes of the held changes after it.
        """
        if snapshot.next_offset < max(self.next_offset, self.gap_end or 0):
            return ()
        if self.state is not None and snapshot.version < self.state.version:
            return ()
        self.state = state_of(snapshot)
        self.next_offset = snapshot.next_offset
        self.gap_end = None
        held, self.held = self.held, []
        outcomes: list[ChangeOutcome] = []
        for item in held:
            outcomes.extend(self._fold(item))
        return tuple(outcomes)

    def _fold(self, item: Positioned) -> tuple[ChangeOutcome, ...]:
        if self.state is None or item.offset < self.next_offset:
            return ()
        result = apply(self.state, item.record)
        self.next_offset = item.offset + 1
        if isinstance(result, Accepted):
            self.state = result.state
        if isinstance(item.record, ConfigurationChange):
            return (ChangeOutcome(item.offset, item.record, result),)
        return ()


def withdrawn_in(record: Any) -> tuple[str, ...]:
    """
    Return the withdrawn keys that a record names, wherever it stands.

    :param record: Any record of the stream.
    """
    match record:
        case KeyWithdrawal():
            return record.key_ids
        case ConfigurationSnapshot():
            return record.withdrawn_key_ids
        case _:
            return ()
