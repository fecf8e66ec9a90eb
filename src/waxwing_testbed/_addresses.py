"""Unused addresses on the loopback network."""

import os
import random
import socket

from waxwingwinch._types import Address

#: Below the ports that the kernel gives to connecting sockets.
_FIRST_PORT = 10_000
_LAST_PORT = 30_000
_MAX_ATTEMPTS = 1_000


def free_addresses(count: int) -> tuple[Address, ...]:
    """
    Find addresses that nothing listens on.

    Each process searches on its own IP number, so that processes that
    search at the same time don't find the same.

    :param count: Number of addresses.
    :raises OSError: If not enough are free.
    """
    host = _own_host(os.getpid())
    found: list[Address] = []
    for _ in range(_MAX_ATTEMPTS + count):
        address = Address(host, random.randint(_FIRST_PORT, _LAST_PORT))
        if address not in found and _is_free(address):
            found.append(address)
        if len(found) == count:
            return tuple(found)
    raise OSError(f"no {count} free addresses on {host}")


def _own_host(process_id: int) -> str:
    upper, lower = divmod(process_id, 1 << 16)
    return f"127.{1 + upper % 254}.{lower >> 8}.{lower & 255}"


def _is_free(address: Address) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address.host, address.port))
        except OSError:
            return False
        return True
