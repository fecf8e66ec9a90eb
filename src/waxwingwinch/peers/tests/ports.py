"""Ports for servers in tests."""

import itertools
import os
import socket

HOST = "127.0.0.1"
#: Below the ephemeral range, from which the kernel could give a port to an
#: outgoing connection before the test's server listens on it.
PORTS = range(10_000, 32_000)
#: Distance between the first ports of test processes that run concurrently.
PROCESS_STRIDE = 199

_offsets = itertools.count(os.getpid() * PROCESS_STRIDE)


def free_port() -> int:
    """Return an unused port, a different one at each call."""
    while True:
        port = PORTS[next(_offsets) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # The port is in use; try the next.
                continue
        return port
