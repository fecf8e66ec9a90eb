"""At most one claim on a key is executed, whatever readers have read."""

import random

from attrs import define, field
from hypothesis import given, settings, strategies as st

from waxwingwinch._types import InstanceId, ProcessId
from waxwingwinch.contracts import StoredAnswer
from waxwingwinch.idempotency import (
    Claim,
    ClaimAnswered,
    ClaimNotRun,
    ClaimState,
    ClaimTable,
    ClaimUnknown,
)
from waxwingwinch.streams import AppliedRecord, RecordId

KEY = b"key"
ANSWER = StoredAnswer(200, (), b"ok")
RUNNER = ProcessId(InstanceId("i"), "start")
OPERATION_COUNT = 250


def claim(claim_id):
    return Claim(claim_id, KEY, "print", RUNNER)


def fold(*records):
    table = ClaimTable()
    for offset, record in enumerate(records):
        table.apply(AppliedRecord(offset, RecordId("w", offset), record, 0.0))
    return table


@define
class Reader:
    table: ClaimTable
    next_offset: int
    pending: set[str] = field(factory=set)
    won: set[str] = field(factory=set)


@define
class ClaimSimulation:
    """A log whose readers claim keys, crash, lag behind and abandon claims."""

    rng: random.Random
    log: list[object] = field(factory=list)
    first_offset: int = 0
    delayed: list[object] = field(factory=list)
    readers: list[Reader] = field(factory=list)
    execution_offsets: dict[str, list[int]] = field(factory=dict)
    first_offset_at: dict[int, int] = field(factory=dict)
    claim_count: int = 0
    win_count: int = 0

    def step(self):
        reader = self.rng.choice(self.readers)
        actions = [
            (3, lambda: self.submit_claim(reader)),
            (20, lambda: self.read(reader)),
            (8, lambda: self.finish(reader)),
            (1, lambda: self.abandon(reader)),
            (3, self.append_delayed),
            (0.2, lambda: self.restart(reader)),
            (2, self.expire),
        ]
        self.rng.choices(actions, [weight for weight, _ in actions])[0][1]()

    def submit_claim(self, reader):
        self.claim_count += 1
        claim_id = f"c{self.claim_count}"
        reader.pending.add(claim_id)
        if self.rng.random() < 0.3:
            self.delayed.append(claim(claim_id))
        else:
            self.log.append(claim(claim_id))

    def read(self, reader):
        """Read up to the end of the log, or only one record."""
        end = self.rng.choice([len(self.log), reader.next_offset + 1])
        if reader.next_offset < self.first_offset:
            reader.next_offset = self.first_offset
            # A reader that missed records abandons its pending claims.
            while reader.pending:
                self.abandon(reader)
        for offset in range(reader.next_offset, min(end, len(self.log))):
            record = self.log[offset]
            reader.table.apply(
                AppliedRecord(offset, RecordId("w", offset), record, 0.0)
            )
            reader.next_offset = offset + 1
            if isinstance(record, Claim) and record.claim_id in reader.pending:
                self.decide(reader, record.claim_id, offset)
        if not reader.pending:
            # The store removes expired claims only after the longest duration
            # of a claim.
            reader.table.expire(self.first_offset)

    def decide(self, reader, claim_id, offset):
        reader.pending.discard(claim_id)
        found = reader.table.find(KEY, claim_id)
        if found is None or not found.has_won:
            self.log.append(ClaimNotRun(claim_id, KEY))
            return
        for other_id, offsets in self.execution_offsets.items():
            earlier = [
                other_offset for other_offset in offsets if other_offset < offset
            ]
            # All records of the other execution had expired from the log.
            assert max(earlier) < self.first_offset_at[offset], (other_id, claim_id)
        reader.won.add(claim_id)
        self.win_count += 1
        self.execution_offsets[claim_id] = [offset]

    def finish(self, reader):
        if not reader.won:
            return
        claim_id = self.rng.choice(sorted(reader.won))
        reader.won.discard(claim_id)
        outcomes = ["answered", "unknown", "silent", "not run"]
        outcome = self.rng.choices(outcomes, [1, 1, 1, 9])[0]
        if outcome == "answered":
            self.execution_offsets[claim_id].append(len(self.log))
            self.log.append(ClaimAnswered(claim_id, KEY, "print", ANSWER))
        elif outcome == "unknown":
            self.execution_offsets[claim_id].append(len(self.log))
            self.log.append(ClaimUnknown(claim_id, KEY, "print"))
        elif outcome == "not run":
            del self.execution_offsets[claim_id]
            self.log.append(ClaimNotRun(claim_id, KEY))

    def abandon(self, reader):
        if reader.pending:
            claim_id = self.rng.choice(sorted(reader.pending))
            reader.pending.discard(claim_id)
            self.log.append(ClaimNotRun(claim_id, KEY))

    def append_delayed(self):
        if self.delayed:
            self.log.append(self.delayed.pop(self.rng.randrange(len(self.delayed))))

    def restart(self, reader):
        reader.table, reader.next_offset = ClaimTable(), self.first_offset
        reader.pending, reader.won = set(), set()

    def expire(self):
        if self.first_offset < len(self.log):
            self.first_offset += self.rng.randint(0, 8)
            self.first_offset = min(self.first_offset, len(self.log))

    def record_first_offsets(self):
        """Record the oldest retained offset at the append of each record."""
        for offset in range(len(self.first_offset_at), len(self.log)):
            self.first_offset_at[offset] = self.first_offset


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_two_claims_on_a_key_are_never_executed_within_the_retention(seed):
    simulation = ClaimSimulation(random.Random(seed))
    simulation.readers = [Reader(ClaimTable(), 0) for _ in range(3)]
    for _ in range(OPERATION_COUNT):
        simulation.step()
        simulation.record_first_offsets()


def test_the_simulation_executes_claims():
    win_count = 0
    for seed in range(40):
        simulation = ClaimSimulation(random.Random(seed))
        simulation.readers = [Reader(ClaimTable(), 0) for _ in range(3)]
        for _ in range(OPERATION_COUNT):
            simulation.step()
            simulation.record_first_offsets()
        win_count += simulation.win_count
    assert win_count > 100


def test_a_key_is_free_after_its_request_was_not_executed():
    table = fold(claim("a"), ClaimNotRun("a", KEY), claim("b"))
    assert table.find(KEY, "b").has_won


def test_a_claim_that_lost_never_wins():
    table = fold(claim("a"), claim("b"), ClaimNotRun("a", KEY), claim("c"))
    assert not table.find(KEY, "b").has_won
    assert not table.find(KEY, "c").has_won


def test_a_claim_read_after_being_abandoned_is_ignored():
    table = fold(ClaimNotRun("a", KEY), claim("a"), claim("b"))
    assert table.find(KEY, "a") is None
    assert table.find(KEY, "b").has_won


def test_a_response_is_found_after_the_record_of_its_claim_expired():
    answered = ClaimAnswered("a", KEY, "print", ANSWER)
    table = fold(claim("a"), answered)
    table.expire(1)
    assert table.deciding_claim(KEY).state is ClaimState.ANSWERED
    table.expire(2)
    assert table.deciding_claim(KEY) is None
    assert len(table) == 0


def test_a_not_run_record_does_not_release_an_executed_claim():
    answered = ClaimAnswered("a", KEY, "print", ANSWER)
    table = fold(claim("a"), answered, ClaimNotRun("a", KEY))
    assert table.deciding_claim(KEY).answer == ANSWER
