"""Readers of digests know what the instances of the cell told."""

from attrs import define, evolve, field
from hypothesis import given, strategies as st

from waxwingwinch._types import CustomerId, InstanceId, UpstreamId
from waxwingwinch.gateway._digests import (
    READER_GONE_SECONDS,
    RELAYED_MAX_SECONDS,
    DigestBook,
    merge_reports,
)
from waxwingwinch.gateway._report_messages import (
    DigestRequest,
    InstanceReport,
    PromptPlacement,
)
from waxwingwinch.gateway._told import ToldReports

OWN, NEIGHBOUR, READER = (InstanceId(name) for name in ("own", "beside", "reader"))
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
class Cell:
    """A book, and what one reader has put together from its digests."""

    book: DigestBook = field(factory=DigestBook)
    number: int = 0
    known: dict[str, InstanceReport] = field(factory=dict)

    def read(self, now_seconds, is_lost=False):
        request = DigestRequest(self.number)
        self.book.put_own(make_report(OWN), now_seconds)
        digest = self.book.digest(READER, request, now_seconds)
        if is_lost:
            return digest
        self.number = digest.number
        for relayed in digest.reports:
            key = relayed.report.instance_id
            self.known[key] = merge_reports(self.known.get(key), relayed.report)
        return digest


reports = st.lists(
    st.dictionaries(st.sampled_from([E1, E2]), st.integers(1, 5)), min_size=1
)


@given(reports, st.data())
def test_reader_knows_what_the_neighbour_told(loads, data):
    cell, told = Cell(), ToldReports()
    for now_seconds, running in enumerate(loads):
        cell.book.heard(told.reduce(make_report(running=running)), now_seconds)
        cell.read(now_seconds, is_lost=data.draw(st.booleans()))
    cell.read(len(loads) - 1)
    assert cell.known[NEIGHBOUR].running == loads[-1]
    assert cell.known[NEIGHBOUR].loads() == make_report(running=loads[-1]).loads()


def test_digest_tells_changes_only():
    cell = Cell()
    cell.book.heard(make_report(running={E1: 1}, quota_totals={ALICE: 5.0}), 0.0)
    first = cell.read(0.0)
    second = cell.read(0.3)
    assert [one.report.is_whole for one in first.reports] == [True, True]
    assert first.reports[1].report.quota_totals == {ALICE: 5.0}
    assert not second.reports[1].report.is_whole
    assert not second.reports[1].report.running
    assert not second.reports[1].report.quota_totals


def test_a_digest_that_was_lost_is_made_up_for():
    cell = Cell()
    cell.book.heard(make_report(running={E1: 1}), 0.0)
    cell.read(0.0)
    cell.book.heard(make_report(running={E2: 1}), 0.2)
    cell.read(0.3, is_lost=True)
    assert cell.read(0.6).reports[1].report.is_whole
    assert cell.known[NEIGHBOUR].running == {E2: 1}


def test_age_counts_from_the_report():
    cell = Cell()
    cell.book.heard(make_report(), 5.0)
    assert cell.read(5.25).reports[1].age_seconds == 0.25


def test_a_silent_neighbour_is_passed_over_until_it_is_heard_again():
    cell = Cell()
    cell.book.heard(make_report(running={E1: 1}), 0.0)
    cell.read(0.0)
    silent = cell.read(RELAYED_MAX_SECONDS)
    assert [one.report.instance_id for one in silent.reports] == [OWN]
    cell.book.heard(make_report(running={E1: 1}), 3.0)
    assert cell.read(3.0).reports[1].report.is_whole


def test_a_new_start_is_told_whole():
    cell = Cell()
    cell.book.heard(make_report(running={E1: 1}), 0.0)
    cell.read(0.0)
    cell.book.heard(make_report(incarnation="beside-2"), 0.2)
    cell.read(0.3)
    assert cell.known[NEIGHBOUR].running == {}


def test_placements_that_are_known_are_not_told_again():
    """Pattern: many readers change to another instance of a cell."""
    placements = tuple(
        PromptPlacement(sequence, E1, ("p",), (100,)) for sequence in range(1, 9)
    )
    book = DigestBook()
    book.heard(make_report(placements=placements), 0.0)
    request = DigestRequest(0, {"beside-1": 6})
    digest = book.digest(READER, request, 0.0)
    told = digest.reports[0].report.placements
    assert [one.sequence for one in told] == [7, 8]


def test_reader_that_went_away_is_forgotten():
    cell = Cell()
    cell.read(0.0)
    late_seconds = READER_GONE_SECONDS + 1.0
    assert cell.read(late_seconds).reports[0].report.is_whole
    assert not cell.read(late_seconds).reports[0].report.is_whole
