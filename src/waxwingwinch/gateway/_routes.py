"""Finding the route and the customer of a request."""

from functools import lru_cache
from hashlib import blake2b

from attrs import frozen

from waxwingwinch.gateway._model import CustomerRules, GatewayConfiguration, Route

#: Hashes that are kept; those of all instances, upstreams and the prompt parts
#: in use, at about 200 bytes each.
HASH_CACHE_SIZE = 16_384
#: Bits of a hash.
MASK_64 = 2**64 - 1


@frozen
class RouteTable:
    """
    Lookups in one version of the configuration.

    :param configuration: The version.
    """

    configuration: GatewayConfiguration
    _routes_by_host: dict[str, tuple[Route, ...]]
    _customers_by_key: dict[str, CustomerRules]

    @classmethod
    def build(cls, configuration: GatewayConfiguration) -> "RouteTable":
        """
        Prepare the lookups.

        :param configuration: The version to look up in.
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
        Return the route with the longest prefix that begins the path.

        :param host: Host name, with or without a port.
        :param path: Path without the query.
        """
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def customer(self, key: str) -> CustomerRules | None:
        """
        Return the customer that holds a key.

        :param key: As it came with a request.
        """
        return self._customers_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Tell whether requests carry keys at all."""
        return bool(self.configuration.customers)


def choose_service(route: Route, request_id: str) -> str:
    """
    Choose the target of a request by the weights of its route.

    All attempts of one request get the same target.

    :param route: The request's route.
    :param request_id: Names the request.
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
    """Return a number from 0 to 1 that depends on the text alone."""
    return stable_hash(text) / 2**64


@lru_cache(HASH_CACHE_SIZE)
def stable_hash(text: str) -> int:
    """
    Return a 64-bit hash that is the same in all processes.

    :param text: What to hash.
    """
    digest = blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def stable_rank(first: str, second: str) -> float:
    """
    Return a number from 0 to 1 for two texts, the same in all processes.

    :param first: One text.
    :param second: The other.
    """
    mixed = stable_hash(first) ^ stable_hash(second)
    # The finalizer of SplitMix64; far cheaper than a hash of each pair.
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & MASK_64
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & MASK_64
    return (mixed ^ mixed >> 31) / 2**64
