"""The availability zones that operators have evacuated."""

import threading
from collections.abc import Iterable

from waxwingwinch._types import ZoneName
from waxwingwinch.gateway.evacuation._log_lines import ZoneEvacuated, ZoneReturned


class EvacuatedZones:
    """The evacuations in force; may be used from all threads."""

    def __init__(self) -> None:
        # Replaced as a whole, so that readers, which ask for each upstream of
        # each choice, need no lock.
        self._zones: frozenset[ZoneName] = frozenset()
        self._lock = threading.Lock()

    def zones(self) -> frozenset[ZoneName]:
        """Return the evacuated zones."""
        return self._zones

    def contains(self, zone: ZoneName) -> bool:
        """
        Tell whether a zone is evacuated.

        :param zone: The availability zone.
        """
        return zone in self._zones

    def put(self, zone: ZoneName) -> None:
        """
        Begin an evacuation.

        :param zone: The availability zone.
        """
        with self._lock:
            self._replace(self._zones | {zone})

    def remove(self, zone: ZoneName) -> None:
        """
        End an evacuation.

        :param zone: The availability zone.
        """
        with self._lock:
            self._replace(self._zones - {zone})

    def set_all(self, zones: Iterable[ZoneName]) -> None:
        """
        Put exactly the given evacuations in force.

        :param zones: The availability zones.
        """
        with self._lock:
            self._replace(frozenset(zones))

    def add_all(self, zones: Iterable[ZoneName]) -> None:
        """
        Put the given evacuations in force beside those that are.

        :param zones: The availability zones.
        """
        with self._lock:
            self._replace(self._zones | frozenset(zones))

    def _replace(self, zones: frozenset[ZoneName]) -> None:
        begun, ended = zones - self._zones, self._zones - zones
        self._zones = zones
        for zone in sorted(begun):
            ZoneEvacuated(zone=zone).write()
        for zone in sorted(ended):
            ZoneReturned(zone=zone).write()
