"""Idle connections are used again while they are sound, and then closed."""

from typing import Any

from attrs import define

from waxwingwinch.gateway._connections import (
    REUSE_FRACTION,
    SWEEP_INTERVAL_SECONDS,
    ConnectionPool,
)

KEPT_SECONDS = 4.0


@define(eq=False)
class FakeConnection:
    is_sound: bool = True
    is_closed: bool = False

    def has_no_unread_data(self):
        return self.is_sound

    def close(self):
        self.is_closed = True


def make_pool() -> Any:
    """Return a pool for connections that are none."""
    return ConnectionPool()


def test_a_sound_connection_is_used_again():
    pool, connection = make_pool(), FakeConnection()
    pool.put("u1", connection, KEPT_SECONDS, 0.0)
    assert pool.take("u1", KEPT_SECONDS * REUSE_FRACTION - 0.1) is connection
    assert pool.take("u1", 1.0) is None


def test_a_connection_that_the_upstream_closes_soon_is_not_used():
    pool, connection = make_pool(), FakeConnection()
    pool.put("u1", connection, KEPT_SECONDS, 0.0)
    assert pool.take("u1", KEPT_SECONDS) is None
    assert connection.is_closed


def test_a_connection_with_surplus_bytes_is_not_used():
    pool, connection = make_pool(), FakeConnection(is_sound=False)
    pool.put("u1", connection, KEPT_SECONDS, 0.0)
    assert pool.take("u1", 0.1) is None
    assert connection.is_closed


def test_connections_to_upstreams_that_left_are_closed():
    """Pattern: upstreams are replaced all day."""
    pool, left = make_pool(), [FakeConnection() for _ in range(20)]
    for number, connection in enumerate(left):
        pool.put(f"left-{number}", connection, KEPT_SECONDS, 0.0)
    staying = FakeConnection()
    pool.put("stays", staying, KEPT_SECONDS, KEPT_SECONDS + SWEEP_INTERVAL_SECONDS)
    assert all(connection.is_closed for connection in left)
    assert not staying.is_closed
