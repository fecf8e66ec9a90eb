"""Progress of a key withdrawal until all instances enforce it."""

from attrs import evolve, frozen

from waxwingwinch._types import InstanceId


@frozen
class WithdrawalProgress:
    """
    Progress of a key withdrawal.

    :param key_id: Public name of the key.
    :param confirmed: Instances that confirmed in the latest round, this
        instance included.
    :param expected_instances: Number of instances that should be running.
    :param is_logged: True once its record was read back from the log.
    :param committed_seconds: Monotonic time at which the record was in the log
        and a majority had confirmed it; None before.
    :param is_accepted: True once all instances enforce the withdrawal: each
        of them confirmed it or no longer serves any key, because it is stale.
    """

    key_id: str
    confirmed: frozenset[InstanceId]
    expected_instances: int
    is_logged: bool = False
    committed_seconds: float | None = None
    is_accepted: bool = False

    @property
    def is_confirmed_by_all(self) -> bool:
        """True if every expected instance confirmed."""
        return len(self.confirmed) >= self.expected_instances

    @property
    def has_majority(self) -> bool:
        """True if more than half of the expected instances confirmed."""
        return 2 * len(self.confirmed) > self.expected_instances


def next_progress(
    progress: WithdrawalProgress,
    confirmed: frozenset[InstanceId],
    is_logged: bool,
    staleness_delay_seconds: float,
    now_seconds: float,
) -> WithdrawalProgress:
    """
    Return the progress after a further round of confirmations.

    An instance that didn't confirm is stale ``staleness_delay_seconds`` after
    a majority confirmed and the record was in the log. It stays stale until it
    reads the log to its end or receives messages from a majority; either of
    these makes the withdrawal known to it.

    :param progress: Progress before the round.
    :param confirmed: Instances that confirmed in this round, this instance
        included.
    :param is_logged: True if the record was read back from the log.
    :param staleness_delay_seconds: Freshness bound plus an allowance for clock
        drift.
    :param now_seconds: Monotonic time.
    """
    if progress.is_accepted:
        return progress
    # Confirmations of earlier rounds don't count: an instance that was
    # replaced since then would count twice, under two ids.
    latest = evolve(
        progress, confirmed=confirmed, is_logged=progress.is_logged or is_logged
    )
    committed_seconds = latest.committed_seconds
    if committed_seconds is None and latest.has_majority and latest.is_logged:
        committed_seconds = now_seconds
    is_staleness_delay_over = (
        committed_seconds is not None
        and now_seconds - committed_seconds >= staleness_delay_seconds
    )
    return evolve(
        latest,
        committed_seconds=committed_seconds,
        is_accepted=latest.is_confirmed_by_all or is_staleness_delay_over,
    )
