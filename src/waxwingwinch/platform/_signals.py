"""Signals of the platform, recorded from the start of the process."""

import signal
import time
from collections.abc import Callable


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
            first one.
        :param on_reload: Called for SIGHUP.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        if self._stop_seconds is not None:
            on_stop(self._stop_seconds)
        if self._is_reload_requested:
            on_reload()

    def _stop(self) -> None:
        if self._stop_seconds is None:
            self._stop_seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self._on_stop is not None:
            self._on_stop(self._stop_seconds)

    def _reload(self) -> None:
        self._is_reload_requested = True
        if self._on_reload is not None:
            self._on_reload()
