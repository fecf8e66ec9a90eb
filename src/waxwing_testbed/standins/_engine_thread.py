"""The thread that drives an engine model along the clock."""

import threading
import time
from collections.abc import Callable
from typing import TypeVar

from waxwing_testbed.standins._engine_model import EngineModel
from waxwing_testbed.standins._settings import EngineSettings

T = TypeVar("T")

#: Longest sleep of the thread.
_IDLE_SECONDS = 1.0


class EngineThread:
    """
    Runs one engine model; all access to it goes through this class.

    :param settings: The engine's settings.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._model = EngineModel(settings, time.monotonic())
        self._condition = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to generate."""
        self._thread.start()

    def stop(self) -> int:
        """End the thread, cut all generations and return their number."""
        with self._condition:
            self._stopped = True
            self._condition.notify()
        self._thread.join()
        return self._model.cut_all()

    def use(self, action: Callable[[EngineModel, float], T]) -> T:
        """
        Do something with the model while the thread waits.

        :param action: Called with the model and the present time.
        """
        with self._condition:
            now_seconds = time.monotonic()
            self._model.advance(now_seconds)
            result = action(self._model, now_seconds)
            self._condition.notify()
            return result

    def _run(self) -> None:
        with self._condition:
            while not self._stopped:
                now_seconds = time.monotonic()
                self._model.advance(now_seconds)
                self._condition.wait(self._sleep_seconds(now_seconds))

    def _sleep_seconds(self, now_seconds: float) -> float:
        due_seconds = self._model.next_step_at_seconds()
        if due_seconds is None:
            return _IDLE_SECONDS
        return min(max(due_seconds - now_seconds, 0.0), _IDLE_SECONDS)
