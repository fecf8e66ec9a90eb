"""Registry entry of an upstream."""

import enum

from attrs import frozen

from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName


class RegisteredState(enum.Enum):
    """State that an upstream has registered, or stated in an answer."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Upstream:
    """
    Registry entry of one incarnation of an upstream.

    :param upstream_id: Id of the upstream; the same after a restart.
    :param started_ms: Unix time of its start in milliseconds; 0 if unknown.
    :param service: Name of its service.
    :param address: Address at which it serves requests.
    :param zone: Its availability zone.
    :param state: Whether it takes new work.
    :param slots: Requests that it serves concurrently.
    :param cold_until_seconds: Monotonic time until which it is warming up.
    :param role: Role of an engine; None for a plain upstream.
    :param is_spot: True if the platform may reclaim it.
    :param sequence: Increases with each entry of one incarnation.
    :param is_cold_stated: False if the entry doesn't say whether it is cold.
    """

    upstream_id: UpstreamId
    started_ms: int
    service: str
    address: Address
    zone: ZoneName
    state: RegisteredState
    slots: int
    cold_until_seconds: float = 0.0
    role: EngineRole | None = None
    is_spot: bool = False
    sequence: int = 0
    is_cold_stated: bool = True

    def is_older_than(self, other: "Upstream") -> bool:
        """
        Tell whether an entry was written before another of the same id.

        :param other: The other entry.
        """
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
