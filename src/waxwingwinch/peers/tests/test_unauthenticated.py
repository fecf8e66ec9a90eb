"""Connections to the hub that never authenticate."""

import asyncio
from unittest.mock import Mock

import pytest
from attrs import define, field
from websockets.server import ServerProtocol

from waxwingwinch.peers._unauthenticated import (
    BoundedServerConnection,
    UnauthenticatedConnections,
)

UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
#: Head of a masked frame that is longer than what is received of it.
FRAME_HEAD = b"\x82\xff" + (1_000_000).to_bytes(8) + bytes(4)
PIECE = bytes(1_000)


@define(eq=False)
class FakeConnection:
    aborted: int = 0
    transport: "FakeConnection" = field(init=False)

    def __attrs_post_init__(self):
        self.transport = self

    def abort(self):
        self.aborted += 1


# Guards against clients that take all descriptors and never authenticate.
def test_the_oldest_is_closed_beyond_the_number():
    connections = [FakeConnection() for _ in range(4)]
    bounds = UnauthenticatedConnections(max_open=2)
    for connection in connections:
        bounds.add(connection)
    assert [connection.aborted for connection in connections] == [1, 1, 0, 0]
    assert len(bounds) == 2


# Guards against the memory of messages before a handshake has ended.
def test_the_bytes_of_one_and_of_all_are_bounded():
    first, second, third = (FakeConnection() for _ in range(3))
    bounds = UnauthenticatedConnections(max_bytes=100, max_sum_bytes=150)
    for connection in (first, second, third):
        bounds.add(connection)
    bounds.receive(first, 101)
    assert first.aborted == 1
    bounds.receive(second, 90)
    bounds.receive(third, 70)
    assert (second.aborted, third.aborted) == (1, 0)


# Guards against peers that are cut off by the bounds on others.
def test_authenticated_peers_are_not_bounded():
    connection = FakeConnection()
    bounds = UnauthenticatedConnections(max_bytes=100)
    bounds.add(connection)
    bounds.remove(connection)
    bounds.receive(connection, 1_000)
    assert connection.aborted == 0


def make_connection(unauthenticated):
    """Return a connection that has received the start of a frame."""
    connection = BoundedServerConnection(
        ServerProtocol(),
        Mock(handler=lambda _: asyncio.sleep(0)),
        unauthenticated=unauthenticated,
    )
    connection.connection_made(Mock())
    connection.data_received(UPGRADE)
    connection.data_received(FRAME_HEAD)
    return connection


# Guards against the memory of connections that are closed in one pass of the
# event loop, which reads from all before it reports any of them as lost.
@pytest.mark.parametrize(
    ("max_bytes", "max_sum_bytes"), [(5_000, 1_000_000), (1_000_000, 50_000)]
)
def test_closed_connections_hold_no_bytes(max_bytes, max_sum_bytes):
    async def receive_by_turns():
        bounds = UnauthenticatedConnections(100, max_bytes, max_sum_bytes)
        connections = [make_connection(bounds) for _ in range(30)]
        held_bytes = []
        for _ in range(10):
            for connection in connections:
                connection.data_received(PIECE)
                held_bytes.append([len(c.protocol.reader.buffer) for c in connections])
        return connections, held_bytes

    connections, held_bytes = asyncio.run(receive_by_turns())
    assert max(map(max, held_bytes)) <= max_bytes
    assert max(map(sum, held_bytes)) <= max_sum_bytes
    assert any(connection.transport.abort.called for connection in connections)
