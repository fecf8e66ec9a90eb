"""When a withdrawal is in force everywhere."""

from attrs import evolve, frozen

from waxwingwinch._types import InstanceId


@frozen
class WithdrawalProgress:
    """
    How far a withdrawal has come.

    :param key_id: Public name of the key.
    :param confirmed: Instances that confirmed in the last round, this one
        included.
    :param expected_instances: How many instances there should be.
    :param is_logged: True once it was read back from the log.
    :param agreed_seconds: Monotonic time at which a majority had confirmed
        it and it was in the log; None before.
    :param is_accepted: True once no instance can still take the key.
    """

    key_id: str
    confirmed: frozenset[InstanceId]
    expected_instances: int
    is_logged: bool = False
    agreed_seconds: float | None = None
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
    silence_seconds: float,
    now_seconds: float,
) -> WithdrawalProgress:
    """
    Return the progress after another round of confirmations.

    An instance that stayed silent is stale ``silence_seconds`` after the
    majority confirmed and the record was in the log: until it reads the log
    to its end or hears a majority, either of which tells it the withdrawal.

    :param progress: The progress so far.
    :param confirmed: Instances that confirmed in this round, with this one.
    :param is_logged: True if the record was read back.
    :param silence_seconds: The freshness bound with clock drift added.
    :param now_seconds: Monotonic time.
    """
    if progress.is_accepted:
        return progress
    # Confirmations of earlier rounds don't count: an instance that was
    # replaced since then would count twice, under two names.
    latest = evolve(
        progress, confirmed=confirmed, is_logged=progress.is_logged or is_logged
    )
    agreed_seconds = latest.agreed_seconds
    if agreed_seconds is None and latest.has_majority and latest.is_logged:
        agreed_seconds = now_seconds
    is_silence_over = (
        agreed_seconds is not None and now_seconds - agreed_seconds >= silence_seconds
    )
    return evolve(
        latest,
        agreed_seconds=agreed_seconds,
        is_accepted=latest.is_confirmed_by_all or is_silence_over,
    )
