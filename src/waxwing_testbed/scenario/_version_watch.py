"""Watching which configuration versions are in force."""

import threading
import time

from waxwing_testbed.history import VersionSighting
from waxwing_testbed.scenario._world import World
from waxwingwinch._exceptions import WaxwingError
from waxwingwinch.operators import AllUnreachable

#: Pause between two looks at an instance.
LOOK_PAUSE_SECONDS = 0.1


class VersionWatch:
    """
    Asks each instance again and again, from a thread for each.

    :param world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._sightings: list[VersionSighting] = []
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(str(instance.instance_id),), daemon=True
            )
            for instance in world.deployment.instances
        ]

    def start(self) -> None:
        """Begin to watch."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[VersionSighting]:
        """Watch no more and return what was seen."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return list(self._sightings)

    def _run(self, name: str) -> None:
        operator = self._world.operator(name)
        while not self._stopping.wait(LOOK_PAUSE_SECONDS):
            try:
                version = operator.configuration().version
            except (AllUnreachable, WaxwingError):
                continue
            sighting = VersionSighting(name, version, time.monotonic())
            self._sightings.append(sighting)
