"""Ports of test servers lie outside the range of outgoing connections."""

from pathlib import Path

from waxwingwinch.peers.tests.ports import free_port

#: Holds the first and last port that the kernel gives to outgoing connections.
OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_ports_are_distinct_and_outside_the_ephemeral_range():
    """
    Guards against failures of parallel tests: an outgoing connection of one
    test takes the port on which the server of another is about to listen.
    """
    first, last = map(int, OUTGOING_RANGE.read_text().split())
    ports = [free_port() for _ in range(50)]
    assert not any(first <= port <= last for port in ports)
    assert len(set(ports)) == len(ports)
