"""The requests of callers, by kind."""

import random

from attrs import frozen

from waxwing_testbed.soak._events import Kind
from waxwing_testbed.soak._schedule import EXTRA_ROUTES

KEY = "key-customer"
EXTRA_KEY = "key-extra"
DEADLINE_SECONDS = 8.0
MAX_BODY_BYTES = 1_500_000
MAX_ANSWER_BYTES = 6_000_000
EVENTS = 8
#: The route whose requests may run once at most.
ONCE_ROUTE = "once"
#: Routes of all configurations, with their kinds on the platform.
FIXED_ROUTES = {
    "plain": "idempotent",
    ONCE_ROUTE: "non_idempotent",
    "stream": "streaming",
}
#: Kinds of a caller's requests; the common ones come more than once.
_MIX = (
    *(Kind.PLAIN, Kind.PLAIN, Kind.ONCE, Kind.ONCE, Kind.STREAM, Kind.STREAM),
    *(Kind.GET, Kind.UPLOAD, Kind.DOWNLOAD, Kind.IDLE),
)


@frozen
class SoakRequest:
    """
    What a caller sends.

    :param kind: Its kind.
    :param route: Name of its route.
    :param query: What the upstream is to do.
    :param key: The caller's key.
    :param body_bytes: Length of its body.
    :param answer_bytes: Length of its answer's body.
    """

    kind: Kind
    route: str
    query: str
    key: str = KEY
    body_bytes: int = 40
    answer_bytes: int = 100

    @property
    def method(self) -> str:
        """HTTP method."""
        return "GET" if self.kind is Kind.GET else "POST"

    @property
    def target(self) -> str:
        """Path and query."""
        return f"/{self.route}/work?{self.query}&size={self.answer_bytes}"


def make_request(source: random.Random) -> SoakRequest:
    """
    Return a request of a random kind.

    :param source: Random numbers.
    """
    kind = source.choice(_MIX)
    work_ms = source.choice((10, 50, 200, 1_000, 3_000))
    match kind:
        case Kind.ONCE:
            return SoakRequest(kind, ONCE_ROUTE, f"ms={work_ms}")
        case Kind.STREAM:
            silent_ms = source.choice((0, 0, 500, 1_500, 5_000))
            query = f"events={EVENTS}&gap=50&silent={silent_ms}"
            return SoakRequest(kind, "stream", query)
        case Kind.GET:
            return SoakRequest(kind, "plain", f"ms={work_ms}", body_bytes=0)
        case Kind.UPLOAD:
            body_bytes = source.randint(1_000, MAX_BODY_BYTES)
            route = source.choice(("plain", ONCE_ROUTE))
            return SoakRequest(kind, route, "ms=20", body_bytes=body_bytes)
        case Kind.DOWNLOAD:
            answer_bytes = source.randint(100_000, MAX_ANSWER_BYTES)
            return SoakRequest(kind, "plain", "ms=20", answer_bytes=answer_bytes)
        case Kind.IDLE:
            return SoakRequest(kind, "plain", "ms=10")
        case _:
            return SoakRequest(kind, "plain", f"ms={work_ms}")


def make_probe(source: random.Random) -> SoakRequest:
    """
    Return a request with a route and a key that come and go.

    :param source: Random numbers.
    """
    route = source.choice((*EXTRA_ROUTES, "plain"))
    return SoakRequest(Kind.PROBE, route, "ms=1", source.choice((KEY, EXTRA_KEY)))
