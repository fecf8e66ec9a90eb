"""What is known of the capacity of an upstream."""

import enum

from attrs import frozen

#: Prefill time relative to the expected time before there are measurements;
#: covers the time that other work on the engine takes from its prefills.
INITIAL_SLOWDOWN = 1.2


class Phase(enum.IntEnum):
    """What a measurement was made of; values are those of messages."""

    PREFILL = 0
    DECODE = 1
    PLAIN = 2


@frozen
class CapacityEstimate:
    """
    The learned properties of one incarnation of an upstream.

    :param prefill: Prefill time relative to the expected time of the data
        sheet.
    :param decode: Time of an event relative to other upstreams of the service.
    :param plain: Duration of a plain call relative to other upstreams of the
        service.
    :param failures: Fraction of recent requests that failed or were refused,
        beyond that of the service.
    """

    prefill: float = INITIAL_SLOWDOWN
    decode: float = 1.0
    plain: float = 1.0
    failures: float = 0.0


#: The estimate of an upstream that is as fast as the data sheet says.
NOMINAL_ESTIMATE = CapacityEstimate(prefill=1.0)
#: The estimate of an upstream of which nothing is known.
DEFAULT_ESTIMATE = CapacityEstimate()
