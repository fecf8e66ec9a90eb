"""Calls that go on while a scenario does something else."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future

from waxwing_testbed.history import CallEvent
from waxwing_testbed.load import Call
from waxwing_testbed.scenario._world import World

#: Pause of a caller between two calls.
CALL_PAUSE_SECONDS = 0.05


class BackgroundCallers:
    """
    Callers that ask again and again until they are told to stop.

    :param world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._events: list[CallEvent] = []
        self._streams: list[Future[CallEvent]] = []

    def ask(self, make_call: Callable[[int], Call], instance: str) -> None:
        """
        Let one more caller ask.

        :param make_call: Makes its calls from their numbers.
        :param instance: Name of the instance.
        """
        thread = threading.Thread(
            target=self._run, args=(make_call, instance), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def stream(self, call: Call, instance: str) -> None:
        """
        Begin one call and keep its outcome for :meth:`streams`.

        :param call: What is asked for.
        :param instance: Name of the instance.
        """
        self._streams.append(self._world.send_in_background(call, instance))

    def streams(self) -> list[CallEvent]:
        """Wait for the ends of the begun calls and return them."""
        return [stream.result() for stream in self._streams]

    def running_streams(self) -> int:
        """Return the number of begun calls that have not ended."""
        return sum(not stream.done() for stream in self._streams)

    def stop(self) -> list[CallEvent]:
        """Stop all callers and return what they saw."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self._events

    def _run(self, make_call: Callable[[int], Call], instance: str) -> None:
        for number in itertools.count():
            if self._stopping.wait(CALL_PAUSE_SECONDS):
                return
            event = self._world.send(make_call(number), instance)
            with self._lock:
                self._events.append(event)
