"""Callers of one customer that move from one instance to the next."""

import threading
import time

from attrs import frozen

from waxwing_testbed.load import Call, CallSender
from waxwing_testbed.scenario._configuration import key_of
from waxwing_testbed.scenario._world import World
from waxwingwinch._types import CustomerId


@frozen
class PressurePlan:
    """
    How callers call.

    :param customer_id: Whose key they send.
    :param call: What they ask for.
    :param callers: How many call at once.
    :param pause_seconds: Pause between two calls of a caller.
    :param stay_seconds: After this time a caller goes to the next instance.
    :param timeout_seconds: How long a caller waits for an answer.
    """

    customer_id: CustomerId
    call: Call
    callers: int
    pause_seconds: float
    stay_seconds: float = 1.0
    timeout_seconds: float = 1.0


class Pressure:
    """
    Calls all instances until it is stopped, and records what callers saw.

    :param world: The deployment and its history.
    :param plan: How to call.
    """

    def __init__(self, world: World, plan: PressurePlan) -> None:
        self._world = world
        self._plan = plan
        self._sender = CallSender(
            plan.customer_id, key_of(plan.customer_id), plan.timeout_seconds
        )
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(plan.callers)
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Call no more; return when all calls have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        instances = self._world.deployment.instances
        started_seconds = time.monotonic()
        while not self._stopping.wait(self._plan.pause_seconds):
            moves = int((time.monotonic() - started_seconds) / self._plan.stay_seconds)
            instance = instances[(number + moves) % len(instances)]
            event = self._sender.send(instance.address, self._plan.call)
            self._world.history.add(event)
