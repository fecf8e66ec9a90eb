"""Tests of the exchange of reports across cells over real links."""

import threading
import time
from typing import Any

import pytest
from attrs import define, field

from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.gateway._gossip import (
    MAX_CONFIGURATION_FETCHES,
    Gossip,
    GossipHandlers,
)
from waxwingwinch.gateway._limit_messages import PermitReply
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._report_messages import ConfigurationReply, InstanceReport
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.kernel import SystemClock
from waxwingwinch.peers import PeerIdentity, PeerProgram
from waxwingwinch.peers.tests.ports import free_port

WAIT_SECONDS = 30.0
#: Maximum age of a report; far longer than the intervals, for busy machines.
FRESH_SECONDS = 3.0
E1 = UpstreamId("e1")


@define(eq=False)
class Instance:
    """The gossip of one process and the messages that it received."""

    member: Member
    running: int = 0
    version: int = 1
    sequence: int = 0
    reports: dict[str, InstanceReport] = field(factory=dict)
    made_seconds: dict[str, float] = field(factory=dict)
    payloads: list[bytes] = field(factory=list)
    announced: list[tuple[str, str, int]] = field(factory=list)
    permit_requests: list[Any] = field(factory=list)
    gossip: Gossip | None = None

    def start(self, members):
        directory = MemberDirectory(self.member)
        for member in members:
            directory.put(member)
        handlers = GossipHandlers(
            self.make_report,
            self.apply_report,
            self.confirm_unchanged,
            lambda *work: self.announced.append(work),
            lambda: self.version,
            lambda: ConfigurationReply(b"version %d" % self.version),
            lambda reply: self.payloads.append(reply.payload),
            self.decide_permit,
        )
        own = self.member
        identity = PeerIdentity(own.instance_id, PeerProgram.ENTRY, own.zone, "c")
        clock = SystemClock()
        feed = StoreFeed((), clock)
        self.gossip = Gossip(directory, identity, "s", feed, handlers, clock)
        self.gossip.start()

    def make_report(self):
        self.sequence += 1
        return InstanceReport(
            self.member.instance_id,
            self.member.incarnation,
            True,
            True,
            self.version,
            waiting_tokens={E1: 0},
            running={E1: self.running},
            sequence=self.sequence,
        )

    def decide_permit(self, sender_id, request):
        self.permit_requests.append((sender_id, request))
        return PermitReply(True, 0.0, 0.0, 1, 1.0)

    def apply_report(self, report, made_seconds):
        self.reports[report.instance_id] = report
        self.made_seconds[report.instance_id] = made_seconds

    def confirm_unchanged(self, received_reports):
        for received in received_reports:
            self.made_seconds[received.full_report.instance_id] = received.made_seconds

    def is_collector(self):
        return self.gossip is not None and self.gossip._cell_gossip.is_collector

    def age_seconds(self, instance_id):
        made_seconds = self.made_seconds.get(instance_id)
        return time.monotonic() - made_seconds if made_seconds else float("inf")


def make_instances(count):
    return [
        Instance(
            Member(
                InstanceId(f"i{number}"),
                f"start-{number}",
                ZoneName(f"z{number % 2}"),
                Address("127.0.0.1", 1),
                Address("127.0.0.1", free_port()),
            )
        )
        for number in range(count)
    ]


@pytest.fixture
def instances():
    """Eighteen instances in four cells."""
    made = make_instances(18)
    for instance in made:
        instance.start([other.member for other in made])
    yield made
    for instance in made:
        if instance.gossip is not None:
            instance.gossip.stop()


def wait_until(condition, what):
    pause = threading.Event()
    end_seconds = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end_seconds:
        if condition():
            return
        pause.wait(0.05)
    raise AssertionError(f"not within {WAIT_SECONDS} s: {what}")


def have_all_reports(instances):
    return all(
        instance.age_seconds(other.member.instance_id) < FRESH_SECONDS
        for instance in instances
        for other in instances
        if instance is not other
    )


def cells_of(instances):
    """Return the instances by cell."""
    cells: dict[str, list[Instance]] = {}
    for instance in instances:
        cells.setdefault(str(instance.gossip._cell_gossip._plan.own_cell), []).append(
            instance
        )
    return cells


