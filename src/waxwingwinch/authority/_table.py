"""State derived from the stream ``duties``, identical at all readers."""

from typing import Any

from attrs import evolve, frozen

from waxwingwinch._types import Epoch
from waxwingwinch.authority._records import (
    NO_VERSION,
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    DutyReset,
    DutySnapshot,
    DutyState,
    DutyVersion,
)


@frozen
class _BufferedRecord:
    """A record read before the table was anchored."""

    offset: int
    body: Any
    now_seconds: float


class DutyTable:
    """
    Versions and holders of all duties.

    A record is valid if it names the current version of its duty. A table
    that starts after the first record of the stream is *anchored* only by a
    snapshot or a reset; until then it buffers records and contains no duty.

    :param first_offset: Offset of the first record to apply; with 0 the
        table is anchored at once.
    """

    def __init__(self, first_offset: int = 0) -> None:
        self._clear(first_offset)

    def _clear(self, first_offset: int) -> None:
        self._states: dict[str, DutyState] = {}
        self._read_seconds: dict[str, float] = {}
        #: Version of the duties without a state: offset of the last reset;
        #: NO_VERSION without a reset.
        self._baseline = NO_VERSION
        self._baseline_seconds = 0.0
        self._first_offset = first_offset
        self._next_offset = first_offset
        self._anchored = first_offset == 0
        self._buffer: list[_BufferedRecord] = []
        #: Monotonic time at which the last snapshot was read; None before.
        self.snapshot_seconds: float | None = None

    @property
    def anchored(self) -> bool:
        """True once the state of all duties is known."""
        return self._anchored

    def state(self, duty: str) -> DutyState | None:
        """Return the state of a duty; None before its first valid claim."""
        return self._states.get(duty)

    def version(self, duty: str) -> int:
        """Return the version that the next record of a duty has to name."""
        state = self._states.get(duty)
        return self._baseline if state is None else state.version

    def read_seconds(self, duty: str) -> float:
        """Return when the record of a duty's current version was read."""
        return self._read_seconds.get(duty, self._baseline_seconds)

    def may_have_holder(self, duty: str) -> bool:
        """Return True if the duty may be under a lease.

        This holds after a claim or reset that no release followed.
        """
        state = self._states.get(duty)
        if state is not None:
            return not state.released
        return self._baseline != NO_VERSION

    def snapshot(self) -> DutySnapshot:
        """Return the state of all duties as a record."""
        return DutySnapshot(
            self._next_offset - 1, self._baseline, tuple(self._states.values())
        )

    def restart(self, first_offset: int) -> None:
        """
        Clear the table after missed records.

        :param first_offset: Offset of the first record to apply.
        """
        self._clear(first_offset)

    def apply(self, offset: int, body: Any, now_seconds: float) -> list[str]:
        """
        Apply the next record.

        :param offset: Offset of the record.
        :param body: Its decoded message; unknown types change nothing.
        :param now_seconds: Monotonic time at which the record was read.
        :returns: The duties whose state changed.
        """
        self._next_offset = offset + 1
        if isinstance(body, DutyReset):
            return self._reset(offset, now_seconds)
        if isinstance(body, DutySnapshot):
            self.snapshot_seconds = now_seconds
        if self._anchored:
            return self._apply_valid(offset, body, now_seconds)
        if isinstance(body, DutySnapshot):
            return self._anchor(body, now_seconds)
        self._buffer.append(_BufferedRecord(offset, body, now_seconds))
        return []

    def _apply_valid(self, offset: int, body: Any, now_seconds: float) -> list[str]:
        match body:
            case DutyClaim():
                changed = self._claim(offset, body)
            case DutyRenewal(items):
                changed = [d for item in items for d in self._advance(offset, item)]
            case DutyRelease(items):
                changed = [
                    d for item in items for d in self._advance(offset, item, True)
                ]
            case _:
                changed = []
        for duty in changed:
            self._read_seconds[duty] = now_seconds
        return changed

    def _claim(self, offset: int, claim: DutyClaim) -> list[str]:
        if claim.supersedes != self.version(claim.duty):
            return []
        self._states[claim.duty] = DutyState(
            claim.duty,
            offset,
            Epoch(offset),
            claim.holder,
            claim.holder_address,
            claim.token,
        )
        return [claim.duty]

    def _advance(
        self, offset: int, item: DutyVersion, released: bool = False
    ) -> list[str]:
        state = self._states.get(item.duty)
        if state is None or state.released:
            return []
        if (state.epoch, state.version) != (item.epoch, item.supersedes):
            return []
        self._states[item.duty] = evolve(state, version=offset, released=released)
        return [item.duty]

    def _reset(self, offset: int, now_seconds: float) -> list[str]:
        changed = list(self._states)
        self._states.clear()
        self._read_seconds.clear()
        self._buffer.clear()
        self._baseline = offset
        self._baseline_seconds = now_seconds
        self._anchored = True
        return changed

    def _anchor(self, snapshot: DutySnapshot, now_seconds: float) -> list[str]:
        """Load a snapshot unless records after its offset were missed."""
        if snapshot.up_to_offset < self._first_offset - 1:
            return []
        self._states = {state.duty: state for state in snapshot.states}
        self._baseline = snapshot.baseline
        self._baseline_seconds = now_seconds
        self._anchored = True
        buffered, self._buffer = self._buffer, []
        for record in buffered:
            if record.offset > snapshot.up_to_offset:
                self._apply_valid(record.offset, record.body, record.now_seconds)
        return list(self._states)
