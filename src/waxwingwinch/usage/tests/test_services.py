from typing import Any

import pytest

from waxwing_testbed.fakes import ManualClock, MemoryLog
from waxwingwinch._exceptions import PeerUnavailable, PlatformUnavailable
from waxwingwinch._types import CustomerId, Epoch, InstanceId, ProcessId, ZoneName
from waxwingwinch.configuration import Configuration
from waxwingwinch.contracts import UsageDelta
from waxwingwinch.kernel import SystemClock
from waxwingwinch.usage import (
    EntryUsageLedger,
    UsagePeer,
    UsagePush,
    UsageReportRunner,
    UsageRequest,
)

CUSTOMER = CustomerId("tahi")


class Link:
    """Calls the handlers of another ledger directly."""

    def __init__(self):
        self.ledger: Any = None
        self.is_down = False
        self.pushed_rows = 0

    def request(self, body, timeout_seconds):
        if self.is_down:
            raise PeerUnavailable("down")
        match body:
            case UsagePush(rows):
                self.pushed_rows += len(rows)
                self.ledger.handle_push(None, body)
                return None
            case UsageRequest():
                return self.ledger.handle_request(None, body)


class Fleet:
    def __init__(self, count=4):
        self.clock = ManualClock(0.0)
        self.links = [Link() for _ in range(count)]
        self.peers = [
            UsagePeer(InstanceId(f"i{n}"), ZoneName(f"z{n % 3}"), link)
            for n, link in enumerate(self.links)
        ]
        self.ledgers = [self._ledger(n) for n in range(count)]
        for link, ledger in zip(self.links, self.ledgers, strict=True):
            link.ledger = ledger

    def add(self, number, requests, wall_seconds=10.0):
        delta = UsageDelta(CUSTOMER, requests=requests)
        self.ledgers[number].add(delta, wall_seconds)

    def holders(self, number):
        return [
            n
            for n, ledger in enumerate(self.ledgers)
            if n != number
            and any(
                row.name.source.instance_id == f"i{number}"
                for row in ledger.handle_request(None, UsageRequest(0, 60)).rows
            )
        ]

    def _ledger(self, number):
        return EntryUsageLedger(
            ProcessId(InstanceId(f"i{number}"), "start"),
            ZoneName(f"z{number % 3}"),
            self.clock,
            Configuration,
            lambda: [peer for n, peer in enumerate(self.peers) if n != number],
        )


class FakeUsageIntake:
    def __init__(self):
        self.lost_responses = 0
        self.reports = []

    def submit(self, report):
        self.reports.append(report)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformUnavailable("lost", may_have_taken_effect=True)


class CountingLog(MemoryLog):
    """Counts reads that returned no record."""

    def __init__(self):
        super().__init__()
        self.empty_reads = 0

    def read(self, *arguments):
        page = super().read(*arguments)
        self.empty_reads += not page.records
        return page


def test_usage_is_copied_to_two_other_zones():
    fleet = Fleet()
    fleet.add(0, 5)
    fleet.ledgers[0].push_once()
    zones = [number % 3 for number in fleet.holders(0)]
    assert len(zones) == 2
    assert 0 not in zones


def test_a_push_contains_only_changed_counters():
    fleet = Fleet()
    fleet.add(0, 5)
    fleet.ledgers[0].push_once()
    before = sum(link.pushed_rows for link in fleet.links)
    fleet.ledgers[0].push_once()
    assert sum(link.pushed_rows for link in fleet.links) == before


def test_a_planned_stop_sends_all_counters_to_the_replicas():
    fleet = Fleet()
    fleet.ledgers[0].start()
    fleet.add(0, 5)
    fleet.ledgers[0].stop()
    assert len(fleet.holders(0)) == 2


@pytest.fixture
def reporting():
    fleet, intake, log = Fleet(), FakeUsageIntake(), MemoryLog()
    runners = [_runner(fleet, intake, log) for _ in range(2)]
    yield fleet, intake, runners
    for runner in runners:
        runner.end()
        runner._follower.stop()
        runner._writer.stop()


def _runner(fleet, intake, log):
    clock = SystemClock()
    runner = UsageReportRunner(
        "c", log, clock, Configuration, lambda: fleet.peers, intake
    )
    # The tests call the rounds, so the runner's thread is not started.
    runner._writer.start()
    runner._follower.start()
    return runner


def run_round(runner, wall_seconds):
    runner.run_round(wall_seconds, SystemClock().now_seconds())


def test_a_report_whose_response_was_lost_is_resent_with_equal_counts(reporting):
    fleet, intake, (first, second) = reporting
    fleet.add(0, 5)
    intake.lost_responses = 1
    first.begin(Epoch(1), 0.0)
    with pytest.raises(PlatformUnavailable):
        run_round(first, 64.0)
    first.end()
    fleet.add(1, 3)
    second.begin(Epoch(2), 0.0)
    run_round(second, 65.0)
    one, two = intake.reports
    assert one.customers == two.customers
    assert two.epoch == Epoch(2)
    run_round(second, 66.0)
    assert len(intake.reports) == 2
    run_round(second, 124.0)
    (usage,) = intake.reports[-1].customers
    assert (usage.requests, usage.carried_requests) == (3, 3)


def test_the_wait_for_an_unreachable_entry_is_bounded(reporting):
    fleet, intake, (runner, _) = reporting
    fleet.add(0, 5)
    fleet.ledgers[0].push_once()
    fleet.links[0].is_down = True
    runner.begin(Epoch(1), 0.0)
    run_round(runner, 64.0)
    assert intake.reports == []
    run_round(runner, 81.0)
    (usage,) = intake.reports[0].customers
    assert usage.requests == 5


def test_all_windows_that_are_over_are_reported_in_one_round(reporting):
    """Failure: no process reports for several windows; the next catches up."""
    fleet, intake, (first, second) = reporting
    fleet.add(0, 5)
    first.begin(Epoch(1), 0.0)
    run_round(first, 64.0)
    first.end()
    second.begin(Epoch(2), 0.0)
    run_round(second, 304.0)
    starts = [report.window_start_seconds for report in intake.reports]
    assert starts == [0, 60, 120, 180, 240]


def test_a_round_waits_for_its_records_only_until_they_are_read():
    """Failure: each record of a catch-up waits for a blocking log read."""
    fleet, intake, log = Fleet(), FakeUsageIntake(), CountingLog()
    runner = _runner(fleet, intake, log)
    try:
        fleet.add(0, 5)
        runner.begin(Epoch(1), 0.0)
        run_round(runner, 64.0)
        run_round(runner, 304.0)
        empty_reads = log.empty_reads
    finally:
        runner._follower.stop()
        runner._writer.stop()
    assert len(intake.reports) == 5
    # Each round may wait for the read in progress and for the following read.
    assert empty_reads <= 2 * 2


def test_a_round_ends_when_an_entry_does_not_answer(reporting):
    fleet, intake, (runner, _) = reporting
    fleet.add(0, 5)
    runner.begin(Epoch(1), 0.0)
    run_round(runner, 64.0)
    fleet.links[0].is_down = True
    run_round(runner, 195.0)
    starts = [report.window_start_seconds for report in intake.reports]
    assert starts == [0, 60]


def test_no_report_is_sent_without_the_duty(reporting):
    fleet, intake, (runner, _) = reporting
    run_round(runner, 64.0)
    assert intake.reports == []
