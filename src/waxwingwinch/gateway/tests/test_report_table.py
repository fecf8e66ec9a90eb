"""Tests that reports reach readers completely through any channel."""

import pytest
from attrs import define, evolve, field
from hypothesis import given, settings, strategies as st

from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.gateway._change_log import (
    CHANGE_SET_INTERVAL_SECONDS,
    IDLE_RESET_SECONDS,
    INITIAL_PLACEMENTS,
    MAX_CHANGE_SETS,
    ChangeLog,
    ChangeSetBuilder,
)
from waxwingwinch.gateway._change_packing import unpack_changes
from waxwingwinch.gateway._crash_messages import CrashEvidenceReport, CrashReport
from waxwingwinch.gateway._report_deltas import DeltaTracker
from waxwingwinch.gateway._report_messages import InstanceReport, PromptPlacement
from waxwingwinch.gateway._report_table import (
    MAX_RELAY_AGE_SECONDS,
    MAX_RELAYED_PLACEMENTS,
    ReceivedReport,
    ReportTable,
    merge_reports,
)

OWN, NEIGHBOUR, READER = (InstanceId(name) for name in ("own", "neighbour", "reader"))
E1, E2 = UpstreamId("e1"), UpstreamId("e2")
ALICE = CustomerId("alice")


def make_report(instance_id=NEIGHBOUR, running=None, **changes):
    running = running or {}
    report = InstanceReport(
        instance_id,
        f"{instance_id}-1",
        True,
        True,
        1,
        waiting_tokens={key: 100 * count for key, count in running.items()},
        running=running,
    )
    return evolve(report, **changes)


@define
class Instance:
    """One process: its work, received reports and passed-on reports."""

    name: str
    now_seconds: float = 100.0
    sequence: int = 0
    start: int = 1
    running: dict[UpstreamId, int] = field(factory=dict)
    totals: dict[CustomerId, float] = field(factory=dict)
    report_table: ReportTable = field(init=False)
    log: ChangeLog = field(init=False)
    builder: ChangeSetBuilder = field(factory=ChangeSetBuilder)
    numbers: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self):
        self.reset()

    def reset(self):
        """Discard all reports."""
        self.report_table = ReportTable(InstanceId(self.name))
        self.log = ChangeLog(self.report_table.recent)
        self.builder = ChangeSetBuilder()
        self.numbers = {}
        self.sequence = 0

    def restart(self):
        self.start += 1
        self.running, self.totals = {}, {}
        self.reset()

    def report(self):
        self.sequence += 1
        return make_report(
            InstanceId(self.name),
            dict(self.running),
            incarnation=f"{self.name}-{self.start}",
            quota_totals=dict(self.totals),
            sequence=self.sequence,
        )

    def refresh(self, now_seconds):
        self.report_table.set_local(self.report(), now_seconds)

    def report_to(self, other, now_seconds, is_lost=False):
        """Report to another instance, as in an exchange request."""
        self.refresh(now_seconds)
        own_reports = [
            received
            for received in self.report_table.recent(now_seconds)
            if self.is_own(received)
        ]
        changes = self.builder.build(own_reports, now_seconds)
        if is_lost:
            self.builder = ChangeSetBuilder()
        else:
            other.report_table.apply(f"instance {self.name}", changes, now_seconds)

    def read_from(self, other, now_seconds, is_lost=False):
        """Request the changes from another instance."""
        other.refresh(now_seconds)
        number, sent = other.log.since(self.numbers.get(other.name, 0), now_seconds)
        if is_lost:
            self.numbers[other.name] = 0
            return []
        self.numbers[other.name] = number
        changes = [unpack_changes(change_set.payload) for change_set in sent]
        for change_set, packed in zip(changes, sent, strict=True):
            self.report_table.apply(
                other.name, change_set, now_seconds - packed.age_seconds
            )
        return changes

    def is_own(self, received):
        return received.full_report.instance_id == self.name

    def knows(self, other):
        sent = self.report_table.get_report(InstanceId(other.name))
        if sent is None or sent.incarnation != f"{other.name}-{other.start}":
            return False
        return (
            sent.running == other.running
            and sent.quota_totals == other.totals
            and sent.waiting_tokens == {k: 100 * n for k, n in other.running.items()}
        )


STEP_SECONDS = 0.3
#: Event of a step: the source's work changes, reports take one of two channels
#: or are lost, or a process restarts.
events = st.lists(
    st.one_of(
        st.tuples(st.just("work"), st.sampled_from([E1, E2]), st.integers(0, 3)),
        st.tuples(st.just("admit"), st.integers(1, 9)),
        st.tuples(st.just("report"), st.integers(0, 1), st.booleans()),
        st.tuples(st.just("read"), st.integers(0, 1), st.booleans()),
        st.tuples(st.just("relay"), st.booleans()),
        st.tuples(st.just("restart"), st.integers(0, 3)),
        st.tuples(st.just("silence"), st.floats(0.5, 8.0)),
    ),
    max_size=40,
)


