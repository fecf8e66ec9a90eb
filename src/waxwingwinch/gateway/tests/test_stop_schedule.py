"""Times of a planned stop, and which requests it takes."""

import threading

import pytest
from attrs import astuple

from waxwingwinch.gateway._stop import HANDSHAKE_SECONDS, StopSequence, stop_schedule
from waxwingwinch.gateway.tests.fakes import FakeClock

SIGNALLED_SECONDS = 1_000.0
GRACE_SECONDS = (2.0, 3.0, 8.0, 30.0)

each_grace = pytest.mark.parametrize("grace_seconds", GRACE_SECONDS)


def schedule_of(grace_seconds):
    return stop_schedule(SIGNALLED_SECONDS, grace_seconds)


@each_grace
def test_phases_follow_one_another(grace_seconds):
    schedule = schedule_of(grace_seconds)
    times = astuple(schedule)[:-1]
    assert list(times) == sorted(set(times))
    assert schedule.refuse_seconds + HANDSHAKE_SECONDS < schedule.answer_seconds
    assert schedule.refuse_seconds <= schedule.withdraw_seconds
    assert schedule.withdraw_seconds < schedule.cancel_seconds


@each_grace
def test_the_process_exits_before_it_is_killed(grace_seconds):
    took_seconds = schedule_of(grace_seconds).exit_seconds - SIGNALLED_SECONDS
    assert took_seconds <= 0.95 * grace_seconds + 1e-9


# Guards against requests that are taken later than the time up to which an
# upstream may still work on them at the end of the stop.
@each_grace
def test_a_request_that_may_be_cut_is_sent_within_3_seconds(grace_seconds):
    schedule = schedule_of(grace_seconds)
    assert schedule.late_seconds < SIGNALLED_SECONDS + 3.0
    long_seconds = SIGNALLED_SECONDS + 10 * grace_seconds
    late = schedule.late_seconds
    assert schedule.deadline_seconds(late - 0.01, long_seconds) is not None
    assert schedule.deadline_seconds(late, long_seconds) is None


@each_grace
def test_a_late_request_is_taken_if_its_deadline_lies_before_the_end(grace_seconds):
    schedule = schedule_of(grace_seconds)
    end = schedule.answer_seconds
    assert schedule.deadline_seconds(schedule.late_seconds, end) == end
    assert schedule.deadline_seconds(schedule.refuse_seconds, end) is None


# Guards against answers that are cut well before the process has to end.
@pytest.mark.parametrize("grace_seconds", [3.0, 8.0, 30.0])
def test_answers_may_come_in_the_last_sixth_of_the_grace_period(grace_seconds):
    schedule = schedule_of(grace_seconds)
    assert schedule.answer_seconds - SIGNALLED_SECONDS > grace_seconds * 5 / 6


@each_grace
def test_requests_cancelled_at_the_end_have_time_for_an_answer(grace_seconds):
    schedule = schedule_of(grace_seconds)
    assert schedule.exit_seconds - schedule.cancel_seconds >= 0.149


class ImpairedFront:
    """A server of callers whose sockets can't be closed in order."""

    is_awaited = False
    under_way = 0

    def __init__(self):
        self.calls: list[str] = []

    def __getattr__(self, name):
        def call(*_):
            self.calls.append(name)
            if name in ("refuse_handshakes", "close_idle"):
                raise OSError(24, "Too many open files")

        return call


# Guards against a stop that ends the process at once, with all its requests,
# as no descriptor or thread is left.
def test_a_stop_goes_on_after_a_part_of_it_failed(monkeypatch):
    front = ImpairedFront()
    clock = FakeClock()
    clock.seconds = 100.0
    sequence = StopSequence(
        stop_schedule(90.0, 10.0), front, front, (), lambda: None, clock
    )

    def refuse(_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse)
    sequence.begin()
    sequence.run()
    assert front.calls[-1] == "record_left"
