"""Admission control: decides whether a generation is admitted or refused."""

from attrs import frozen

#: Longest expected queueing time of an admitted generation, relative to its
#: latency objective. Later responses are worth little to the caller and delay
#: the requests queued behind them. The prefill of the generation's own prompt
#: doesn't count, so that long prompts are admitted like short ones.
MAX_QUEUE_TARGETS = 1.2
#: Largest fraction of the remaining request time that may pass before the
#: first event, so that the rest of the response still arrives in time.
MAX_REMAINING_FRACTION = 0.75
#: Shortest retry delay given to a refused caller; a caller that retries
#: sooner finds the same queue.
MIN_RETRY_SECONDS = 0.2


@frozen
class Admit:
    """The request is admitted."""


@frozen
class Refuse:
    """
    The request is refused.

    :param retry_after_seconds: Estimated time until it would be admitted.
    """

    retry_after_seconds: float


Admission = Admit | Refuse


def admit_generation(
    expected_seconds: float,
    own_seconds: float,
    target_seconds: float,
    remaining_seconds: float,
) -> Admission:
    """
    Decide whether a generation can still meet its latency limits.

    :param expected_seconds: Estimated time to its first event, with queueing.
    :param own_seconds: The part of it that idle engines would take.
    :param target_seconds: Latency objective of its first event.
    :param remaining_seconds: Time until its request times out.
    """
    limit_seconds = min(
        own_seconds + MAX_QUEUE_TARGETS * target_seconds,
        MAX_REMAINING_FRACTION * remaining_seconds,
    )
    if expected_seconds <= limit_seconds:
        return Admit()
    return Refuse(max(expected_seconds - limit_seconds, MIN_RETRY_SECONDS))
