"""When a signal may have arrived."""

from waxwingwinch._signals import (
    MIN_PAUSE_SECONDS,
    RUN_NOTE_SECONDS,
    earliest_arrival_seconds,
)


def test_a_signal_arrives_when_a_running_process_sees_it():
    assert earliest_arrival_seconds(10.0, 10.0 + RUN_NOTE_SECONDS) == 10.2


# Guards against times of a stop that count from the end of a pause, while the
# platform counts them from the signal.
def test_a_signal_may_have_arrived_at_the_beginning_of_a_pause():
    assert earliest_arrival_seconds(10.0, 10.0 + MIN_PAUSE_SECONDS) == 10.0
    assert earliest_arrival_seconds(10.0, 10.8) == 10.0
