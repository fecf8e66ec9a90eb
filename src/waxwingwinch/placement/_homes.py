"""Home instances of a customer, by rendezvous hashing."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

from waxwingwinch._types import CustomerId, InstanceId, ZoneName

#: Fewest home instances of a customer, so that one may fail.
MIN_HOMES = 2
#: Rate that one home instance is meant for.
RATE_PER_HOME_PER_SECOND = 20.0


class Located(Protocol):
    """Something with an instance name and an availability zone."""

    @property
    def instance_id(self) -> InstanceId:
        """Name of the instance."""

    @property
    def zone(self) -> ZoneName:
        """Its availability zone."""


def home_count(rate_per_second: float, instance_count: int) -> int:
    """
    Return how many home instances a customer has.

    :param rate_per_second: Requests a second over all instances.
    :param instance_count: Number of live instances.
    """
    by_rate = MIN_HOMES + int(rate_per_second / RATE_PER_HOME_PER_SECOND)
    return max(0, min(by_rate, instance_count))


def home_instances(
    customer_id: CustomerId, instances: Iterable[Located], count: int
) -> tuple[InstanceId, ...]:
    """
    Return the home instances of a customer, the most preferred first.

    Zones take turns, so that ``count`` instances lie in as many zones as
    possible. An instance that joins or leaves moves few customers.

    :param customer_id: The customer.
    :param instances: The live instances.
    :param count: How many to return at most.
    """
    by_zone: dict[ZoneName, list[tuple[bytes, InstanceId]]] = defaultdict(list)
    for instance in instances:
        score = _score(customer_id, instance.instance_id)
        by_zone[instance.zone].append((score, instance.instance_id))
    ranked = [
        (rank, -int.from_bytes(score), instance_id)
        for members in by_zone.values()
        for rank, (score, instance_id) in enumerate(sorted(members, reverse=True))
    ]
    return tuple(instance_id for _, _, instance_id in sorted(ranked)[:count])


def _score(customer_id: CustomerId, instance_id: InstanceId) -> bytes:
    text = f"{len(customer_id)}:{customer_id}:{instance_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
