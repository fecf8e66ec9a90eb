"""Tests of the duty holder with an in-memory log."""

import threading
import time

import pytest

from waxwing_testbed.fakes import AppendFault, MemoryLog
from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch._types import Address, InstanceId
from waxwingwinch.authority import DutyDirectory, DutyHolder
from waxwingwinch.kernel import SystemClock
from waxwingwinch.reasons import MemoryDecisionLog

LEASE_SECONDS = 1.2
WAIT_SECONDS = 20.0
CLOCK = SystemClock()


class RecordingFence:
    """Records the time at which it is armed; None if disarmed."""

    def __init__(self):
        self.end_seconds = None

    def arm(self, end_seconds):
        self.end_seconds = end_seconds

    def disarm(self):
        self.end_seconds = None


class Candidate:
    """One process that claims the duty ``d``."""

    def __init__(self, log, name):
        self.fence = RecordingFence()
        self.directory = DutyDirectory(log, CLOCK)
        self.holder = DutyHolder(
            log,
            CLOCK,
            self.directory,
            self.fence,
            InstanceId(name),
            Address("127.0.0.1", 1),
            LEASE_SECONDS,
            0.01,
            MemoryDecisionLog(),
            0.0,
        )
        self.holder.add_duty("d")
        self.running = False

    def start(self):
        self.directory.start()
        self.holder.start()
        self.running = True

    def stop(self):
        if self.running:
            self.running = False
            self.holder.stop()
            self.directory.stop()

    def holds_duty(self):
        try:
            self.holder.epoch_of("d", CLOCK.now_seconds())
        except AuthorityLost:
            return False
        return True


def wait_for(predicate):
    deadline_seconds = time.monotonic() + WAIT_SECONDS
    while not predicate():
        assert time.monotonic() < deadline_seconds
        time.sleep(0.01)


@pytest.fixture
def candidates():
    log = MemoryLog()
    created = [Candidate(log, "a"), Candidate(log, "b")]
    yield log, *created
    for candidate in created:
        candidate.stop()


def test_stop_releases_duty_and_other_candidate_takes_over(candidates):
    _, first, second = candidates
    first.start()
    wait_for(first.holds_duty)
    second.start()
    holder_of = second.directory.holder_of
    wait_for(lambda: holder_of("d") is not None)
    assert holder_of("d").instance_id == "a"
    first.stop()
    assert first.fence.end_seconds is None
    wait_for(second.holds_duty)
    assert holder_of("d").instance_id == "b"


def test_claim_with_lost_answer_is_held(candidates):
    log, first, _ = candidates
    log.append_faults = [AppendFault.ANSWER_LOST, AppendFault.ANSWER_LOST]
    first.start()
    wait_for(first.holds_duty)
    assert first.fence.end_seconds is not None


def test_holder_without_log_steps_down_before_the_lease_ends(candidates):
    log, first, _ = candidates
    first.start()
    wait_for(first.holds_duty)
    log.is_down = True
    wait_for(lambda: first.fence.end_seconds is None)
    assert not first.holds_duty()


def test_fence_stays_armed_while_a_step_runs(candidates):
    log, first, _ = candidates
    first.start()
    wait_for(first.holds_duty)
    with first.holder.lease_guard("d", CLOCK.now_seconds()):
        log.is_down = True
        end_seconds = first.fence.end_seconds
        wait_for(lambda: CLOCK.now_seconds() > end_seconds + LEASE_SECONDS)
        assert first.fence.end_seconds is not None
    wait_for(lambda: first.fence.end_seconds is None)


def test_stop_waits_for_a_running_step(candidates):
    _, first, _ = candidates
    first.start()
    wait_for(first.holds_duty)
    entered, leave = threading.Event(), threading.Event()

    def step():
        with first.holder.lease_guard("d", CLOCK.now_seconds()):
            entered.set()
            leave.wait(WAIT_SECONDS)

    thread = threading.Thread(target=step)
    thread.start()
    entered.wait(WAIT_SECONDS)
    stopper = threading.Thread(target=first.stop)
    stopper.start()
    assert first.directory.holder_of("d") is not None
    leave.set()
    stopper.join(WAIT_SECONDS)
    thread.join(WAIT_SECONDS)
    assert first.directory.holder_of("d") is None
