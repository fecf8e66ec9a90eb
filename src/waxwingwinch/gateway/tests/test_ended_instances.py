"""The directory names no instance that ended some time ago."""

import pytest

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.gateway._change_log import ChangeLog
from waxwingwinch.gateway._change_packing import unpack_changes
from waxwingwinch.gateway._exchange_reader import (
    EXCHANGE_INTERVAL_SECONDS,
    EXCHANGE_TIMEOUT_SECONDS,
    MAX_REPLY_SECONDS,
)
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._report_messages import (
    ChangeSet,
    InstanceReport,
    RelayedReport,
)
from waxwingwinch.gateway._report_table import ReportTable
from waxwingwinch.gateway._silence import MAX_DIRECT_INSTANCES

#: Time after its end from which an instance may not be named: 3 s beyond the
#: time after which the others count as in contact, on small deployments.
MAX_NAMED_SECONDS = 6.0
STEP_SECONDS = 0.05
ENDED = InstanceId("ended")


def member(name):
    address = Address("10.0.0.1", 80)
    return Member(InstanceId(name), "start", ZoneName("north"), address, address)


def directory_of(count):
    directory = MemberDirectory(member("own"))
    directory.put(member(ENDED))
    for number in range(count - 1):
        directory.put(member(f"i{number}"))
    return directory


def report(sequence, incarnation="start"):
    return InstanceReport(ENDED, incarnation, True, True, 1, sequence=sequence)


class Relay:
    """An instance that passes on reports, with the delay of a slow link."""

    def __init__(self, name, delay_seconds):
        self.table = ReportTable(InstanceId(name))
        self.log = ChangeLog(self.table.recent)
        self.delay_seconds = delay_seconds
        self.number = 0
        self.replies = []

    def ask(self, other, now_seconds):
        """Request the changes of another relay; the reply arrives later."""
        number, change_sets = other.log.since(self.number, now_seconds)
        self.replies.append((now_seconds, number, change_sets))

    def receive(self, now_seconds):
        """Apply the replies that have arrived; return the updates."""
        updates = []
        while self.replies and self.replies[0][0] + self.delay_seconds <= now_seconds:
            sent_seconds, number, change_sets = self.replies.pop(0)
            if now_seconds - sent_seconds > MAX_REPLY_SECONDS:
                continue
            self.number = number
            for sent in change_sets:
                changes = unpack_changes(sent.payload)
                made_seconds = now_seconds - sent.age_seconds
                updates.append(self.table.apply("channel", changes, made_seconds))
        return updates


class RelayedFleet:
    """An instance whose reports pass through the collectors of two cells."""

    def __init__(self, delay_seconds):
        self.now_seconds = 100.0
        self.collector = Relay("collector", delay_seconds)
        self.relays = [Relay("other", delay_seconds), Relay("own", delay_seconds)]
        self.directory = directory_of(MAX_DIRECT_INSTANCES + 4)
        self.sequence = 0
        self.steps = 0

    def run(self, seconds, is_running=True, is_frozen=False):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now_seconds += STEP_SECONDS
            self.steps += 1
            if self.steps % round(EXCHANGE_INTERVAL_SECONDS / STEP_SECONDS) == 0:
                if is_running:
                    self.report()
                if not is_frozen:
                    sources = [self.collector, self.relays[0]]
                    for relay, source in zip(self.relays, sources, strict=True):
                        relay.ask(source, self.now_seconds)
            if not is_frozen:
                self.relays[0].receive(self.now_seconds)
                self.apply(self.relays[1].receive(self.now_seconds))

    def report(self):
        self.sequence += 1
        relayed = RelayedReport(0.0, report(self.sequence))
        self.collector.table.apply(
            "instance", ChangeSet(False, (relayed,)), self.now_seconds
        )

    def apply(self, updates):
        for update in updates:
            for received in update.changed:
                self.directory.record_report(
                    ENDED, received.full_report.is_ready, received.made_seconds
                )
            for received in update.unchanged:
                self.directory.confirm_unchanged({ENDED: received.made_seconds})

    def is_named(self):
        ready = self.directory.ready_others(self.now_seconds)
        return any(found.instance_id == ENDED for found in ready)


# Guards against reports that get younger with each hop. A reply takes up to
# the time-out of an exchange.
@pytest.mark.parametrize("delay_seconds", [0.0, 0.25, EXCHANGE_TIMEOUT_SECONDS])
def test_an_instance_of_another_cell_is_not_named_after_its_end(delay_seconds):
    fleet = RelayedFleet(delay_seconds)
    fleet.run(5.0)
    assert fleet.is_named()
    fleet.run(MAX_NAMED_SECONDS, is_running=False)
    for _ in range(100):
        assert not fleet.is_named()
        fleet.run(0.1, is_running=False)


# Guards against replies that a frozen process reads after it was resumed, and
# that it takes for new.
def test_a_resumed_instance_does_not_name_what_ended_meanwhile():
    fleet = RelayedFleet(0.25)
    fleet.run(5.0)
    for relay, source in zip(
        fleet.relays, [fleet.collector, fleet.relays[0]], strict=True
    ):
        fleet.report()
        relay.ask(source, fleet.now_seconds)
    fleet.run(MAX_NAMED_SECONDS, is_running=False, is_frozen=True)
    for _ in range(100):
        assert not fleet.is_named()
        fleet.run(STEP_SECONDS, is_running=False)


# Guards against an instance that is named for as long as the store is away,
# since its record is not removed.
def test_an_instance_that_ended_is_not_named_while_its_record_stays():
    directory = directory_of(3)
    now_seconds = 100.0
    while now_seconds < 105.0:
        now_seconds += 0.2
        directory.record_report(ENDED, True, now_seconds)
    assert directory.ready_others(now_seconds + 0.2)
    for tenths in range(60, 600):
        assert not directory.ready_others(now_seconds + tenths / 10)


# Guards against an instance that names, after its own start, those that ended
# before it: their records are in the store.
def test_an_instance_that_starts_names_nobody_it_has_not_heard():
    assert directory_of(3).ready_others(100.0) == ()
    fleet = RelayedFleet(0.25)
    fleet.run(5.0)
    fleet.run(MAX_NAMED_SECONDS, is_running=False)
    fleet.directory = directory_of(MAX_DIRECT_INSTANCES + 4)
    fleet.relays[1] = Relay("own", 0.25)
    for _ in range(50):
        fleet.run(0.1, is_running=False)
        assert not fleet.is_named()
