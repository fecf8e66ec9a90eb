"""The size that the system has to carry, and its control budget."""

from attrs import frozen

SECONDS_PER_DAY = 86_400


@frozen
class Target:
    """
    Sizes at the peak.

    :param nodes: Instances, each with an entry and a control.
    :param engines: Model engines.
    :param requests_per_second: Requests over all nodes.
    :param tokens_per_second: Generated tokens over all nodes.
    :param between_tokens_seconds: Promised time between tokens.
    :param customers: Customers.
    :param models: Models in steady use.
    :param zones: Availability zones.
    :param changes_per_day: Changes of configuration.
    :param restarts_per_day: Failed, restarted and replaced instances.
    """

    nodes: int = 410
    engines: int = 2_000
    requests_per_second: float = 3_600.0
    tokens_per_second: float = 1_800_000.0
    between_tokens_seconds: float = 0.056
    customers: int = 3_200
    models: int = 22
    zones: int = 6
    changes_per_day: int = 2_000
    restarts_per_day: int = 293

    @property
    def cells(self) -> int:
        """Cells, one for each model and availability zone."""
        return self.models * self.zones

    @property
    def nodes_per_cell(self) -> float:
        """Nodes that serve a cell."""
        return self.nodes / self.cells

    @property
    def engines_per_cell(self) -> float:
        """Engines of a cell."""
        return self.engines / self.cells

    @property
    def streams_per_node(self) -> float:
        """Streams that a node has open."""
        return self.tokens_per_second * self.between_tokens_seconds / self.nodes

    @property
    def tokens_per_node_per_second(self) -> float:
        """Tokens that a node relays."""
        return self.tokens_per_second / self.nodes

    @property
    def requests_per_node_per_second(self) -> float:
        """Requests that come to a node."""
        return self.requests_per_second / self.nodes

    @property
    def changes_per_second(self) -> float:
        """Changes of configuration."""
        return self.changes_per_day / SECONDS_PER_DAY


@frozen
class Budget:
    """
    What control may use of a node.

    :param core_percent: Processor time.
    :param memory_megabytes: Memory.
    :param kilobytes_per_second: Messages.
    """

    core_percent: float = 1.6
    memory_megabytes: float = 256.0
    kilobytes_per_second: float = 8.0


TARGET = Target()
BUDGET = Budget()
