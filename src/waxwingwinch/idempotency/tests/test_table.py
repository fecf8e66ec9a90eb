"""At most one claim on a key runs, whatever readers have seen."""

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
OPERATIONS = 250


def claim(name):
    return Claim(name, KEY, "print", RUNNER)


def fold(*records):
    table = ClaimTable()
    for offset, record in enumerate(records):
        table.apply(AppliedRecord(offset, RecordId("w", offset), record, 0.0))
    return table


@define
class Reader:
    table: ClaimTable
    next_offset: int
    asked: set[str] = field(factory=set)
    won: set[str] = field(factory=set)


@define
class History:
    """A log with readers that claim, crash, lag behind and give up."""

    rng: random.Random
    log: list[object] = field(factory=list)
    first_offset: int = 0
    late: list[object] = field(factory=list)
    readers: list[Reader] = field(factory=list)
    runs: dict[str, list[int]] = field(factory=dict)
    first_at: dict[int, int] = field(factory=dict)
    names: int = 0
    wins: int = 0

    def operate(self):
        reader = self.rng.choice(self.readers)
        actions = [
            (3, lambda: self.ask(reader)),
            (20, lambda: self.read(reader)),
            (8, lambda: self.finish(reader)),
            (1, lambda: self.give_up(reader)),
            (3, self.append_late),
            (0.2, lambda: self.restart(reader)),
            (2, self.expire),
        ]
        self.rng.choices(actions, [weight for weight, _ in actions])[0][1]()

    def ask(self, reader):
        self.names += 1
        name = f"c{self.names}"
        reader.asked.add(name)
        if self.rng.random() < 0.3:
            self.late.append(claim(name))
        else:
            self.log.append(claim(name))

    def read(self, reader):
        """Read up to the end, or only a part."""
        end = self.rng.choice([len(self.log), reader.next_offset + 1])
        if reader.next_offset < self.first_offset:
            reader.next_offset = self.first_offset
            # A reader that missed records gives up what it waits for.
            while reader.asked:
                self.give_up(reader)
        for offset in range(reader.next_offset, min(end, len(self.log))):
            record = self.log[offset]
            reader.table.apply(
                AppliedRecord(offset, RecordId("w", offset), record, 0.0)
            )
            reader.next_offset = offset + 1
            if isinstance(record, Claim) and record.claim_id in reader.asked:
                self.decide(reader, record.claim_id, offset)
        if not reader.asked:
            # The store forgets later than any claim may take.
            reader.table.expire(self.first_offset)

    def decide(self, reader, name, offset):
        reader.asked.discard(name)
        found = reader.table.find(KEY, name)
        if found is None or not found.has_won:
            self.log.append(ClaimNotRun(name, KEY))
            return
        for other, offsets in self.runs.items():
            earlier = [
                other_offset for other_offset in offsets if other_offset < offset
            ]
            # All that the log held of the other run had left it already.
            assert max(earlier) < self.first_at[offset], (other, name)
        reader.won.add(name)
        self.wins += 1
        self.runs[name] = [offset]

    def finish(self, reader):
        if not reader.won:
            return
        name = self.rng.choice(sorted(reader.won))
        reader.won.discard(name)
        kinds = ["answered", "unknown", "silent", "not run"]
        kind = self.rng.choices(kinds, [1, 1, 1, 9])[0]
        if kind == "answered":
            self.runs[name].append(len(self.log))
            self.log.append(ClaimAnswered(name, KEY, "print", ANSWER))
        elif kind == "unknown":
            self.runs[name].append(len(self.log))
            self.log.append(ClaimUnknown(name, KEY, "print"))
        elif kind == "not run":
            del self.runs[name]
            self.log.append(ClaimNotRun(name, KEY))

    def give_up(self, reader):
        if reader.asked:
            name = self.rng.choice(sorted(reader.asked))
            reader.asked.discard(name)
            self.log.append(ClaimNotRun(name, KEY))

    def append_late(self):
        if self.late:
            self.log.append(self.late.pop(self.rng.randrange(len(self.late))))

    def restart(self, reader):
        reader.table, reader.next_offset = ClaimTable(), self.first_offset
        reader.asked, reader.won = set(), set()

    def expire(self):
        if self.first_offset < len(self.log):
            self.first_offset += self.rng.randint(0, 8)
            self.first_offset = min(self.first_offset, len(self.log))

    def note_first_offsets(self):
        """Remember what the log held when each record was appended."""
        for offset in range(len(self.first_at), len(self.log)):
            self.first_at[offset] = self.first_offset


@settings(max_examples=200, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_two_claims_on_a_key_never_run_within_the_retention(seed):
    history = History(random.Random(seed))
    history.readers = [Reader(ClaimTable(), 0) for _ in range(3)]
    for _ in range(OPERATIONS):
        history.operate()
        history.note_first_offsets()


def test_the_schedules_do_run_claims():
    wins = 0
    for seed in range(40):
        history = History(random.Random(seed))
        history.readers = [Reader(ClaimTable(), 0) for _ in range(3)]
        for _ in range(OPERATIONS):
            history.operate()
            history.note_first_offsets()
        wins += history.wins
    assert wins > 100


def test_a_key_is_free_after_its_claim_did_not_run():
    table = fold(claim("a"), ClaimNotRun("a", KEY), claim("b"))
    assert table.find(KEY, "b").has_won


def test_a_claim_that_lost_never_wins():
    table = fold(claim("a"), claim("b"), ClaimNotRun("a", KEY), claim("c"))
    assert not table.find(KEY, "b").has_won
    assert not table.find(KEY, "c").has_won


def test_a_claim_that_turns_up_after_being_given_up_is_void():
    table = fold(ClaimNotRun("a", KEY), claim("a"), claim("b"))
    assert table.find(KEY, "a") is None
    assert table.find(KEY, "b").has_won


def test_an_answer_outlives_the_record_of_its_claim():
    answered = ClaimAnswered("a", KEY, "print", ANSWER)
    table = fold(claim("a"), answered)
    table.expire(1)
    assert table.holder(KEY).state is ClaimState.ANSWERED
    table.expire(2)
    assert table.holder(KEY) is None
    assert len(table) == 0


def test_a_not_run_record_never_frees_a_claim_that_ran():
    answered = ClaimAnswered("a", KEY, "print", ANSWER)
    table = fold(claim("a"), answered, ClaimNotRun("a", KEY))
    assert table.holder(KEY).answer == ANSWER
