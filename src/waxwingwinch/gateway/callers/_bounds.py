"""Bounds on the connections of a listening address."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from attrs import frozen

#: Most header fields of a request. A head of 16,384 bytes, the default of
#: ``maxHeaderBytes``, holds fewer: the shortest field has 4 bytes.
MAX_HEADER_FIELDS = 4_096
#: Memory of a connection on which nothing is under way.
CONNECTION_BYTES = 12_288
#: Part of the process's memory for such connections of callers.
CONNECTIONS_MEMORY_FRACTION = 0.1
#: Part of the descriptors for connections of callers; the others are for
#: upstreams, other instances, the store and the addresses below.
CALLERS_FRACTION = 0.5
#: Part of the descriptors for each of readiness, directory and metrics, and
#: the least number, for the clients that an operator runs.
INFO_FRACTION = 0.03125
INFO_MIN_CONNECTIONS = 24
#: Part of the descriptors for connections that were refused, whose rest is
#: discarded.
LINGERING_FRACTION = 0.0625
#: Most of them, as the thread that closes them looks at each.
MAX_LINGERING = 256
#: The same for each of readiness, directory and metrics.
INFO_MAX_LINGERING = 16
#: Most bytes discarded of a refused request at these addresses, where no
#: request has a body.
INFO_LINGER_BYTES = 65_536


@frozen
class ServerBounds:
    """
    Bounds on the connections of one listening address.

    :param connections: Connections that are open at once.
    :param lingering: Refused connections whose rest is discarded.
    :param linger_bytes: Most bytes discarded of each; None for the default.
    """

    connections: int
    lingering: int = MAX_LINGERING
    linger_bytes: int | None = None


def front_bounds(descriptors: int, memory_bytes: int, requests: int) -> ServerBounds:
    """
    Return the bounds on the connections of callers.

    :param descriptors: Descriptors that the process may open.
    :param memory_bytes: Memory that the process may use.
    :param requests: Requests that may be in progress at once.
    """
    by_memory = int(memory_bytes * CONNECTIONS_MEMORY_FRACTION) // CONNECTION_BYTES
    connections = min(int(descriptors * CALLERS_FRACTION), by_memory)
    lingering = min(int(descriptors * LINGERING_FRACTION), MAX_LINGERING)
    return ServerBounds(max(connections, requests), max(lingering, 1))


def info_bounds(descriptors: int) -> ServerBounds:
    """
    Return the bounds of readiness, directory or metrics.

    :param descriptors: Descriptors that the process may open.
    """
    connections = max(int(descriptors * INFO_FRACTION), INFO_MIN_CONNECTIONS)
    return ServerBounds(connections, INFO_MAX_LINGERING, INFO_LINGER_BYTES)


class Blockable(Protocol):
    """A connection whose thread may wait for its client."""

    blocked_since_seconds: float | None


ConnectionT = TypeVar("ConnectionT", bound=Blockable)


def longest_first(
    connections: Iterable[ConnectionT], since_seconds: float, count: int
) -> list[ConnectionT]:
    """
    Return connections whose clients have let a thread wait the longest.

    :param connections: All connections that are under way.
    :param since_seconds: Monotonic time; those that wait only since later are
        left alone.
    :param count: Most connections to return.
    """
    # Threads may go on meanwhile, so each time is read once.
    times = [(entry.blocked_since_seconds, entry) for entry in connections]
    waiting = [
        (blocked_seconds, entry)
        for blocked_seconds, entry in times
        if blocked_seconds is not None and blocked_seconds <= since_seconds
    ]
    waiting.sort(key=lambda pair: pair[0])
    return [entry for _, entry in waiting[:count]]
