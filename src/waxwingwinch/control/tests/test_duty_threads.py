"""Tests of the duty thread, with its steps called directly."""

from contextlib import contextmanager

import pytest

from waxwing_testbed.fakes import ManualClock
from waxwingwinch._exceptions import AuthorityLost
from waxwingwinch._types import Epoch
from waxwingwinch.control._duty_threads import DutyThread


class FakeHolder:
    epoch: Epoch | None = None

    @contextmanager
    def lease_guard(self, duty, now_seconds):
        if self.epoch is None:
            raise AuthorityLost(duty)
        yield self.epoch


class Runner:
    duty = "d"

    def __init__(self):
        self.calls = []
        self.error: Exception | None = None

    def begin(self, epoch, now_seconds):
        self.calls.append(("begin", epoch))

    def step(self, now_seconds):
        self.calls.append("step")
        if self.error:
            raise self.error

    def end(self):
        self.calls.append("end")


def test_begins_each_term_and_ends_it_once():
    holder, runner = FakeHolder(), Runner()
    thread = DutyThread(runner, holder, ManualClock())  # type: ignore[arg-type]
    assert not thread.step(1.0)
    holder.epoch = Epoch(3)
    assert thread.step(2.0)
    holder.epoch = Epoch(8)
    assert thread.step(3.0)
    holder.epoch = None
    assert not thread.step(4.0)
    assert not thread.step(5.0)
    assert runner.calls == [
        ("begin", 3),
        "step",
        "end",
        ("begin", 8),
        "step",
        "end",
    ]


def test_authority_lost_within_a_step_ends_the_term():
    holder, runner = FakeHolder(), Runner()
    thread = DutyThread(runner, holder, ManualClock())  # type: ignore[arg-type]
    holder.epoch, runner.error = Epoch(3), AuthorityLost("lease ended")
    assert not thread.step(1.0)
    assert runner.calls[-1] == "end"
    runner.error = ValueError("broken")
    with pytest.raises(ValueError):
        thread.step(2.0)
