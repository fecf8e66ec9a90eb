"""Ports for servers of tests."""

import itertools
import os
import socket

HOST = "127.0.0.1"
#: Below the ports that systems give to outgoing connections, which could take
#: one before the server listens.
PORTS = range(10_000, 32_000)
#: Keeps processes that run tests at the same time apart.
PROCESS_STRIDE = 199

_offsets = itertools.count(os.getpid() * PROCESS_STRIDE)


def free_port():
    """Return a port that nobody listens on, each time another one."""
    while True:
        port = PORTS[next(_offsets) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # It is in use; the next one is tried.
                continue
        return port
