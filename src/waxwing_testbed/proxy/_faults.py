"""The faults of a proxy."""

import enum

from attrs import frozen


class Direction(enum.Enum):
    """A direction of a proxied connection."""

    #: From the connecting process to the target.
    FORWARD = "forward"
    #: From the target to the connecting process.
    BACKWARD = "backward"


@frozen
class ProxyFaults:
    """
    What a proxy does to its connections from now on.

    :param delay_seconds: Added to each byte in each direction.
    :param cut: Directions whose bytes are held until the cut ends; with
        ``discard`` they are lost instead.
    :param discard: True to lose the bytes of a cut direction; the
        connection can't be used afterwards.
    :param refuse: True to close the listener, so that new connections are
        refused; existing ones live on.
    :param bytes_per_second: Bandwidth of each connection's direction; 0 for
        no limit.
    """

    delay_seconds: float = 0.0
    cut: tuple[Direction, ...] = ()
    discard: bool = False
    refuse: bool = False
    bytes_per_second: float = 0.0
