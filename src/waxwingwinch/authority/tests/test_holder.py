"""Tests of the holder with a log in memory."""

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
    """Notes whether it is armed."""

    def __init__(self):
        self.end_seconds = None

    def arm(self, end_seconds):
        self.end_seconds = end_seconds

    def disarm(self):
        self.end_seconds = None


class Stand:
    """One process that stands for the duty ``d``."""

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
        self.holder.stand_for("d")
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

    def acts(self):
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
def stands():
    log = MemoryLog()
    both = [Stand(log, "a"), Stand(log, "b")]
    yield log, *both
    for stand in both:
        stand.stop()


def test_stop_releases_and_the_other_takes_over(stands):
    _, first, second = stands
    first.start()
    wait_for(first.acts)
    second.start()
    position = second.directory.holder_of
    wait_for(lambda: position("d") is not None)
    assert position("d").instance_id == "a"
    first.stop()
    assert first.fence.end_seconds is None
    wait_for(second.acts)
    assert position("d").instance_id == "b"


def test_claim_whose_answer_was_lost_is_held(stands):
    log, first, _ = stands
    log.append_faults = [AppendFault.ANSWER_LOST, AppendFault.ANSWER_LOST]
    first.start()
    wait_for(first.acts)
    assert first.fence.end_seconds is not None


def test_holder_without_log_steps_down_before_the_end(stands):
    log, first, _ = stands
    first.start()
    wait_for(first.acts)
    log.is_down = True
    wait_for(lambda: first.fence.end_seconds is None)
    assert not first.acts()


def test_fence_stays_armed_while_a_step_runs(stands):
    log, first, _ = stands
    first.start()
    wait_for(first.acts)
    with first.holder.acting("d", CLOCK.now_seconds()):
        log.is_down = True
        end_seconds = first.fence.end_seconds
        wait_for(lambda: CLOCK.now_seconds() > end_seconds + LEASE_SECONDS)
        assert first.fence.end_seconds is not None
    wait_for(lambda: first.fence.end_seconds is None)


def test_stop_waits_for_a_running_step(stands):
    _, first, _ = stands
    first.start()
    wait_for(first.acts)
    entered, leave = threading.Event(), threading.Event()

    def step():
        with first.holder.acting("d", CLOCK.now_seconds()):
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