def test_all_instances_receive_all_reports(instances):
    wait_until(lambda: have_all_reports(instances), "all instances have all reports")
    assert not any(instance.gossip._neighbours for instance in instances)
    instances[0].running = 7
    wait_until(
        lambda: all(
            instance.reports["i0"].running.get(E1) == 7 for instance in instances[1:]
        ),
        "the change is received",
    )


# Guards against copies of a large configuration from all peers, which share
# the link of the instance and arrive too late.
def test_few_peers_are_asked_for_a_version_at_once(monkeypatch):
    own, *others = make_instances(6)
    own.start([other.member for other in others])
    gossip = own.gossip
    assert gossip is not None
    gossip.stop()
    spawned: list[Any] = []
    monkeypatch.setattr(gossip._hub, "spawn", spawned.append)
    for other in others:
        other.version = 2
        gossip._on_report(None, other.make_report())  # type: ignore[arg-type]
    for fetch in spawned:
        fetch.close()
    assert len(spawned) == MAX_CONFIGURATION_FETCHES


def test_each_cell_has_one_collector(instances):
    """Guards against many links at every one of hundreds of instances."""

    def has_one_collector():
        return all(
            [instance.is_collector() for instance in cell].count(True) == 1
            for cell in cells_of(instances).values()
        )

    wait_until(lambda: have_all_reports(instances), "all instances have all reports")
    wait_until(has_one_collector, "each cell has one collector")
    for instance in instances:
        assert (
            bool(instance.gossip._cell_gossip._cell_readers) is instance.is_collector()
        )


def test_another_instance_becomes_collector_when_the_collector_stops(instances):
    """The collector of a cell is killed."""
    wait_until(lambda: have_all_reports(instances), "all instances have all reports")
    cell = max(cells_of(instances).values(), key=len)
    # At the start, several instances collect until they have found the first.
    wait_until(
        lambda: [instance.is_collector() for instance in cell].count(True) == 1,
        "the cell has one collector",
    )
    [stopped] = [instance for instance in cell if instance.is_collector()]
    stopped.gossip.stop()
    stopped.gossip = None
    remaining = [instance for instance in instances if instance is not stopped]
    wait_until(
        lambda: (
            instances[0].age_seconds(stopped.member.instance_id) > FRESH_SECONDS
            or instances[0] is stopped
        ),
        "the stopped instance is silent",
    )
    wait_until(lambda: have_all_reports(remaining), "the others are reported")
    wait_until(
        lambda: any(
            instance.is_collector() for instance in cell if instance is not stopped
        ),
        "another instance is collector",
    )


def test_a_newer_configuration_spreads_over_the_cells(instances):
    """Only one instance receives the version from the store."""
    wait_until(lambda: have_all_reports(instances), "all instances have all reports")
    instances[0].version = 2

    def all_have_new_version():
        for instance in instances:
            if b"version 2" in instance.payloads:
                instance.version = 2
        return all(instance.version == 2 for instance in instances)

    wait_until(all_have_new_version, "all have the version")


def test_work_is_announced_at_once_without_cells():
    made = make_instances(3)
    for instance in made:
        instance.start([other.member for other in made])
    try:
        wait_until(lambda: have_all_reports(made), "all instances have all reports")
        made[0].gossip.announce(E1, 5_000)
        wait_until(
            lambda: all(
                ("i0", E1, 5_000) in instance.announced for instance in made[1:]
            ),
            "the work is announced",
        )
    finally:
        for instance in made:
            instance.gossip.stop()


def test_a_configuration_is_fetched_although_another_peer_does_not_answer():
    """A peer reports a version, but the link to it is broken."""
    silent, telling, asking = make_instances(3)
    for instance in (silent, telling):
        instance.version = 2
    members = [instance.member for instance in (silent, telling, asking)]
    for instance in (silent, telling, asking):
        instance.start(members)
    try:
        wait_until(
            lambda: have_all_reports([silent, telling, asking]),
            "all instances have all reports",
        )
        asking.gossip._fetching_from.add(silent.member.instance_id)
        asking.payloads.clear()
        wait_until(lambda: asking.payloads, "the version is fetched")
    finally:
        for instance in (silent, telling, asking):
            instance.gossip.stop()
