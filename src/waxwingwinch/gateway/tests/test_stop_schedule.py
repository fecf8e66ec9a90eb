"""Times of a planned stop, and which requests it takes."""

import pytest
from attrs import astuple

from waxwingwinch.gateway._stop import HANDSHAKE_SECONDS, stop_schedule

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
