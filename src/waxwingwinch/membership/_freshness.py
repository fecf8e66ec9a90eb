"""Decides whether the local configuration is fresh enough to be used."""

from collections.abc import Iterable

from waxwingwinch.contracts import Freshness


def decide_freshness(
    caught_up_seconds: float | None,
    synchronized_seconds: Iterable[float],
    expected_instances: int,
    max_age_seconds: float,
    now_seconds: float,
) -> Freshness:
    """
    Decide freshness from the last contacts with the log and with peers.

    A withdrawal of a key is accepted only once a majority of the instances
    has it. Any two majorities share an instance, so an instance that has the
    state of a majority has every accepted withdrawal as well.

    :param caught_up_seconds: Monotonic time up to which the configuration
        stream is known to be read to its end; None if never.
    :param synchronized_seconds: For each other instance, the monotonic time
        just before the last heartbeat was sent whose reply showed that this
        instance has the peer's state, or after which it fetched that state.
    :param expected_instances: Number of instances of the cell, this one
        included.
    :param max_age_seconds: Maximum age of a contact.
    :param now_seconds: Monotonic time.
    """
    oldest_seconds = now_seconds - max_age_seconds
    if caught_up_seconds is not None and caught_up_seconds >= oldest_seconds:
        return Freshness.FRESH
    synchronized = sum(
        1 for seconds in synchronized_seconds if seconds >= oldest_seconds
    )
    # This instance counts towards the majority.
    if 2 * (synchronized + 1) > expected_instances:
        return Freshness.FRESH
    return Freshness.STALE
