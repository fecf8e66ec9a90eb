"""Free TCP ports on the loopback interface."""

import socket

from waxwingwinch._types import Address

#: The host that all processes of a deployment listen on.
LOOPBACK_HOST = "127.0.0.1"


def free_addresses(count: int) -> list[Address]:
    """
    Return addresses that nothing listens on.

    :param count: How many.
    """
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((LOOPBACK_HOST, 0))
        return [Address(LOOPBACK_HOST, probe.getsockname()[1]) for probe in probes]
    finally:
        for probe in probes:
            probe.close()
