"""Single measurements, with the known wait told apart."""

import math

from attrs import frozen

from waxwingwinch.gateway.capacity._averages import MAX_SAMPLE, MIN_SAMPLE

#: Expected time from which a prefill counts as a whole sample. Shorter ones
#: are as long as the delays of sending and of threads.
WHOLE_SAMPLE_SECONDS = 0.05
#: Weight of a plain call that met known waiting calls: where some are known,
#: others aren't known yet.
WAITING_WEIGHT = 0.05


@frozen
class Sample:
    """
    A measurement.

    :param value: Logarithm of the measured time, relative to the expected.
    :param weight: What it counts for, at most 1.
    :param is_complete: False if the request was given up after this time.
    """

    value: float
    weight: float = 1.0
    is_complete: bool = True


def prefill_sample(
    expected_seconds: float,
    waiting_seconds: float,
    took_seconds: float,
    is_complete: bool,
) -> Sample:
    """
    Return the measurement of a prefill.

    :param expected_seconds: Expected duration of the prompt's own prefill.
    :param waiting_seconds: Expected duration of the known work before it.
    :param took_seconds: Measured duration.
    :param is_complete: False if it was given up after this time.
    """
    whole_seconds = expected_seconds + waiting_seconds
    weight = expected_seconds / whole_seconds
    weight *= min(whole_seconds / WHOLE_SAMPLE_SECONDS, 1.0)
    value = math.log(max(took_seconds / whole_seconds, 1e-3))
    return Sample(min(max(value, MIN_SAMPLE), MAX_SAMPLE), weight, is_complete)


def plain_sample(
    slots: int, running: int, took_seconds: float, is_complete: bool
) -> Sample:
    """
    Return the measurement of a plain call.

    :param slots: Requests that the upstream serves concurrently.
    :param running: Other requests known there.
    :param took_seconds: Measured duration.
    :param is_complete: False if it was given up after this time.
    """
    slots = max(slots, 1)
    turns = 1.0 + max(running + 1 - slots, 0) / slots
    weight = 1.0 if running < slots else WAITING_WEIGHT
    return Sample(math.log(took_seconds / turns), weight, is_complete)
