"""Signals of the platform, recorded from the start of the process."""

import signal
import threading
import time
from collections.abc import Callable

#: The signals of the platform.
SIGNALS = (signal.SIGTERM, signal.SIGHUP)
#: Interval at which a process notes that it runs.
RUN_NOTE_SECONDS = 0.2
#: Time between two notes from which on the process did not run meanwhile.
MIN_PAUSE_SECONDS = 2 * RUN_NOTE_SECONDS


def is_pause(noted_seconds: float, now_seconds: float) -> bool:
    """
    Return whether the process did not run for a time.

    :param noted_seconds: Monotonic time at which the process last noted that
        it runs.
    :param now_seconds: Monotonic time.
    """
    return now_seconds - noted_seconds >= MIN_PAUSE_SECONDS


def earliest_arrival_seconds(noted_seconds: float, now_seconds: float) -> float:
    """
    Return the earliest time at which a signal seen now may have arrived.

    The kernel does not tell when a signal was sent. A process that was paused,
    or got no processor, sees it afterwards.

    :param noted_seconds: Monotonic time at which the process last noted that
        it runs.
    :param now_seconds: Monotonic time.
    """
    return noted_seconds if is_pause(noted_seconds, now_seconds) else now_seconds


class SignalInbox:
    """
    Records SIGTERM and SIGHUP until the process can act on them.

    Their default action would end a process that has not finished starting. A
    handler would not do: Python runs it in the main thread, which sleeps on if
    the kernel has picked another thread for the signal. So all threads block
    the signals, but for one that waits for them.
    """

    def __init__(self) -> None:
        self._stop_seconds: float | None = None
        self._is_reload_requested = False
        self._on_stop: Callable[[float], None] | None = None
        self._on_reload: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def install(self) -> None:
        """Wait for signals; called in the main thread before all others."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        threading.Thread(target=self._run, name="signals", daemon=True).start()

    def deliver(
        self, on_stop: Callable[[float], None], on_reload: Callable[[], None]
    ) -> None:
        """
        Deliver the recorded signals and all later ones.

        :param on_stop: Called for SIGTERM with the monotonic time of the
            first one, the earliest possible if the process was paused.
        :param on_reload: Called for SIGHUP.
        """
        with self._lock:
            self._on_stop, self._on_reload = on_stop, on_reload
            if self._stop_seconds is not None:
                on_stop(self._stop_seconds)
            if self._is_reload_requested:
                on_reload()

    def _run(self) -> None:
        noted_seconds = _now_seconds()
        while True:
            info = signal.sigtimedwait(SIGNALS, RUN_NOTE_SECONDS)
            now_seconds = _now_seconds()
            if info is None and is_pause(noted_seconds, now_seconds):
                # The signal may have come in the pause, after the wait ended.
                info = signal.sigtimedwait(SIGNALS, 0)
            if info is not None and info.si_signo == signal.SIGTERM:
                self._stop(earliest_arrival_seconds(noted_seconds, now_seconds))
            elif info is not None:
                self._reload()
            noted_seconds = now_seconds

    def _stop(self, arrived_seconds: float) -> None:
        with self._lock:
            if self._stop_seconds is None:
                self._stop_seconds = arrived_seconds
            if self._on_stop is not None:
                self._on_stop(self._stop_seconds)

    def _reload(self) -> None:
        with self._lock:
            self._is_reload_requested = True
            if self._on_reload is not None:
                self._on_reload()


def _now_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
