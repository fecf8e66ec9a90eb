"""
Home instances of a customer, by rendezvous hashing.

Discovery directs a customer's callers to its home instances, and the
customer's floors are granted to entries of these instances.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

from waxwingwinch._types import CustomerId, InstanceId, ZoneName

#: Minimum number of home instances of a customer, so that one may fail.
MIN_HOMES = 2
#: Part of a customer's configured rate for which another home instance is
#: added.
REQUESTS_PER_SECOND_PER_HOME = 20.0


class ZonedInstance(Protocol):
    """An object with an instance id and an availability zone."""

    @property
    def instance_id(self) -> InstanceId:
        """Id of the instance."""

    @property
    def zone(self) -> ZoneName:
        """Availability zone of the instance."""


def home_count(rate_per_second: float, instance_count: int) -> int:
    """
    Return the number of home instances of a customer.

    :param rate_per_second: Configured rate of the customer over all instances.
    :param instance_count: Number of live instances.
    """
    count_for_rate = MIN_HOMES + int(rate_per_second / REQUESTS_PER_SECOND_PER_HOME)
    return max(0, min(count_for_rate, instance_count))


def home_instances(
    customer_id: CustomerId, instances: Iterable[ZonedInstance], count: int
) -> tuple[InstanceId, ...]:
    """
    Return the home instances of a customer, the most preferred first.

    Instances are taken from the zones in rotation, so that ``count`` instances
    are spread over as many zones as possible. Rendezvous hashing moves few
    customers when an instance joins or leaves.

    :param customer_id: The customer.
    :param instances: The live instances.
    :param count: Maximum number of home instances.
    """
    by_zone: dict[ZoneName, list[tuple[bytes, InstanceId]]] = defaultdict(list)
    for instance in instances:
        score = _score(customer_id, instance.instance_id)
        by_zone[instance.zone].append((score, instance.instance_id))
    ranked = [
        (rank, -int.from_bytes(score), instance_id)
        for zone_instances in by_zone.values()
        for rank, (score, instance_id) in enumerate(
            sorted(zone_instances, reverse=True)
        )
    ]
    return tuple(instance_id for _, _, instance_id in sorted(ranked)[:count])


def _score(customer_id: CustomerId, instance_id: InstanceId) -> bytes:
    text = f"{len(customer_id)}:{customer_id}:{instance_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
