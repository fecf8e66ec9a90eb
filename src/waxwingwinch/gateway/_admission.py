"""Who is let in and who is turned away at once: a pure decision."""

from attrs import frozen

#: Expected wait behind other requests up to which a generation is let in,
#: relative to its latency objective. Later answers are worth little to the
#: caller and delay those behind them. The time for its own prompt doesn't
#: count, so that long prompts are let in like short ones.
MAX_QUEUE_TARGETS = 1.2
#: Largest part of the time that is left which may pass before the first
#: event, so that the rest of the answer still arrives.
MAX_REMAINING_FRACTION = 0.75
#: Shortest time after which a refused caller is asked back; below it the
#: caller finds the same queue.
MIN_RETRY_SECONDS = 0.2


@frozen
class Admit:
    """The request is let in."""


@frozen
class Refuse:
    """
    The request is turned away.

    :param retry_after_seconds: When it would be let in, as far as known.
    """

    retry_after_seconds: float


Admission = Admit | Refuse


def admit_generation(
    expected_seconds: float,
    own_seconds: float,
    target_seconds: float,
    left_seconds: float,
) -> Admission:
    """
    Decide whether a generation is worth starting.

    :param expected_seconds: Estimated time to its first event.
    :param own_seconds: The part of it that idle engines would take.
    :param target_seconds: Its latency objective.
    :param left_seconds: Time until its caller gives up.
    """
    limit_seconds = min(
        own_seconds + MAX_QUEUE_TARGETS * target_seconds,
        MAX_REMAINING_FRACTION * left_seconds,
    )
    if expected_seconds <= limit_seconds:
        return Admit()
    return Refuse(max(expected_seconds - limit_seconds, MIN_RETRY_SECONDS))
