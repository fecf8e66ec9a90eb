"""Settings of the HTTP side of an entry."""

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.settings import RoutingPolicyKind

#: Threads that serve connections; each open stream takes one.
SERVER_THREADS = 512
#: Threads kept free for health checks, metrics and operators.
RESERVED_THREADS = 32
#: Connections that the kernel holds before they are accepted.
LISTEN_BACKLOG = 512
#: Largest request head.
HEADER_BYTES_MAX = 32_768
#: Hard bound of a body, whatever the configuration says.
BODY_BYTES_HARD_MAX = 16 * 1_024 * 1_024
#: Longest time to receive the head and body of one request.
REQUEST_READ_SECONDS = 10.0
#: Longest time that one send or receive on a connection may block.
SOCKET_TIMEOUT_SECONDS = 10.0


@frozen
class EntryOptions:
    """
    What an entry learns from its settings.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param address: Where it serves callers.
    :param server_threads: Threads that serve connections.
    :param request_read_seconds: Longest time to receive one request.
    :param socket_timeout_seconds: Longest time that one send may block.
    :param routing_policy: How the engine of a generation is chosen.
    """

    instance_id: InstanceId
    zone: ZoneName
    address: Address
    server_threads: int = SERVER_THREADS
    request_read_seconds: float = REQUEST_READ_SECONDS
    socket_timeout_seconds: float = SOCKET_TIMEOUT_SECONDS
    routing_policy: RoutingPolicyKind = RoutingPolicyKind.EARLIEST_FIRST_TOKEN
