"""Discovery: which instances a caller should use."""

import json
from collections.abc import Callable

from attrs import frozen

from waxwingwinch._types import Address, CustomerId, InstanceId, ZoneName
from waxwingwinch.entry._callers import authenticate
from waxwingwinch.entry._errors import RequestFailed
from waxwingwinch.entry._http import IncomingRequest, Reply, json_reply, require_method
from waxwingwinch.entry._services import EntryServices

#: Number of instances returned to a caller without a valid key or whose
#: customer is not in the configuration.
UNKNOWN_CUSTOMER_INSTANCES = 3
#: URL path of discovery.
DISCOVERY_PATH = "/discovery"

_ZONE_PARAMETER = "zone="


@frozen
class KnownEntry:
    """
    An entry of the cell; callers are sent to it unless it drains.

    :param instance_id: The instance.
    :param zone: Its availability zone.
    :param entry_address: Address at which it serves callers.
    :param draining: True once it has begun to drain.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry_address: Address
    draining: bool = False


#: Returns the entries of the cell at a monotonic time, this one included.
EntryLister = Callable[[float], tuple[KnownEntry, ...]]
#: Returns the given number of home instances of a customer, best first; see
#: ``waxwingwinch.placement.home_instances``.
HomeRanking = Callable[
    [CustomerId, tuple[KnownEntry, ...], int], tuple[InstanceId, ...]
]
#: Returns the number of home instances for a rate in requests a second and a
#: number of instances; see ``waxwingwinch.placement.home_count``.
HomeCount = Callable[[float, int], int]


def preferred_entries(
    customer_id: CustomerId,
    caller_zone: ZoneName,
    entries: tuple[KnownEntry, ...],
    rank: HomeRanking,
    count: int,
) -> tuple[KnownEntry, ...]:
    """
    Return the entries that a caller should use, best first.

    All callers of a customer use its few home instances, so only these need a
    part of the customer's rate. Home instances in the caller's zone come
    first; draining entries are left out.

    :param customer_id: The customer, or any name that spreads callers over
        the instances.
    :param caller_zone: Availability zone of the caller.
    :param entries: All entries of the cell.
    :param rank: Ranks instances for a customer.
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
    :param list_entries: Lists the entries of the cell.
    :param rank: Ranks instances for a customer.
    :param count_homes: Gives the number of home instances for a customer's
        rate.
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
        customer_id = self._customer_id(request)
        entries = self._list_entries(now_seconds)
        chosen = preferred_entries(
            # Without a customer, the request id spreads the callers.
            customer_id or CustomerId(request.request_id),
            self._caller_zone(request),
            entries,
            self._rank,
            self._entry_count(customer_id, entries),
        )
        defaults = self._services.configuration.current().defaults
        response = {
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
        return json_reply(200, json.dumps(response).encode())

    def _customer_id(self, request: IncomingRequest) -> CustomerId | None:
        if request.key() is None:
            return None
        try:
            return authenticate(self._services, request).customer_id
        except RequestFailed:
            # The response holds no secret, and each entry checks the key of
            # the requests that it serves.
            return None

    def _entry_count(
        self, customer_id: CustomerId | None, entries: tuple[KnownEntry, ...]
    ) -> int:
        customers = self._services.configuration.current().customers
        customer = customers.get(customer_id) if customer_id is not None else None
        if customer is None:
            return UNKNOWN_CUSTOMER_INSTANCES
        return self._count_homes(customer.rate_per_second, len(entries))

    def _caller_zone(self, request: IncomingRequest) -> ZoneName:
        for part in request.query.split("&"):
            if part.startswith(_ZONE_PARAMETER):
                return ZoneName(part.removeprefix(_ZONE_PARAMETER))
        return self._services.options.zone
