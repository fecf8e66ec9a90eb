"""Silence after which an instance no longer counts as present."""

#: Largest number of instances that are linked pairwise. A report takes about
#: 0.1 ms of processor time at either end, so that the reports of this many
#: instances take 2 % of a core.
MAX_DIRECT_INSTANCES = 16
#: Silence limit for instances whose reports are relayed by others. It covers
#: the waits for the sender's next report and for the next change set, and the
#: loss of one of these.
RELAYED_SILENCE_SECONDS = 2.5


def has_cells(instances: int) -> bool:
    """
    Tell whether the instances form cells, so that reports are relayed.

    :param instances: Number of instances.
    """
    return instances > MAX_DIRECT_INSTANCES


def silence_limit_seconds(direct_seconds: float, instances: int) -> float:
    """
    Return the silence after which an instance counts as absent.

    :param direct_seconds: The limit if all instances are linked pairwise.
    :param instances: Number of instances.
    """
    return RELAYED_SILENCE_SECONDS if has_cells(instances) else direct_seconds
