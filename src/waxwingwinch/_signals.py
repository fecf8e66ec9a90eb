"""Signals to a process, recorded from its first moment."""

import os
import select
import signal
import threading
import time
from collections.abc import Callable

#: Interval at which a process notes that it runs.
RUN_NOTE_SECONDS = 0.2
#: Time between two notes from which on the process did not run meanwhile.
MIN_PAUSE_SECONDS = 2 * RUN_NOTE_SECONDS

_READ_BYTES = 4_096


def earliest_arrival_seconds(noted_seconds: float, seen_seconds: float) -> float:
    """
    Return the earliest time at which a signal may have arrived.

    The kernel does not tell when a signal was sent. A process that was paused,
    or got no processor, sees it afterwards.

    :param noted_seconds: Monotonic time at which the process last noted that
        it runs.
    :param seen_seconds: Monotonic time at which it saw the signal.
    """
    is_paused = seen_seconds - noted_seconds >= MIN_PAUSE_SECONDS
    return noted_seconds if is_paused else seen_seconds


class SignalInbox:
    """
    Passes signals to a thread.

    A handler of Python runs in the main thread, which may hold any lock at
    that moment, or be in the handler of an earlier signal. It does not run
    while the main thread waits, if the kernel gave the signal to another
    thread. So the handlers only replace the default actions, and a thread
    reads the signals from a pipe.

    :param stop_signals: Signals that ask the process to stop.
    :param reload_signals: Signals that ask it to reload its settings.
    """

    def __init__(
        self,
        stop_signals: tuple[signal.Signals, ...] = (signal.SIGTERM,),
        reload_signals: tuple[signal.Signals, ...] = (),
    ) -> None:
        self._stop_signals = stop_signals
        self._reload_signals = reload_signals
        self._reader, self._writer = os.pipe()
        self._first_stop_seconds: float | None = None

    def install(self) -> None:
        """Install the handlers; called in the main thread."""
        os.set_blocking(self._writer, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in self._stop_signals:
            signal.signal(number, self._note_stop)
        for number in self._reload_signals:
            signal.signal(number, lambda *_: None)

    def deliver(
        self,
        on_stop: Callable[[float], object],
        on_reload: Callable[[], object] = lambda: None,
    ) -> None:
        """
        Deliver the signals so far and all later ones, in a thread.

        :param on_stop: Called for the first signal to stop, with the earliest
            monotonic time at which it may have arrived.
        :param on_reload: Called for each signal to reload before it.
        """
        threading.Thread(
            target=self._deliver_all,
            args=(on_stop, on_reload),
            name="signals",
            daemon=True,
        ).start()

    def _deliver_all(
        self, on_stop: Callable[[float], object], on_reload: Callable[[], object]
    ) -> None:
        poller = select.poll()
        poller.register(self._reader, select.POLLIN)
        noted_seconds = _now_seconds()
        while True:
            has_signals = bool(poller.poll(RUN_NOTE_SECONDS * 1_000))
            now_seconds = _now_seconds()
            for number in os.read(self._reader, _READ_BYTES) if has_signals else b"":
                if number in self._stop_signals:
                    seen_seconds = self._first_stop_seconds or now_seconds
                    on_stop(earliest_arrival_seconds(noted_seconds, seen_seconds))
                    return
                if number in self._reload_signals:
                    on_reload()
            noted_seconds = now_seconds

    def _note_stop(self, *_: object) -> None:
        if self._first_stop_seconds is None:
            self._first_stop_seconds = _now_seconds()


def _now_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