@define
class Cluster:
    """A source whose reports reach a reader through two collectors."""

    source: Instance = field(factory=lambda: Instance("source"))
    collectors: tuple[Instance, Instance] = field(
        factory=lambda: (Instance("first"), Instance("second"))
    )
    reader: Instance = field(factory=lambda: Instance("reader"))
    now_seconds: float = 100.0

    def apply_event(self, event):
        self.now_seconds += STEP_SECONDS
        source, reader = self.source, self.reader
        match event:
            case "work", engine, count:
                source.running.pop(engine, None)
                if count:
                    source.running[engine] = count
            case "admit", units:
                source.totals = {ALICE: source.totals.get(ALICE, 0.0) + units}
            case "report", which, is_lost:
                source.report_to(self.collectors[which], self.now_seconds, is_lost)
            case "read", which, is_lost:
                reader.read_from(self.collectors[which], self.now_seconds, is_lost)
            case "relay", is_lost:
                first, second = self.collectors
                first.read_from(second, self.now_seconds, is_lost)
            case "restart", which:
                (source, *self.collectors, reader)[which].restart()
            case "silence", pause_seconds:
                self.now_seconds += pause_seconds

    def settle(self):
        """Pass on the source's reports through one collector several times."""
        self.source.builder = ChangeSetBuilder()
        for _ in range(3):
            self.now_seconds += STEP_SECONDS
            self.source.report_to(self.collectors[0], self.now_seconds)
            self.reader.read_from(
                self.collectors[0], self.now_seconds + CHANGE_SET_INTERVAL_SECONDS
            )


@settings(max_examples=300, deadline=None)
@given(events)
def test_reader_converges_after_losses_and_restarts(happened):
    """Collectors are partitioned, killed and replaced."""
    cluster = Cluster()
    for event in happened:
        cluster.apply_event(event)
    cluster.settle()
    assert cluster.reader.knows(cluster.source)


@given(st.lists(st.dictionaries(st.sampled_from([E1, E2]), st.integers(1, 5))))
def test_merged_deltas_equal_the_full_report(loads):
    sent, known = DeltaTracker(), None
    for running in [{}, *loads]:
        known = merge_reports(known, sent.make_delta(make_report(running=running)))
        assert known.running == running
        assert known.loads() == make_report(running=running).loads()


def read_once(instances, now_seconds=100.0):
    source, collector, reader = instances
    source.report_to(collector, now_seconds)
    return reader.read_from(collector, now_seconds)


@pytest.fixture
def instances():
    return Instance("source"), Instance("collector"), Instance("reader")


def reports_of(changes, name="source"):
    return [
        relayed.report
        for change_set in changes
        for relayed in change_set.reports
        if relayed.report.instance_id == name
    ]


def test_change_sets_contain_only_changes(instances):
    """Guards against traffic of hundreds of unchanged instances."""
    source = instances[0]
    source.running, source.totals = {E1: 1, E2: 2}, {ALICE: 5.0}
    (first,) = read_once(instances, 100.0)
    (second,) = read_once(instances, 100.4)
    source.running = {E1: 1, E2: 3}
    (third,) = read_once(instances, 100.8)
    assert first.is_full
    assert reports_of([first])[0].quota_totals == {ALICE: 5.0}
    assert not second.reports
    assert set(second.ages_seconds) == {"source", "collector"}
    (report,) = reports_of([third])
    assert (report.running, report.quota_totals) == ({E2: 3}, {})
    assert instances[2].knows(source)


def test_a_change_set_is_encoded_once_for_all_readers(instances):
    source, collector, reader = instances
    source.report_to(collector, 100.0)
    readers = [Instance(f"reader-{number}") for number in range(5)]
    for peer in readers:
        peer.read_from(collector, 100.0)
    source.running = {E1: 1}
    source.report_to(collector, 100.4)
    sent = [collector.log.since(peer.numbers["collector"], 100.4) for peer in readers]
    assert len({payload.payload for _, (payload,) in sent}) == 1


