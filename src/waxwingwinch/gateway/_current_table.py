"""The configuration in force in this process."""

import threading

from waxwingwinch.gateway._cluster_log_lines import ConfigurationInForce
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._routes import RouteTable


class CurrentTable:
    """Holds the newest known configuration; ignores older versions."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._lock = threading.Lock()

    def get(self) -> RouteTable | None:
        """Return the lookup tables of the version in force, if any."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none yet."""
        table = self._table
        return table.configuration.version if table is not None else 0

    def publish(self, configuration: GatewayConfiguration) -> bool:
        """
        Put a configuration in force if its version is newer.

        :param configuration: The configuration.
        :returns: True if it was put in force; False if the version in force is
            the same or newer.
        """
        with self._lock:
            if configuration.version <= self.version:
                return False
            self._table = RouteTable.build(configuration)
        ConfigurationInForce(
            version=configuration.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        ).write()
        return True
