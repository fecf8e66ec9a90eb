import contextlib
import socket
import threading
import time

import pytest

from waxwing_testbed import free_addresses
from waxwing_testbed.proxy import Direction, FaultProxy, ProxyFaults
from waxwing_testbed.proxy._pump import Held

WAIT_SECONDS = 10.0
#: How long a test watches that nothing arrives.
QUIET_SECONDS = 0.1


@contextlib.contextmanager
def echo_through_proxy():
    target, listen = free_addresses(2)
    server = socket.create_server((target.host, target.port))

    def echo(connection):
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(65_536):
                connection.sendall(data)

    def accept():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = server.accept()
                threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    proxy = FaultProxy(listen, target)
    proxy.start()
    try:
        yield proxy, listen
    finally:
        proxy.stop()
        server.shutdown(socket.SHUT_RDWR)
        server.close()


def connect(address):
    return socket.create_connection((address.host, address.port), WAIT_SECONDS)


def assert_quiet(sock):
    sock.settimeout(QUIET_SECONDS)
    with pytest.raises(TimeoutError):
        sock.recv(10)
    sock.settimeout(WAIT_SECONDS)


def test_bytes_pass_both_ways_and_so_does_the_end():
    with echo_through_proxy() as (_, address), connect(address) as sock:
        sent = b"x" * 3_000_000
        threading.Thread(target=sock.sendall, args=(sent,), daemon=True).start()
        received = b""
        while len(received) < len(sent):
            received += sock.recv(65_536)
        assert received == sent
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(10) == b""


@pytest.mark.parametrize("direction", list(Direction))
def test_a_cut_direction_holds_bytes_until_it_ends(direction):
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        proxy.set_faults(ProxyFaults(cut=(direction,)))
        sock.sendall(b"held")
        assert_quiet(sock)
        proxy.set_faults(ProxyFaults())
        assert sock.recv(10) == b"held"


def test_a_discarding_cut_loses_bytes():
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        proxy.set_faults(ProxyFaults(cut=(Direction.FORWARD,), discard=True))
        sock.sendall(b"lost")
        assert_quiet(sock)
        proxy.set_faults(ProxyFaults())
        sock.sendall(b"kept")
        assert sock.recv(10) == b"kept"


def test_refused_connections_spare_existing_ones():
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        # An answer shows that the proxy has joined the connection.
        sock.sendall(b"a")
        assert sock.recv(1) == b"a"
        proxy.set_faults(ProxyFaults(refuse=True))
        with pytest.raises(ConnectionRefusedError):
            connect(address)
        sock.sendall(b"b")
        assert sock.recv(1) == b"b"
        proxy.set_faults(ProxyFaults())
        connect(address).close()


def test_existing_connections_can_be_reset():
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        sock.sendall(b"a")
        assert sock.recv(1) == b"a"
        proxy.reset_connections()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        with connect(address) as other:
            other.sendall(b"b")
            assert other.recv(1) == b"b"


def test_a_delay_is_added_to_each_direction():
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        proxy.set_faults(ProxyFaults(delay_seconds=0.05))
        started_at_seconds = time.monotonic()
        sock.sendall(b"a")
        assert sock.recv(1) == b"a"
        assert time.monotonic() - started_at_seconds >= 0.1


def test_a_delay_does_not_add_up_over_chunks():
    held = Held()
    faults = ProxyFaults(delay_seconds=1.0)
    held.add(b"a", faults, 0.0)
    held.add(b"b", faults, 0.1)
    assert held.due_in_seconds(1.0) == 0.0
    held.pop()
    assert held.due_in_seconds(1.0) == pytest.approx(0.1)


def test_bandwidth_spreads_chunks():
    held = Held()
    faults = ProxyFaults(bytes_per_second=10.0)
    held.add(b"x" * 10, faults, 0.0)
    held.add(b"x" * 20, faults, 0.0)
    assert held.due_in_seconds(0.0) == 1.0
    held.pop()
    assert held.due_in_seconds(0.0) == 3.0


def test_moved_bytes_count_both_directions():
    with echo_through_proxy() as (proxy, address), connect(address) as sock:
        sock.sendall(b"four")
        received = b""
        while len(received) < 4:
            received += sock.recv(16)
        # The last bytes are counted just after they were sent.
        deadline_seconds = time.monotonic() + WAIT_SECONDS
        while proxy.moved_bytes() < 8 and time.monotonic() < deadline_seconds:
            time.sleep(0.01)
        assert proxy.moved_bytes() == 8
