"""Connections to the hub that never authenticate."""

from attrs import define, field

from waxwingwinch.peers._unauthenticated import UnauthenticatedConnections


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
