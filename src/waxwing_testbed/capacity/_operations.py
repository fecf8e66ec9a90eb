"""Processor time of single operations."""

from collections.abc import Callable

from waxwing_testbed.capacity._messages import (
    FEW_SIZES,
    MANY_SIZES,
    make_change,
    make_claim,
)
from waxwing_testbed.capacity._meters import processor_microseconds
from waxwing_testbed.capacity._samples import (
    HOLDER,
    ZONE,
    customer_id_of,
    key_of,
    make_candidate,
    make_configuration,
    make_extra_request,
    make_floor_request,
    make_fold_state,
    make_heartbeat,
    make_listed_instance,
)
from waxwing_testbed.capacity._slopes import Slope, measure_slope
from waxwingwinch._types import Epoch
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.configuration import Accepted, KeyIndex, apply_record
from waxwingwinch.decisions import RoutingRequest, choose_engine
from waxwingwinch.idempotency import ClaimTable
from waxwingwinch.kernel import SystemClock
from waxwingwinch.limits import (
    CustomerLimit,
    GrantedTokens,
    Grantor,
    Holdings,
    Limiter,
    ReturnedTokens,
    limits_of,
)
from waxwingwinch.placement import home_instances
from waxwingwinch.streams import (
    AppliedRecord,
    RecordId,
    decode_envelope,
    encode_envelope,
)

#: Numbers of operations in a row.
REPEAT_SIZES = (50, 100, 200, 400)
_METHOD = "thread processor time, least of five means of many calls"
#: So many tokens that a measurement can't use them up.
_PLENTY_TOKENS = 1_000_000_000
_NOW_SECONDS = 100.0
#: Home instances of a customer of low rate.
MIN_HOMES = 2


def measure_operations() -> list[Slope]:
    """Measure the processor time of all operations."""
    return [
        *_configuration_slopes(),
        *_request_slopes(),
        *_peer_slopes(),
        *_limit_slopes(),
    ]


def _slope(
    name: str,
    per: str,
    sizes: tuple[int, ...],
    make: Callable[[int], Callable[[], object]],
) -> Slope:
    return measure_slope(
        name, "us", per, _METHOD, sizes, lambda n: processor_microseconds(make(n))
    )


def _configuration_slopes() -> list[Slope]:
    return [
        _slope("fold_change_us", "customer configured", MANY_SIZES, _fold_change),
        _slope("index_keys_us", "key configured", MANY_SIZES, _index_keys),
        _slope("derive_limits_us", "customer configured", MANY_SIZES, _derive_limits),
        _slope("known_key_us", "key configured", MANY_SIZES, _known_key),
        _slope("named_wrong_key_us", "key configured", MANY_SIZES, _named_wrong_key),
        _slope(
            "unnamed_wrong_key_us", "key configured", MANY_SIZES, _unnamed_wrong_key
        ),
    ]


def _fold_change(size: int) -> Callable[[], object]:
    state, change = make_fold_state(size), make_change(0)
    if not isinstance(apply_record(state, change), Accepted):
        raise ValueError("the change was refused")
    return lambda: apply_record(state, change)


def _index_keys(size: int) -> Callable[[], object]:
    configuration = make_configuration(size)
    return lambda: KeyIndex(configuration)


def _derive_limits(size: int) -> Callable[[], object]:
    configuration = make_configuration(size)
    return lambda: limits_of(configuration)


def _known_key(size: int) -> Callable[[], object]:
    index = KeyIndex(make_configuration(size))
    if index.find(key_of(0)) is None:
        raise ValueError("the key is unknown")
    return lambda: index.find(key_of(0))


def _named_wrong_key(size: int) -> Callable[[], object]:
    index = KeyIndex(make_configuration(size))
    return lambda: index.find(f"{customer_id_of(0)}-1.wrong")


def _unnamed_wrong_key(size: int) -> Callable[[], object]:
    index = KeyIndex(make_configuration(size))
    return lambda: index.find("wrong")


def _request_slopes() -> list[Slope]:
    return [
        _slope("route_us", "candidate engine", FEW_SIZES, _route),
        _slope("admit_us", "request", REPEAT_SIZES, _admit),
        _slope("read_claims_us", "claim with its outcome", REPEAT_SIZES, _read_claims),
    ]


def _route(size: int) -> Callable[[], object]:
    candidates = tuple(make_candidate(number) for number in range(size))
    request = RoutingRequest(1_000, 500, ZONE, adapter="", draw=0.5)
    return lambda: choose_engine(request, candidates, _NOW_SECONDS)


def _admit(size: int) -> Callable[[], object]:
    clock, customer_id = SystemClock(), customer_id_of(0)
    configuration = make_configuration(size)
    limiter = Limiter(HOLDER, clock, lambda: configuration, lambda: None)
    limiter.with_holdings(customer_id, _fill)

    def admit_all() -> None:
        for _ in range(size):
            limiter.admit(customer_id, clock.now_seconds())

    return admit_all


def _fill(holdings: Holdings, limit: CustomerLimit) -> None:
    granted = GrantedTokens(
        holdings.customer_id, _PLENTY_TOKENS, 1, False, 0.0, ReturnedTokens()
    )
    holdings.add_extra(granted, Epoch(1), float("inf"))


def _read_claims(size: int) -> Callable[[], object]:
    records = [record for number in range(size) for record in make_claim(number)]
    payloads = [
        encode_envelope("writer", number, record)
        for number, record in enumerate(records)
    ]

    def read_all() -> None:
        table = ClaimTable()
        for offset, payload in enumerate(payloads):
            _, body = decode_envelope(payload)
            table.apply(AppliedRecord(offset, RecordId("writer", offset), body, 0.0))

    return read_all


def _peer_slopes() -> list[Slope]:
    return [
        _slope("heartbeat_us", "engine with work", FEW_SIZES, _heartbeat),
        _slope("floor_request_us", "configured customer", MANY_SIZES, _floor_request),
    ]


def _heartbeat(size: int) -> Callable[[], object]:
    heartbeat = make_heartbeat(size)
    return lambda: decode_message(encode_message(heartbeat))


def _floor_request(size: int) -> Callable[[], object]:
    request = make_floor_request(size)
    return lambda: decode_message(encode_message(request))


def _limit_slopes() -> list[Slope]:
    return [
        _slope("grant_us", "customer asked for", FEW_SIZES, _grant),
        _slope("choose_homes_us", "instance listed", FEW_SIZES, _choose_homes),
    ]


def _choose_homes(size: int) -> Callable[[], object]:
    instances = [make_listed_instance(number) for number in range(size)]
    return lambda: home_instances(customer_id_of(0), instances, MIN_HOMES)


def _grant(size: int) -> Callable[[], object]:
    grantor = make_grantor(size)
    request = make_extra_request(size)
    now_seconds = 1_000.0

    def grant_all() -> None:
        nonlocal now_seconds
        now_seconds += 0.25
        grantor.grant(request, now_seconds)

    return grant_all


def make_grantor(size: int) -> Grantor:
    """
    Build a grantor that grants.

    :param size: Number of customers.
    """
    grantor = Grantor(0.0)
    began = grantor.begin(Epoch(7), limits_of(make_configuration(size)), 0.0)
    grantor.apply(AppliedRecord(0, RecordId("writer", 0), began, 0.0))
    return grantor
