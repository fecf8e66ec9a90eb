"""Usage is included in exactly one window, whichever process reports it."""

import random
from collections.abc import Callable
from functools import partial

from attrs import define, field
from hypothesis import given, settings, strategies as st

from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.streams import AppliedRecord, RecordId
from waxwingwinch.usage import (
    CounterName,
    Counters,
    UsageCounts,
    UsageRow,
    Window,
    WindowFixed,
    WindowTable,
    build_report,
    fix_window,
    next_window,
)

WINDOW_SECONDS = 60
OPERATIONS = 200
CUSTOMER = CustomerId("tahi")


def name(number=0, start=0, customer=CUSTOMER):
    source = ProcessId(InstanceId(f"i{number}"), "start")
    return CounterName(source, start, customer)


def row(requests, **options):
    return UsageRow(name(**options), UsageCounts(requests=requests))


counts = st.builds(UsageCounts, *[st.integers(0, 50)] * 5)
rows = st.builds(
    UsageRow, st.builds(name, st.integers(0, 2), st.sampled_from([0, 60])), counts
)


@given(st.lists(rows, max_size=12), st.randoms())
def test_merge_is_independent_of_order_duplicates_and_grouping(usage_rows, rng):
    one, two = Counters(), Counters()
    one.merge(tuple(usage_rows))
    shuffled = usage_rows + usage_rows[::2]
    rng.shuffle(shuffled)
    for single in shuffled:
        two.merge((single,))
    key = repr
    assert sorted(one.rows(0, 120), key=key) == sorted(two.rows(0, 120), key=key)


def test_changes_returns_only_counters_changed_since_the_version():
    counters = Counters()
    counters.add(name(), UsageCounts(requests=1))
    version, changed = counters.changes(0)
    assert changed == (row(1),)
    assert counters.changes(version) == (version, ())
    counters.merge(changed)
    assert counters.changes(version) == (version, ())


def apply(table, offset, record):
    table.apply(AppliedRecord(offset, RecordId("w", offset), record, 0.0))


def fixed(table, usage_rows, start=0):
    window = Window(start, start + WINDOW_SECONDS)
    return fix_window(table, window, usage_rows, Epoch(1))


def test_late_usage_is_carried_over_and_counted_as_carried():
    table = WindowTable()
    apply(table, 0, fixed(table, [row(5)]))
    second = fixed(table, [row(7), row(3, start=60)], start=60)
    (usage,) = second.customers
    assert (usage.requests, usage.carried_requests) == (5, 2)


def test_the_first_of_two_records_of_a_window_is_valid():
    table = WindowTable()
    one, two = fixed(table, [row(5)]), fixed(table, [row(6)])
    apply(table, 0, one)
    apply(table, 1, two)
    assert table.unacknowledged() == [one]


def test_a_record_of_a_stale_reporter_is_invalid():
    table = WindowTable()
    first = fixed(table, [row(5)])
    apply(table, 0, first)
    stale = fixed(table, [row(9), row(1, start=60)], start=60)
    newer = fixed(table, [row(8), row(1, start=60)], start=60)
    apply(table, 1, newer)
    apply(table, 2, stale)
    assert table.unacknowledged() == [first, newer]
    assert table.included(name()).requests == 8


def test_windows_are_contiguous_after_a_long_outage():
    table = WindowTable()
    apply(table, 0, fixed(table, []))
    assert next_window(table, WINDOW_SECONDS, 500.0) == Window(60, 120)
    assert next_window(table, WINDOW_SECONDS, 122.0) is None


def test_windows_are_contiguous_after_a_changed_length():
    table = WindowTable()
    apply(table, 0, fixed(table, [], start=60))
    assert next_window(table, 300, 1_000.0) == Window(120, 300)


def test_after_a_log_gap_unknown_usage_is_not_carried_over():
    table = WindowTable()
    table.reset_after_gap()
    assert fixed(table, [row(5)], start=60).customers == ()


def test_a_late_reader_discards_an_invalid_first_record():
    whole, late = WindowTable(), WindowTable()
    first = fixed(whole, [row(1)])
    apply(whole, 0, first)
    second = fixed(whole, [], start=60)
    void = fixed(whole, [row(9)], start=60)
    apply(whole, 1, second)
    third = fixed(whole, [], start=120)
    late.reset_after_gap()
    apply(late, 2, void)
    apply(late, 3, third)
    apply(whole, 2, void)
    apply(whole, 3, third)
    assert late.last == whole.last == third
    assert late.unacknowledged() == [third]


def test_a_window_record_survives_encoding():
    record = fixed(WindowTable(), [row(5)])
    assert decode_message(encode_message(record)) == record


@define
class ReporterSimulation:
    """Lagging reporters and partial replies of entries on a shared log."""

    rng: random.Random
    log: list[WindowFixed] = field(factory=list)
    pending: list[WindowFixed] = field(factory=list)
    expected_counts: dict[CounterName, UsageCounts] = field(factory=dict)
    tables: list[WindowTable] = field(factory=lambda: [WindowTable(), WindowTable()])
    read_offsets: list[int] = field(factory=lambda: [0, 0])
    sent: dict[int, object] = field(factory=dict)

    def use(self):
        start = 60 * self.rng.randint(0, max(1, len(self.log)))
        counter = name(self.rng.randint(0, 2), start)
        known = self.expected_counts.get(counter, UsageCounts())
        self.expected_counts[counter] = known.plus(
            UsageCounts(requests=1, output_tokens=3)
        )

    def follow(self, number):
        table = self.tables[number]
        for offset in range(self.read_offsets[number], len(self.log)):
            apply(table, offset, self.log[offset])
        self.read_offsets[number] = len(self.log)

    def fix(self, number):
        seen = [
            UsageRow(counter, counts)
            for counter, counts in self.expected_counts.items()
            if self.rng.random() < 0.7
        ]
        table = self.tables[number]
        start = table.last.window_end_seconds if table.last else 0
        self.pending.append(fixed(table, seen, start))

    def append(self):
        if self.pending:
            index = self.rng.randrange(len(self.pending))
            self.log.append(self.pending.pop(index))

    def send(self, number):
        for window in self.tables[number].unacknowledged():
            report = build_report(window, Epoch(0))
            known = self.sent.setdefault(window.window_start_seconds, report)
            assert known == report

    def included(self):
        self.follow(0)
        self.follow(1)
        return {
            counter: self.tables[0].included(counter)
            for counter in self.expected_counts
        }


@settings(max_examples=100, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_no_usage_is_reported_twice_or_lost(seed):
    rng = random.Random(seed)
    reporters = ReporterSimulation(rng)
    for _ in range(OPERATIONS):
        number = rng.randint(0, 1)
        actions: list[Callable[[], None]] = [
            reporters.use,
            reporters.append,
            partial(reporters.follow, number),
            partial(reporters.fix, number),
            partial(reporters.send, number),
        ]
        rng.choice(actions)()
    for counter, counted in reporters.included().items():
        assert counted.excess_over(reporters.expected_counts[counter]).is_zero()
    # Once all counters are collected, the next window includes missing usage.
    table = reporters.tables[0]
    start = table.last.window_end_seconds if table.last else 0
    usage_rows = [
        UsageRow(counter, counts)
        for counter, counts in reporters.expected_counts.items()
    ]
    reporters.log.append(fixed(table, usage_rows, start))
    for counter, counted in reporters.included().items():
        if counter.window_start_seconds < start + WINDOW_SECONDS:
            assert counted == reporters.expected_counts[counter]
