"""Tests of leases over random interleavings, with simulated clocks."""

from hypothesis import given, settings, strategies as st

from waxwingwinch._types import Address, InstanceId
from waxwingwinch.authority import (
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    DutyTable,
    LeaseTracker,
)
from waxwingwinch.streams import RecordId

ADDRESS = Address("127.0.0.1", 1)
LEASE_SECONDS = 6.0
DRIFT_RATIO = 0.05
STEP_SECONDS = 0.5


class Process:
    """One process with a separate clock, which reads the log independently."""

    def __init__(self, name, clock_rate, clock_offset):
        self.name = name
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.table = DutyTable()
        self.tracker = LeaseTracker(name, LEASE_SECONDS, DRIFT_RATIO, 0.0, self.table)
        self.next_offset = 0
        self.sequence = 0
        self.tried = None

    def clock(self, real_seconds):
        return self.clock_offset + real_seconds * self.clock_rate

    def read(self, log, real_seconds):
        now_seconds = self.clock(real_seconds)
        while self.next_offset < len(log):
            record_id, body = log[self.next_offset]
            for duty in self.table.apply(self.next_offset, body, now_seconds):
                self.tracker.record_change(duty, record_id, now_seconds)
            self.next_offset += 1

    def decide(self, real_seconds):
        now_seconds = self.clock(real_seconds)
        self.tracker.close_expiring(now_seconds)
        self.tracker.remove_closed()
        renewed = self.tracker.renewable()
        released = self.tracker.releasable(("d",))
        claim_due_seconds = self.tracker.claim_due_seconds("d", self.clock_offset)
        if renewed:
            return self.send(DutyRenewal(renewed), now_seconds)
        if released:
            return self.send(DutyRelease(released), now_seconds)
        if claim_due_seconds is not None and now_seconds >= claim_due_seconds:
            version = self.table.version("d")
            claim = DutyClaim("d", InstanceId(self.name), ADDRESS, self.name, version)
            return self.send(claim, now_seconds)
        return None

    def send(self, body, now_seconds):
        self.sequence += 1
        record_id = RecordId(self.name, self.sequence)
        self.tracker.record_sent(record_id, now_seconds)
        return record_id, body

    def leases(self):
        """Return the epoch and real end of each lease, open or closed."""
        return [
            (lease.epoch, (lease.end_seconds - self.clock_offset) / self.clock_rate)
            for lease in self.tracker.leases()
        ]


actions = st.tuples(
    st.integers(0, 2),
    st.sampled_from(["read", "decide", "deliver", "deliver", "read", "wait"]),
    st.integers(0, 5),
)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(actions, min_size=50, max_size=250),
    st.lists(
        st.tuples(
            st.floats(1.0, 1.0 + DRIFT_RATIO),
            st.floats(0.0, 1_000.0),
        ),
        min_size=3,
        max_size=3,
    ),
)
def test_no_two_leases_overlap(steps, clocks):
    processes = [Process(f"p{i}", *clock) for i, clock in enumerate(clocks)]
    log: list[tuple[RecordId, object]] = []
    network: list[tuple[RecordId, object]] = []
    real_seconds = 0.0
    for number, action, choice in steps:
        process = processes[number]
        match action:
            case "read":
                process.read(log, real_seconds)
            case "decide":
                sent = process.decide(real_seconds)
                network += [sent] if sent else []
            case "deliver" if network:
                log.append(network.pop(choice % len(network)))
            case "wait":
                real_seconds += choice * STEP_SECONDS
        valid_epochs = {
            epoch
            for each in processes
            for epoch, end_seconds in each.leases()
            if end_seconds > real_seconds
        }
        assert len(valid_epochs) <= 1


def test_candidate_takes_over_after_the_holder_stops_renewing():
    first, second = Process("a", 1.0, 0.0), Process("b", 1.0, 0.0)
    log: list[tuple[RecordId, object]] = []
    real_seconds = 0.0
    while real_seconds < 20.0:
        sent = first.decide(real_seconds)
        log += [sent] if sent else []
        first.read(log, real_seconds)
        second.read(log, real_seconds)
        assert not second.decide(real_seconds) or real_seconds < LEASE_SECONDS / 4
        real_seconds += STEP_SECONDS
    silent_since_seconds = real_seconds
    sent = None
    while sent is None:
        real_seconds += STEP_SECONDS
        sent = second.decide(real_seconds)
    waited_seconds = real_seconds - silent_since_seconds
    assert waited_seconds >= LEASE_SECONDS * (1 + DRIFT_RATIO) - STEP_SECONDS
    log.append(sent)
    second.read(log, real_seconds)
    assert second.tracker.epoch("d", second.clock(real_seconds)) == len(log) - 1
