"""After which silence an instance is no longer taken to be heard."""

#: Instances up to which each has a link to each other. A report takes about
#: 0.1 ms of processor at either end, so that these take 2 % of a core.
MAX_DIRECT_INSTANCES = 16
#: Silence of an instance that is heard through others. A report waits for the
#: next one of its sender, for the next digest, and for one that is lost.
RELAYED_SILENCE_SECONDS = 2.5


def has_cells(instances: int) -> bool:
    """
    Tell whether instances hear of some others through third ones.

    :param instances: How many there are.
    """
    return instances > MAX_DIRECT_INSTANCES


def silence_limit_seconds(direct_seconds: float, instances: int) -> float:
    """
    Return the silence that tells that an instance is not there.

    :param direct_seconds: The time if all report to one another.
    :param instances: How many there are.
    """
    return RELAYED_SILENCE_SECONDS if has_cells(instances) else direct_seconds
