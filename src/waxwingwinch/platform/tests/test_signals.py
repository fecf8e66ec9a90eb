"""When a signal may have arrived."""

import pytest

from waxwingwinch.platform._signals import RUN_NOTE_SECONDS, RunNotes


def notes_until(end_seconds):
    """Return notes of a process that ran until a time."""
    notes = RunNotes(0.0)
    for number in range(1, round(end_seconds / RUN_NOTE_SECONDS) + 1):
        notes.note(number * RUN_NOTE_SECONDS)
    return notes


def test_a_signal_arrives_when_a_running_process_sees_it():
    notes = notes_until(2.0)
    assert notes.earliest_arrival_seconds(2.1) == 2.1


# Guards against times of a stop that count from the end of a pause, while the
# platform counts them from the signal.
@pytest.mark.parametrize("is_noted_first", [True, False])
def test_a_signal_may_have_arrived_at_the_beginning_of_a_pause(is_noted_first):
    notes = notes_until(2.0)
    if is_noted_first:
        notes.note(2.8)
    assert notes.earliest_arrival_seconds(2.81) == pytest.approx(2.0)


def test_an_earlier_pause_does_not_count():
    notes = notes_until(2.0)
    notes.note(2.8)
    notes.note(3.0)
    assert notes.earliest_arrival_seconds(3.1) == 3.1
