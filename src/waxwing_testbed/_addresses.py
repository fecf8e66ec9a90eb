"""Unused addresses on the loopback network."""

import os
import random
import socket
import threading

from waxwingwinch._types import Address

#: Below the ports that the kernel gives to connecting sockets.
_FIRST_PORT = 10_000
_LAST_PORT = 30_000
_MAX_ATTEMPTS = 1_000

#: Addresses that were given out, whose processes may not listen yet.
_given: set[Address] = set()
_lock = threading.Lock()


def free_addresses(count: int) -> tuple[Address, ...]:
    """
    Find addresses that nothing listens on, each given out once.

    Each process searches on its own IP number, so that processes that
    search at the same time don't find the same.

    :param count: Number of addresses.
    :raises OSError: If not enough are free.
    """
    host = _own_host(os.getpid())
    found: list[Address] = []
    for _ in range(_MAX_ATTEMPTS + count):
        if len(found) == count:
            return tuple(found)
        address = Address(host, random.randint(_FIRST_PORT, _LAST_PORT))
        if _is_free(address) and _take(address):
            found.append(address)
    raise OSError(f"no {count} free addresses on {host}")


def _take(address: Address) -> bool:
    """Give an address out; False if it was given before."""
    with _lock:
        is_new = address not in _given
        _given.add(address)
    return is_new


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
