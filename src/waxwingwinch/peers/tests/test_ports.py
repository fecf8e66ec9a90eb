"""Servers of tests get ports that nothing else takes meanwhile."""

from pathlib import Path

from waxwingwinch.peers.tests.ports import free_port

#: The ports that the system gives to outgoing connections.
OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_no_outgoing_connection_gets_a_free_port():
    """Pattern: a test connects while another's server is about to start."""
    first, last = map(int, OUTGOING_RANGE.read_text().split())
    ports = [free_port() for _ in range(50)]
    assert not any(first <= port <= last for port in ports)
    assert len(set(ports)) == len(ports)
