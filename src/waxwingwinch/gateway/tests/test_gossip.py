"""Instances in several cells hear of one another, over real links."""

import threading
import time

import pytest
from attrs import define, field

from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.gateway._gossip import Gossip, GossipHandlers
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._report_messages import InstanceReport
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.kernel import SystemClock
from waxwingwinch.peers import PeerIdentity, PeerProgram
from waxwingwinch.peers.tests.ports import free_port

WAIT_SECONDS = 30.0
#: Age of what is heard; far more than the intervals, for busy machines.
FRESH_SECONDS = 3.0
E1 = UpstreamId("e1")


@define(eq=False)
class Instance:
    """One process's gossip, with what it was told."""

    member: Member
    running: int = 0
    version: int = 1
    sequence: int = 0
    heard: dict[str, InstanceReport] = field(factory=dict)
    made_seconds: dict[str, float] = field(factory=dict)
    payloads: list[bytes] = field(factory=list)
    began: list[tuple[str, str, int]] = field(factory=list)
    gossip: Gossip | None = None

    def start(self, members):
        directory = MemberDirectory(self.member)
        for member in members:
            directory.put(member)
        handlers = GossipHandlers(
            self.make_report,
            self.apply_report,
            self.confirm_unchanged,
            lambda *work: self.began.append(work),
            lambda: self.version,
            lambda: b"version %d" % self.version,
            self.payloads.append,
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

    def apply_report(self, report, made_seconds):
        self.heard[report.instance_id] = report
        self.made_seconds[report.instance_id] = made_seconds

    def confirm_unchanged(self, heard):
        for one in heard:
            self.made_seconds[one.whole.instance_id] = one.made_seconds

    def collects(self):
        return self.gossip is not None and self.gossip._collecting.is_collector

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
    for one in made:
        one.start([other.member for other in made])
    yield made
    for one in made:
        if one.gossip is not None:
            one.gossip.stop()


def wait_until(condition, what):
    pause = threading.Event()
    end_seconds = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end_seconds:
        if condition():
            return
        pause.wait(0.05)
    raise AssertionError(f"not within {WAIT_SECONDS} s: {what}")


def all_hear_all(instances):
    return all(
        one.age_seconds(other.member.instance_id) < FRESH_SECONDS
        for one in instances
        for other in instances
        if one is not other
    )


def cells_of(instances):
    """Return the instances by cell."""
    cells: dict[str, list[Instance]] = {}
    for one in instances:
        cells.setdefault(str(one.gossip._collecting._plan.own_cell), []).append(one)
    return cells


def test_all_hear_of_all(instances):
    wait_until(lambda: all_hear_all(instances), "all hear of all")
    assert not any(one.gossip._neighbours for one in instances)
    instances[0].running = 7
    wait_until(
        lambda: all(one.heard["i0"].running.get(E1) == 7 for one in instances[1:]),
        "the change is heard",
    )


def test_one_instance_of_each_cell_collects(instances):
    """Pattern: hundreds of instances, of which few have many links."""

    def one_collects():
        return all(
            [one.collects() for one in cell].count(True) == 1
            for cell in cells_of(instances).values()
        )

    wait_until(lambda: all_hear_all(instances), "all hear of all")
    wait_until(one_collects, "one of each cell collects")
    for one in instances:
        assert bool(one.gossip._collecting._readers) is one.collects()


def test_another_collects_when_the_one_that_did_ends(instances):
    """Pattern: the instance that collects for a cell is killed."""
    wait_until(lambda: all_hear_all(instances), "all hear of all")
    cell = max(cells_of(instances).values(), key=len)
    wait_until(lambda: any(one.collects() for one in cell), "one collects")
    [ended] = [one for one in cell if one.collects()]
    ended.gossip.stop()
    ended.gossip = None
    left = [one for one in instances if one is not ended]
    wait_until(
        lambda: (
            instances[0].age_seconds(ended.member.instance_id) > FRESH_SECONDS
            or instances[0] is ended
        ),
        "it is silent",
    )
    wait_until(lambda: all_hear_all(left), "the others are heard")
    wait_until(
        lambda: any(one.collects() for one in cell if one is not ended),
        "another collects",
    )


def test_a_newer_configuration_spreads_over_the_cells(instances):
    """Pattern: the store reaches one instance alone."""
    wait_until(lambda: all_hear_all(instances), "all hear of all")
    instances[0].version = 2

    def follow():
        for one in instances:
            if b"version 2" in one.payloads:
                one.version = 2
        return all(one.version == 2 for one in instances)

    wait_until(follow, "all have the version")


def test_work_that_begins_is_told_at_once_where_all_report_to_all():
    made = make_instances(3)
    for one in made:
        one.start([other.member for other in made])
    try:
        wait_until(lambda: all_hear_all(made), "all hear of all")
        made[0].gossip.announce(E1, 5_000)
        wait_until(
            lambda: all(("i0", E1, 5_000) in one.began for one in made[1:]),
            "it is told",
        )
    finally:
        for one in made:
            one.gossip.stop()


def test_a_configuration_is_fetched_although_another_peer_does_not_answer():
    """Pattern: a peer reports a version, but the way to it is cut."""
    silent, telling, asking = make_instances(3)
    for one in (silent, telling):
        one.version = 2
    members = [one.member for one in (silent, telling, asking)]
    for one in (silent, telling, asking):
        one.start(members)
    try:
        wait_until(lambda: all_hear_all([silent, telling, asking]), "all hear of all")
        asking.gossip._fetching_from.add(silent.member.instance_id)
        asking.payloads.clear()
        wait_until(lambda: asking.payloads, "the version is fetched")
    finally:
        for one in (silent, telling, asking):
            one.gossip.stop()
