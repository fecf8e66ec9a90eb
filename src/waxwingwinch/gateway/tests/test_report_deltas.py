"""Tests that delta reports convey the complete state to a peer."""

from typing import Any

from attrs import define, field

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address, CustomerId, InstanceId, UpstreamId
from waxwingwinch.codec import decode_message
from waxwingwinch.gateway._loads import LoadTracker
from waxwingwinch.gateway._report_deltas import DeltaTracker
from waxwingwinch.gateway._report_messages import (
    InstanceReport,
    PromptPlacement,
    WorkAnnouncement,
)
from waxwingwinch.gateway._report_sender import ReportBroadcaster, ReportSender
from waxwingwinch.peers._frames import decode_frame

E1, E2 = UpstreamId("e1"), UpstreamId("e2")
OWN = InstanceId("own")
ALICE = CustomerId("alice")


@define
class FakeLink:
    """A link whose connection can be replaced or broken."""

    connections_made: int = 1
    is_up: bool = True
    address: Address = Address("peer", 1)
    sent: list[Any] = field(factory=list)

    def send(self, notice):
        if not self.is_up:
            raise PeerUnavailable("down")
        self.sent.append(decode_message(decode_frame(notice).payload))


@define
class ReporterHarness:
    """The neighbours to which one process reports."""

    senders: list[ReportSender]
    broadcast: ReportBroadcaster = field(factory=ReportBroadcaster)

    def report(self, full_report):
        self.broadcast.report(full_report, self.senders)

    def announce(self, began):
        self.broadcast.announce(began, self.senders)


@define
class SenderHarness:
    """Work of one process, reported to a peer that tracks it."""

    own: LoadTracker = field(factory=LoadTracker)
    received: LoadTracker = field(factory=LoadTracker)
    link: FakeLink = field(factory=FakeLink)
    totals: dict[CustomerId, float] = field(factory=dict)
    placements: tuple[PromptPlacement, ...] = ()

    def sender(self) -> Any:
        return ReporterHarness([ReportSender(self.link)])

    def report(self, sender):
        """Have a sender report the complete state."""
        loads = self.own.local_loads()
        sender.report(
            InstanceReport(
                OWN,
                "start",
                True,
                True,
                1,
                waiting_tokens={
                    key: load.waiting_tokens for key, load in loads.items()
                },
                running={key: load.running for key, load in loads.items()},
                quota_totals=self.totals,
                placements=self.placements,
            )
        )

    def deliver(self, body):
        if isinstance(body, WorkAnnouncement):
            self.received.add_announced_work(
                "own", body.upstream_id, body.waiting_tokens
            )
            return
        self.received.record_loads("own", body.loads(), body.is_full, 0.0)

    def believed(self):
        return self.received.totals(0.0)


def make_placements(count):
    return tuple(
        PromptPlacement(sequence, E1, ("p",), (100,))
        for sequence in range(1, count + 1)
    )


def test_deltas_convey_the_complete_state():
    harness = SenderHarness()
    sender = harness.sender()
    tracked_request = harness.own.begin(E1, 500)
    harness.own.begin(E2, 300)
    harness.totals = {ALICE: 5.0}
    harness.report(sender)
    tracked_request.mark_prefilled()
    harness.report(sender)
    harness.report(sender)
    first, second, third = harness.link.sent
    assert first.is_full and set(first.running) == {E1, E2}
    assert first.quota_totals == {ALICE: 5.0}
    assert not second.is_full and set(second.running) == {E1}
    assert not third.running and not third.quota_totals
    for report in harness.link.sent:
        harness.deliver(report)
    assert harness.believed() == harness.own.local_loads()


def test_ended_work_is_reported_once():
    harness = SenderHarness()
    sender = harness.sender()
    tracked_request = harness.own.begin(E1, 500)
    harness.report(sender)
    tracked_request.end()
    harness.report(sender)
    harness.report(sender)
    for report in harness.link.sent:
        harness.deliver(report)
    assert harness.believed() == {}
    assert harness.link.sent[1].running == {E1: 0}
    assert harness.link.sent[2].running == {}


def test_announced_work_that_ended_before_the_report_is_corrected():
    """A long prompt ends within one report interval."""
    harness = SenderHarness()
    sender = harness.sender()
    harness.report(sender)
    tracked_request = harness.own.begin(E1, 5_000)
    sender.announce(WorkAnnouncement(OWN, E1, 5_000))
    tracked_request.end()
    harness.report(sender)
    for body in harness.link.sent:
        harness.deliver(body)
    assert harness.believed() == {}


def test_a_new_connection_starts_with_a_full_report():
    """A peer restarts between two reports."""
    harness = SenderHarness()
    sender = harness.sender()
    harness.own.begin(E1, 500)
    harness.report(sender)
    harness.link.connections_made += 1
    harness.report(sender)
    assert harness.link.sent[-1].is_full
    assert set(harness.link.sent[-1].running) == {E1}


def test_a_full_report_follows_a_lost_one():
    harness = SenderHarness()
    sender = harness.sender()
    harness.report(sender)
    harness.own.begin(E1, 500)
    harness.link.is_up = False
    harness.report(sender)
    harness.link.is_up = True
    harness.report(sender)
    assert harness.link.sent[-1].is_full
    assert set(harness.link.sent[-1].running) == {E1}


def test_only_a_new_neighbour_receives_a_full_report():
    """An instance starts while the others exchange reports."""
    harness, joining = SenderHarness(), FakeLink(is_up=False)
    known = ReportSender(harness.link)
    new = ReportSender(joining)
    both = ReporterHarness([known, new])
    harness.own.begin(E1, 500)
    harness.report(both)
    joining.is_up = True
    harness.report(both)
    assert not harness.link.sent[-1].running
    assert joining.sent[-1].is_full
    assert set(joining.sent[-1].running) == {E1}


def test_placements_are_not_repeated_over_a_new_connection():
    harness = SenderHarness()
    sender = harness.sender()
    harness.placements = make_placements(3)
    harness.report(sender)
    harness.link.connections_made += 1
    harness.placements = make_placements(5)
    harness.report(sender)
    assert [placement.sequence for placement in harness.link.sent[-1].placements] == [
        4,
        5,
    ]


def test_windows_are_sent_when_their_counts_change():
    tracker = DeltaTracker()
    assert tracker.take_changed_usage({7: {ALICE: 1}, 8: {ALICE: 2}}) == {
        7: {ALICE: 1},
        8: {ALICE: 2},
    }
    assert tracker.take_changed_usage({7: {ALICE: 1}, 8: {ALICE: 3}}) == {8: {ALICE: 3}}
