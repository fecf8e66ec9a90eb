"""Memory of state by the number of things in it."""

import hashlib

from waxwing_testbed.capacity._messages import FEW_SIZES, MANY_SIZES, make_claim
from waxwing_testbed.capacity._meters import allocated_bytes
from waxwing_testbed.capacity._operations import make_grantor
from waxwing_testbed.capacity._samples import (
    HOLDER,
    customer_id_of,
    make_candidate,
    make_configuration,
    make_heartbeat,
)
from waxwing_testbed.capacity._slopes import Slope, measure_slope
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.configuration import KeyIndex
from waxwingwinch.fleet import PrefixIndex
from waxwingwinch.idempotency import ClaimTable
from waxwingwinch.interfaces import CacheEvent, CacheEventKind, CacheEventPage
from waxwingwinch.kernel import SystemClock
from waxwingwinch.limits import Limiter
from waxwingwinch.streams import (
    AppliedRecord,
    RecordId,
    decode_envelope,
    encode_envelope,
)

#: Numbers of cached prefixes.
PREFIX_SIZES = (500, 1_000, 2_000, 4_000)
_METHOD = "tracemalloc"


def measure_memory() -> list[Slope]:
    """Measure the memory of all state."""
    return [
        measure_slope(
            "configuration_memory_bytes",
            "B",
            "customer with a key",
            _METHOD,
            MANY_SIZES,
            lambda size: allocated_bytes(lambda: make_configuration(size)),
        ),
        measure_slope(
            "key_index_memory_bytes",
            "B",
            "key configured",
            _METHOD,
            MANY_SIZES,
            _key_index_bytes,
        ),
        measure_slope(
            "limiter_memory_bytes",
            "B",
            "customer configured",
            _METHOD,
            MANY_SIZES,
            _limiter_bytes,
        ),
        measure_slope(
            "grantor_memory_bytes",
            "B",
            "customer configured",
            _METHOD,
            MANY_SIZES,
            lambda size: allocated_bytes(lambda: make_grantor(size)),
        ),
        measure_slope(
            "claim_memory_bytes",
            "B",
            "claim with its outcome",
            _METHOD,
            MANY_SIZES,
            lambda size: allocated_bytes(lambda: _claim_table(size)),
        ),
        measure_slope(
            "engine_memory_bytes",
            "B",
            "engine known, without prefixes",
            _METHOD,
            FEW_SIZES,
            lambda size: allocated_bytes(
                lambda: [make_candidate(number) for number in range(size)]
            ),
        ),
        measure_slope(
            "prefix_memory_bytes",
            "B",
            "cached prefix known",
            _METHOD,
            PREFIX_SIZES,
            lambda size: allocated_bytes(lambda: _prefix_index(size)),
        ),
        measure_slope(
            "heartbeat_memory_bytes",
            "B",
            "instance heard, with work at 15 engines",
            _METHOD,
            FEW_SIZES,
            lambda size: allocated_bytes(lambda: _heartbeats(size)),
        ),
    ]


def _key_index_bytes(size: int) -> float:
    configuration = make_configuration(size)
    return allocated_bytes(lambda: KeyIndex(configuration))


def _limiter_bytes(size: int) -> float:
    configuration = make_configuration(size)

    def build() -> Limiter:
        limiter = Limiter(HOLDER, SystemClock(), lambda: configuration, lambda: None)
        for number in range(size):
            limiter.with_holdings(customer_id_of(number), lambda holdings, _: None)
        return limiter

    return allocated_bytes(build)


def _claim_table(size: int) -> ClaimTable:
    table = ClaimTable()
    records = (record for number in range(size) for record in make_claim(number))
    for offset, record in enumerate(records):
        _, body = decode_envelope(encode_envelope("writer", offset, record))
        table.apply(AppliedRecord(offset, RecordId("writer", offset), body, 0.0))
    return table


def _prefix_index(size: int) -> PrefixIndex:
    index = PrefixIndex()
    events = tuple(
        CacheEvent(number, CacheEventKind.STORED, _hash_of(number))
        for number in range(size)
    )
    index.apply(CacheEventPage(size, events))
    return index


def _hash_of(number: int) -> str:
    return hashlib.md5(str(number).encode()).hexdigest()


def _heartbeats(size: int) -> list[object]:
    payload = encode_message(make_heartbeat(15))
    return [decode_message(payload) for _ in range(size)]