def test_slow_readers_receive_the_missed_or_a_full_change_set(instances):
    source, collector, reader = instances
    read_once(instances)
    now_seconds = 100.0
    for number in range(MAX_CHANGE_SETS + 2):
        now_seconds += CHANGE_SET_INTERVAL_SECONDS
        source.running = {E1: number + 1}
        source.report_to(collector, now_seconds)
        collector.log.since(0, now_seconds)
        if number == 2:
            missed = reader.read_from(collector, now_seconds)
            assert [change_set.is_full for change_set in missed] == [False] * 3
    reader.read_from(collector, now_seconds)
    assert reader.knows(source)
    late = Instance("late")
    late.numbers["collector"] = collector.log.since(0, now_seconds)[0] - 50
    (full_report,) = late.read_from(collector, now_seconds)
    assert full_report.is_full
    assert late.knows(source)


def test_age_is_counted_from_the_report(instances):
    source, collector, reader = instances
    source.report_to(collector, 100.0)
    reader.read_from(collector, 100.25)
    ages = {
        received.full_report.instance_id: 100.25 - received.made_seconds
        for received in reader.report_table.recent(100.25)
    }
    assert ages["source"] == pytest.approx(0.25, abs=0.01)


def test_a_silent_instance_is_omitted_until_it_reports_again(instances):
    source, collector, reader = instances
    source.running = {E1: 1}
    read_once(instances, 100.0)
    silent = reader.read_from(collector, 100.0 + MAX_RELAY_AGE_SECONDS)
    assert "source" not in silent[0].ages_seconds and not reports_of(silent)
    later_changes = read_once(instances, 103.0)
    assert reports_of(later_changes)[0].is_full
    assert reader.knows(source)


def test_an_unread_log_starts_over(instances):
    source, collector, reader = instances
    read_once(instances, 100.0)
    source.running = {E2: 1}
    (changes,) = read_once(instances, 100.0 + 2 * IDLE_RESET_SECONDS)
    assert changes.is_full
    assert reader.knows(source)


def test_a_new_incarnation_is_reported_in_full(instances):
    source, _, reader = instances
    source.running = {E1: 1}
    read_once(instances, 100.0)
    source.restart()
    read_once(instances, 101.0)
    assert reader.knows(source)


def test_a_change_undone_on_another_channel_is_not_missed():
    """Reports of an instance arrive through two collectors in turn."""
    source, first, second, reader = (
        Instance(name) for name in ("source", "first", "second", "reader")
    )
    source.running = {E1: 1}
    for collector in (first, second):
        source.report_to(collector, 100.0)
        source.builder = ChangeSetBuilder()
        reader.read_from(collector, 100.0)
    source.running = {E1: 2}
    source.report_to(second, 100.3)
    reader.read_from(second, 100.3)
    source.running = {E1: 1}
    source.builder = ChangeSetBuilder()
    for now_seconds in (100.6, 100.9):
        source.report_to(first, now_seconds)
        reader.read_from(first, now_seconds)
    assert reader.knows(source)


def test_a_new_reader_receives_few_placements():
    """Guards against load when half of a large deployment restarts at once."""
    placements = tuple(
        PromptPlacement(sequence, E1, ("p",), (100,)) for sequence in range(1, 200)
    )
    source, collector, reader = (
        Instance(name) for name in ("source", "collector", "reader")
    )
    report = evolve(make_report(), placements=placements, sequence=1)
    report_table = collector.report_table
    report_table.set_local(report, 100.0)
    source.report_table.set_local(report, 100.0)
    changes = ChangeSetBuilder().build(source.report_table.recent(100.0), 100.0)
    sent = changes.reports[0].report.placements
    assert [placement.sequence for placement in sent] == list(
        range(200 - INITIAL_PLACEMENTS, 200)
    )
    merged = merge_reports(report, evolve(report, is_full=False))
    assert len(merged.placements) == MAX_RELAYED_PLACEMENTS


# Guards against crashes of engines that don't reach the other cells.
def test_crash_evidence_is_passed_on_as_long_as_it_is_reported():
    crash = CrashReport(1, E1, 1, ("first", "deadly"), 0, 0.3, 0.2)
    builder, table = ChangeSetBuilder(), ReportTable(READER)
    evidences = [CrashEvidenceReport()]
    evidences += [
        CrashEvidenceReport((evolve(crash, seen_age_seconds=age),))
        for age in (0.2, 0.5)
    ]
    evidences += [CrashEvidenceReport()]
    for sequence, evidence in enumerate(evidences):
        report = make_report(sequence=sequence, crash_evidence=evidence)
        received = ReceivedReport(report, 100.0 + sequence)
        changes = builder.build([received], 100.0 + sequence)
        table.apply("cell", changes, 100.0 + sequence)
        if not evidence.is_empty:
            (known,) = table.recent(100.0 + sequence)
            assert known.full_report.crash_evidence == evidence
