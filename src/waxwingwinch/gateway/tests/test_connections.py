"""Idle connections are reused while they are usable, then closed."""

from typing import Any

from attrs import define

from waxwingwinch.gateway._connections import (
    REUSE_FRACTION,
    SWEEP_INTERVAL_SECONDS,
    ConnectionPool,
)

UPSTREAM_IDLE_TIMEOUT_SECONDS = 4.0


@define(eq=False)
class FakeConnection:
    is_usable: bool = True
    is_closed: bool = False

    def has_no_unread_data(self):
        return self.is_usable

    def close(self):
        self.is_closed = True


def make_pool() -> Any:
    """Return a pool typed so that it accepts fake connections."""
    return ConnectionPool()


def test_a_usable_connection_is_reused():
    pool, connection = make_pool(), FakeConnection()
    pool.put("u1", connection, UPSTREAM_IDLE_TIMEOUT_SECONDS, 0.0)
    assert (
        pool.take("u1", UPSTREAM_IDLE_TIMEOUT_SECONDS * REUSE_FRACTION - 0.1)
        is connection
    )
    assert pool.take("u1", 1.0) is None


def test_a_connection_past_its_reuse_time_is_not_reused():
    pool, connection = make_pool(), FakeConnection()
    pool.put("u1", connection, UPSTREAM_IDLE_TIMEOUT_SECONDS, 0.0)
    assert pool.take("u1", UPSTREAM_IDLE_TIMEOUT_SECONDS) is None
    assert connection.is_closed


def test_a_connection_with_unread_data_is_not_reused():
    pool, connection = make_pool(), FakeConnection(is_usable=False)
    pool.put("u1", connection, UPSTREAM_IDLE_TIMEOUT_SECONDS, 0.0)
    assert pool.take("u1", 0.1) is None
    assert connection.is_closed


def test_connections_to_removed_upstreams_are_closed():
    """
    Upstreams are replaced all day.

    Idle connections to removed upstreams would accumulate if only a request
    for the same upstream closed them.
    """
    pool, removed = make_pool(), [FakeConnection() for _ in range(20)]
    for number, connection in enumerate(removed):
        pool.put(f"removed-{number}", connection, UPSTREAM_IDLE_TIMEOUT_SECONDS, 0.0)
    current = FakeConnection()
    pool.put(
        "stays",
        current,
        UPSTREAM_IDLE_TIMEOUT_SECONDS,
        UPSTREAM_IDLE_TIMEOUT_SECONDS + SWEEP_INTERVAL_SECONDS,
    )
    assert all(connection.is_closed for connection in removed)
    assert not current.is_closed
