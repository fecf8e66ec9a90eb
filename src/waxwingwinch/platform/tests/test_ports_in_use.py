"""Ports that are in use when a process starts."""

import signal
import socket
import time

import pytest

from waxwingwinch.platform.tests.standin import HOST, Gateway, wait_until

HELD_SECONDS = 0.5


class PortHolder:
    """Listens at a port, as the predecessor of an instance does."""

    def __init__(self, port):
        self.socket = socket.create_server((HOST, port))

    def release(self):
        self.socket.close()


def start_with_port_held(monkeypatch, tmp_path, store, gateways, name):
    """Start a gateway one of whose ports is in use; return its holder."""
    holders = []
    original = Gateway.hold_ports

    def hold(gateway):
        original(gateway)
        holders.append(PortHolder(getattr(gateway, name)))

    monkeypatch.setattr(Gateway, "hold_ports", hold)
    gateways.append(Gateway(tmp_path, store, "edge"))
    return holders[0]


# Guards against a process that ends, or never joins the others, because its
# predecessor still holds one of its ports.
@pytest.mark.parametrize("name", ["front", "ready", "directory", "metrics", "peers"])
def test_a_port_in_use_at_the_start_is_waited_for(
    monkeypatch, tmp_path, store, gateways, name
):
    holder = start_with_port_held(monkeypatch, tmp_path, store, gateways, name)
    log = tmp_path / "edge.log"
    assert wait_until(lambda: b"listener:port_in_use" in log.read_bytes())
    time.sleep(HELD_SECONDS)
    assert gateways[0].process.poll() is None
    holder.release()
    assert wait_until(gateways[0].is_ready)
    assert wait_until(lambda: b"gateway:joined" in log.read_bytes(), 5.0)


# Guards against a process that waits for its port after it was asked to stop.
def test_a_stop_ends_the_wait_for_a_port(monkeypatch, tmp_path, store, gateways):
    holder = start_with_port_held(monkeypatch, tmp_path, store, gateways, "front")
    log = tmp_path / "edge.log"
    assert wait_until(lambda: b"listener:port_in_use" in log.read_bytes())
    gateways[0].process.send_signal(signal.SIGTERM)
    assert gateways[0].process.wait(2.0) == 0
    holder.release()
