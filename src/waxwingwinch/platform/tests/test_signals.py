"""When a signal may have arrived."""

import os
import select
import signal

from waxwingwinch import _signals
from waxwingwinch._signals import (
    MIN_PAUSE_SECONDS,
    RUN_NOTE_SECONDS,
    SignalInbox,
    earliest_arrival_seconds,
)


def test_a_signal_arrives_when_a_running_process_sees_it():
    assert earliest_arrival_seconds(10.0, 10.0 + RUN_NOTE_SECONDS) == 10.2


# Guards against times of a stop that count from the end of a pause, while the
# platform counts them from the signal.
def test_a_signal_may_have_arrived_at_the_beginning_of_a_pause():
    assert earliest_arrival_seconds(10.0, 10.0 + MIN_PAUSE_SECONDS) == 10.0
    assert earliest_arrival_seconds(10.0, 10.8) == 10.0


class FakePoll:
    """Sees nothing at its first look, as a signal comes just after it."""

    def __init__(self):
        self.results = [[], [(0, select.POLLIN)]]

    def register(self, *_):
        """Do nothing; the results are given."""

    def poll(self, _):
        return self.results.pop(0)


# Guards against a stop that counts from the end of a pause, if the pause came
# between the end of a wait for signals and the reading of the clock.
def test_a_signal_that_came_in_a_pause_after_a_wait_counts_from_before(monkeypatch):
    times = iter([10.0, 10.8])
    monkeypatch.setattr(select, "poll", FakePoll)
    monkeypatch.setattr(_signals, "_now_seconds", lambda: next(times))
    stops: list[float] = []
    inbox = SignalInbox()
    os.write(inbox._writer, bytes([signal.SIGTERM]))
    inbox._deliver_all(stops.append, lambda: None)
    assert stops == [10.0]
