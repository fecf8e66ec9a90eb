"""Telling callers which instances to use."""

import json
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import Address, CustomerId, InstanceId, ZoneName
from waxwingwinch.entry._callers import authenticate
from waxwingwinch.entry._errors import RequestFailed
from waxwingwinch.entry._http import IncomingRequest, Reply, json_reply, require_method
from waxwingwinch.entry._services import EntryServices

#: Number of instances in an answer to a caller without a valid key.
DISCOVERED_INSTANCES = 3
#: Path of the discovery answer.
DISCOVERY_PATH = "/discovery"

_ZONE_PARAMETER = "zone="


@frozen
class DiscoverableEntry:
    """
    An entry that callers may use.

    :param instance_id: The instance.
    :param zone: Its availability zone.
    :param entry_address: Where it serves callers.
    :param draining: True once its planned stop has begun.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    draining: bool = False


#: Returns the entries of the cell at a monotonic time, this one included.
EntryLister = Callable[[float], tuple[DiscoverableEntry, ...]]
#: Returns the given number of home instances of a customer, best first; see
#: ``waxwingwinch.placement.home_instances``.
HomeRanking = Callable[
    [CustomerId, tuple[DiscoverableEntry, ...], int], tuple[InstanceId, ...]
]
#: Returns the number of home instances for a rate in requests a second and a
#: number of instances; see ``waxwingwinch.placement.home_count``.
HomeCount = Callable[[float, int], int]


def preferred_entries(
    customer_id: CustomerId,
    caller_zone: ZoneName,
    entries: tuple[DiscoverableEntry, ...],
    rank: HomeRanking,
    count: int,
) -> tuple[DiscoverableEntry, ...]:
    """
    Return the entries that a caller shall use, best first.

    A customer's callers meet at its few home instances, which therefore hold
    its share of the rate. Among these, the caller's zone goes first.

    :param customer_id: The customer, or any name that spreads callers.
    :param caller_zone: Where the caller is.
    :param entries: All entries.
    :param rank: Orders instances for a customer.
    :param count: Number of entries to return.
    """
    by_id = {entry.instance_id: entry for entry in entries if not entry.draining}
    homes = rank(customer_id, tuple(by_id.values()), count)
    chosen = [by_id[name] for name in homes if name in by_id]
    chosen.sort(key=lambda entry: entry.zone != caller_zone)
    return tuple(chosen)


class DiscoveryHandler:
    """
    Serves ``/discovery``.

    :param services: The services of the entry.
    :param list_entries: Lists the entries.
    :param rank: Orders instances for a customer.
    :param count_homes: Sizes the answer by the customer's rate.
    """

    def __init__(
        self,
        services: EntryServices,
        list_entries: EntryLister,
        rank: HomeRanking,
        count_homes: HomeCount,
    ) -> None:
        self._services = services
        self._list_entries = list_entries
        self._rank = rank
        self._count_homes = count_homes

    def handle(self, request: IncomingRequest) -> Reply:
        """
        Serve one request.

        :param request: The request; its key chooses the home instances.
        """
        require_method(request, "GET", "HEAD")
        now_seconds = self._services.clock.now_seconds()
        customer_id = self._customer(request)
        entries = self._list_entries(now_seconds)
        chosen = preferred_entries(
            customer_id or CustomerId(request.request_id),
            self._zone(request),
            entries,
            self._rank,
            self._count(customer_id, entries),
        )
        defaults = self._services.configuration.current().defaults
        answer = {
            "instances": [
                {
                    "address": str(entry.entry_address),
                    "zone": entry.zone,
                    "instance_id": entry.instance_id,
                }
                for entry in chosen
            ],
            "ttl_seconds": defaults.discovery_ttl_seconds,
        }
        return json_reply(200, json.dumps(answer).encode())

    def _customer(self, request: IncomingRequest) -> CustomerId | None:
        if request.key() is None:
            return None
        try:
            return authenticate(self._services, request).customer_id
        except RequestFailed:
            # The answer holds no secret; the key is checked where it is used.
            return None

    def _count(
        self, customer_id: CustomerId | None, entries: tuple[DiscoverableEntry, ...]
    ) -> int:
        customers = self._services.configuration.current().customers
        customer = customers.get(customer_id) if customer_id is not None else None
        if customer is None:
            return DISCOVERED_INSTANCES
        return self._count_homes(customer.rate_per_second, len(entries))

    def _zone(self, request: IncomingRequest) -> ZoneName:
        for part in request.query.split("&"):
            if part.startswith(_ZONE_PARAMETER):
                return ZoneName(part.removeprefix(_ZONE_PARAMETER))
        return self._services.options.zone
