"""Signals of the platform, recorded from the start of the process."""

import signal
import threading
import time
from collections.abc import Callable

#: Interval at which a process notes that it runs.
RUN_NOTE_SECONDS = 0.2
#: Time between two notes from which on the process did not run meanwhile.
MIN_PAUSE_SECONDS = 2 * RUN_NOTE_SECONDS


class RunNotes:
    """
    Notes when the process ran, to tell when a signal may have arrived.

    The kernel does not tell when a signal was sent. A process that was paused,
    or got no processor, sees it afterwards.

    :param now_seconds: Monotonic time.
    """

    def __init__(self, now_seconds: float) -> None:
        self._noted_seconds = now_seconds
        self._pause_began_seconds = now_seconds
        self._pause_ended_seconds = now_seconds

    def note(self, now_seconds: float) -> None:
        """
        Note that the process runs.

        :param now_seconds: Monotonic time.
        """
        if now_seconds - self._noted_seconds >= MIN_PAUSE_SECONDS:
            self._pause_began_seconds = self._noted_seconds
            self._pause_ended_seconds = now_seconds
        self._noted_seconds = now_seconds

    def earliest_arrival_seconds(self, now_seconds: float) -> float:
        """
        Return the earliest time at which a signal seen now may have arrived.

        :param now_seconds: Monotonic time.
        """
        if now_seconds - self._noted_seconds >= MIN_PAUSE_SECONDS:
            return self._noted_seconds
        # The thread that makes the notes may run before the handler.
        if now_seconds - self._pause_ended_seconds < RUN_NOTE_SECONDS:
            return self._pause_began_seconds
        return now_seconds


class SignalInbox:
    """
    Records SIGTERM and SIGHUP until the process can act on them.

    Their default action would end a process that has not finished starting.
    """

    def __init__(self) -> None:
        self._stop_seconds: float | None = None
        self._is_reload_requested = False
        self._on_stop: Callable[[float], None] | None = None
        self._on_reload: Callable[[], None] | None = None
        #: None until the process has started; its start is no pause.
        self._run_notes: RunNotes | None = None

    def install(self) -> None:
        """Install the handlers; called in the main thread."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop())
        signal.signal(signal.SIGHUP, lambda *_: self._reload())

    def deliver(
        self, on_stop: Callable[[float], None], on_reload: Callable[[], None]
    ) -> None:
        """
        Deliver the recorded signals and all later ones.

        :param on_stop: Called for SIGTERM with the monotonic time of the
            first one, the earliest possible if the process was paused.
        :param on_reload: Called for SIGHUP.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        self._run_notes = notes = RunNotes(_now_seconds())
        threading.Thread(
            target=self._note_runs, args=(notes,), name="run-notes", daemon=True
        ).start()
        if self._stop_seconds is not None:
            on_stop(self._stop_seconds)
        if self._is_reload_requested:
            on_reload()

    def _stop(self) -> None:
        if self._stop_seconds is None:
            self._stop_seconds = (
                self._run_notes.earliest_arrival_seconds(_now_seconds())
                if self._run_notes is not None
                else _now_seconds()
            )
        if self._on_stop is not None:
            self._on_stop(self._stop_seconds)

    def _reload(self) -> None:
        self._is_reload_requested = True
        if self._on_reload is not None:
            self._on_reload()

    def _note_runs(self, notes: RunNotes) -> None:
        while self._stop_seconds is None:
            notes.note(_now_seconds())
            time.sleep(RUN_NOTE_SECONDS)


def _now_seconds() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
