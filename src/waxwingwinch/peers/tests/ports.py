"""Ports for servers of tests."""

import socket

HOST = "127.0.0.1"


def free_port():
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
