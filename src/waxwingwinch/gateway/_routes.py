"""Looks up the route, the service and the customer of a request."""

from functools import lru_cache
from hashlib import blake2b

from attrs import frozen

from waxwingwinch._types import RegionName
from waxwingwinch.gateway._model import CustomerRules, GatewayConfiguration, Route

#: Number of cached hashes; enough for all instances, upstreams and the prompt
#: parts in use, at about 200 bytes each.
HASH_CACHE_SIZE = 16_384
#: Mask of a 64-bit hash.
MASK_64 = 2**64 - 1


@frozen
class RouteTable:
    """
    Lookup tables for one version of the configuration.

    :param configuration: The configuration.
    """

    configuration: GatewayConfiguration
    _routes_by_host: dict[str, tuple[Route, ...]]
    _customers_by_key: dict[str, CustomerRules]

    @classmethod
    def build(cls, configuration: GatewayConfiguration) -> "RouteTable":
        """
        Build the lookup tables.

        :param configuration: The configuration.
        """
        by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host, []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }
        return cls(configuration, longest_first, by_key)

    def route(self, host: str, path: str) -> Route | None:
        """
        Return the route of the host with the longest matching path prefix.

        :param host: Host name, with or without a port.
        :param path: Path without the query.
        """
        for route in self._routes_of(host):
            if path.startswith(route.path_prefix):
                return route
        return None

    def home_regions(self, host: str) -> frozenset[RegionName]:
        """
        Return the home regions of all routes of a host.

        :param host: Host name, with or without a port.
        :returns: Empty if a route has none, or if the host has no route.
        """
        regions = [route.home_regions for route in self._routes_of(host)]
        return frozenset().union(*regions) if all(regions) else frozenset()

    def _routes_of(self, host: str) -> tuple[Route, ...]:
        """Return the routes of a host, those with the longest prefix first."""
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        return self._routes_by_host.get(name, ())

    def customer(self, key: str) -> CustomerRules | None:
        """
        Return the customer that holds a key.

        :param key: The key, as sent with a request.
        """
        return self._customers_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Tell whether requests need keys: if there are any customers."""
        return bool(self.configuration.customers)


def choose_service(route: Route, request_id: str) -> str:
    """
    Choose the target service of a request by the weights of its route.

    All attempts of one request get the same target.

    :param route: Route of the request.
    :param request_id: Id of the request.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    position = _unit_hash(request_id) * total
    for target in route.targets:
        position -= target.weight
        if position < 0:
            return target.service
    return route.targets[-1].service


def _unit_hash(text: str) -> float:
    """Return a hash between 0 and 1, the same in all processes."""
    return stable_hash(text) / 2**64


@lru_cache(HASH_CACHE_SIZE)
def stable_hash(text: str) -> int:
    """
    Return a 64-bit hash that is the same in all processes.

    :param text: The text to hash.
    """
    digest = blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def stable_rank(first: str, second: str) -> float:
    """
    Return a hash of two texts between 0 and 1, the same in all processes.

    :param first: The first text.
    :param second: The second text.
    """
    mixed = stable_hash(first) ^ stable_hash(second)
    # The finalizer of SplitMix64; far cheaper than hashing each pair.
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & MASK_64
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & MASK_64
    return (mixed ^ mixed >> 31) / 2**64
