"""Settings of the HTTP side of an entry."""

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.settings import RoutingPolicyKind

#: Threads that serve connections; each open stream occupies one.
SERVER_THREADS = 512
#: Of the server threads, those reserved for health checks, metrics and
#: operator requests.
RESERVED_THREADS = 32
#: Connections that the kernel queues before they are accepted.
LISTEN_BACKLOG = 512
#: Maximum size of a request head.
MAX_HEADER_BYTES = 32_768
#: Maximum size of a request body, even if the configuration allows more.
HARD_MAX_BODY_BYTES = 16 * 1_024 * 1_024
#: Longest time to receive the head and body of one request.
REQUEST_READ_TIMEOUT_SECONDS = 10.0
#: Longest time that one send or receive on a connection may block.
SOCKET_TIMEOUT_SECONDS = 10.0


@frozen
class EntryOptions:
    """
    Settings of the HTTP side of an entry.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param address: Address at which it serves callers.
    :param server_threads: Threads that serve connections.
    :param request_read_timeout_seconds: Longest time to receive the head and
        body of one request.
    :param socket_timeout_seconds: Longest time that one send or receive may
        block.
    :param routing_policy: How the engine of a generation is chosen.
    """

    instance_id: InstanceId
    zone: ZoneName
    address: Address
    server_threads: int = SERVER_THREADS
    request_read_timeout_seconds: float = REQUEST_READ_TIMEOUT_SECONDS
    socket_timeout_seconds: float = SOCKET_TIMEOUT_SECONDS
    routing_policy: RoutingPolicyKind = RoutingPolicyKind.EARLIEST_FIRST_TOKEN
