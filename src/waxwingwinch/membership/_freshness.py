"""Whether an instance may rely on what it knows."""

from collections.abc import Iterable

from waxwingwinch.contracts import Freshness


def decide_freshness(
    caught_up_seconds: float | None,
    confirmed_seconds: Iterable[float],
    expected_instances: int,
    bound_seconds: float,
    now_seconds: float,
) -> Freshness:
    """
    Decide from the last contacts with the log and with peers.

    A withdrawal is accepted only once a majority knows it. An instance that
    knows what a majority knew therefore knows it as well.

    :param caught_up_seconds: When the configuration stream was last known to
        be read to its end; None if never.
    :param confirmed_seconds: Up to when the knowledge of each other instance
        is known here, counted from before it was asked.
    :param expected_instances: How many instances there are, this one
        included.
    :param bound_seconds: How old a contact may be.
    :param now_seconds: Monotonic time.
    """
    oldest_seconds = now_seconds - bound_seconds
    if caught_up_seconds is not None and caught_up_seconds >= oldest_seconds:
        return Freshness.FRESH
    confirmed = sum(1 for seconds in confirmed_seconds if seconds >= oldest_seconds)
    # This instance counts itself.
    if 2 * (confirmed + 1) > expected_instances:
        return Freshness.FRESH
    return Freshness.STALE
