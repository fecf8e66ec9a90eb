"""The configuration in force in this process."""

import threading

from waxwingwinch.gateway._cluster_log_lines import ConfigurationInForce
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._routes import RouteTable


class CurrentTable:
    """Holds the newest known version; never goes back to an older one."""

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._lock = threading.Lock()

    def get(self) -> RouteTable | None:
        """Return the lookups of the version in force, if there is one."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        table = self._table
        return table.configuration.version if table is not None else 0

    def publish(self, configuration: GatewayConfiguration) -> bool:
        """
        Put a version in force unless it is older.

        :param configuration: The version.
        :returns: True if it is in force now.
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
