"""State and messages of a given size, built from the product's classes."""

import hashlib

from waxwingwinch._types import (
    Address,
    CustomerId,
    EngineRole,
    Epoch,
    InstanceId,
    ModelName,
    PriceClass,
    ProcessId,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.configuration import (
    Configuration,
    ConfigurationState,
    Customer,
    KeyRecord,
    Model,
)
from waxwingwinch.contracts import DemandSample, InFlightCount, UpstreamView
from waxwingwinch.decisions import Candidate
from waxwingwinch.interfaces import ListedInstance, ListedUpstream, LoadReport
from waxwingwinch.limits import (
    CustomerTokens,
    ExtraRequest,
    FloorRequest,
    FloorWanted,
    ReturnedTokens,
)
from waxwingwinch.membership import Heartbeat
from waxwingwinch.usage import (
    CounterName,
    UsageCounts,
    UsagePush,
    UsageRow,
)

ZONE = ZoneName("zone-1")
MODEL = ModelName("model-1")
HOLDER = ProcessId(InstanceId("instance-001"), hashlib.md5(b"start").hexdigest())
#: Models at the target, for the demand in heartbeats and snapshots.
MODEL_COUNT = 22
#: Availability zones at the target.
ZONE_COUNT = 6
_ADDRESS = Address("127.0.0.1", 20_000)
_DIGEST = hashlib.sha256(b"key").digest()


def customer_id_of(number: int) -> CustomerId:
    """Return the name of a customer."""
    return CustomerId(f"customer-{number:05}")


def key_of(number: int) -> str:
    """Return the key of a customer, which names its record."""
    return f"customer-{number:05}-1.{'s' * 32}"


def make_configuration(customer_count: int) -> Configuration:
    """
    Build a configuration with one key a customer.

    :param customer_count: Number of customers.
    """
    customers = [_customer(number) for number in range(customer_count)]
    models = [Model(ModelName(f"model-{number}")) for number in range(MODEL_COUNT)]
    return Configuration(
        customers={customer.customer_id: customer for customer in customers},
        models={model.name: model for model in models},
    )


def make_fold_state(customer_count: int) -> ConfigurationState:
    """
    Build the state that a reader of the configuration has.

    :param customer_count: Number of customers.
    """
    return ConfigurationState(make_configuration(customer_count))


def make_heartbeat(engine_count: int) -> Heartbeat:
    """
    Build the heartbeat of an entry with work at some engines.

    :param engine_count: Number of engines.
    """
    work = tuple(
        InFlightCount(UpstreamId(f"engine-{number}"), 12, 4_096)
        for number in range(engine_count)
    )
    demand = (DemandSample(MODEL, 1.0, 9, 9_000, 4_400, 0, 0),)
    return Heartbeat(
        HOLDER.instance_id,
        ZONE,
        _ADDRESS,
        100_000,
        2_000,
        _DIGEST,
        5_000,
        False,
        work,
        demand,
        (),
        HOLDER.incarnation,
    )


def make_extra_request(customer_count: int, epoch: int = 7) -> ExtraRequest:
    """
    Build a request for tokens.

    :param customer_count: Customers with traffic.
    :param epoch: Epoch of the grantor.
    """
    rows = tuple(
        CustomerTokens(customer_id_of(number), 3, 2, 0, 1.125, ReturnedTokens(900, 2.5))
        for number in range(customer_count)
    )
    return ExtraRequest(HOLDER, Epoch(epoch), rows)


def make_floor_request(customer_count: int) -> FloorRequest:
    """
    Build a request for floors.

    :param customer_count: Configured customers.
    """
    rows = tuple(
        FloorWanted(customer_id_of(number), 1_000 + number, -1)
        for number in range(customer_count)
    )
    return FloorRequest(HOLDER, rows)


def make_usage_push(row_count: int) -> UsagePush:
    """
    Build a message of usage counters.

    :param row_count: Changed counters.
    """
    source = ProcessId(HOLDER.instance_id, HOLDER.incarnation)
    rows = tuple(
        UsageRow(
            CounterName(source, 1_700_000_040, customer_id_of(number)),
            UsageCounts(60, 1, 60_000, 30_000, 3),
        )
        for number in range(row_count)
    )
    return UsagePush(rows)


def make_load_report(number: int) -> LoadReport:
    """Build the load report of an engine."""
    return LoadReport(
        UpstreamId(f"engine-{number}"),
        0.7,
        EngineRole.MIXED,
        MODEL,
        (),
        12,
        number % 5,
        1_500 * (number % 5),
        40,
        64,
        8_000.0,
        0.05,
    )


def make_listed_upstream(number: int) -> ListedUpstream:
    """Build a row of the platform's list of upstreams."""
    return ListedUpstream(
        UpstreamId(f"engine-{number}"),
        UpstreamKind.ENGINE,
        _ADDRESS,
        ZONE,
        PriceClass.ON_DEMAND,
        1.25,
        UpstreamState.ACTIVE,
        None,
        "",
        MODEL,
        EngineRole.MIXED,
    )


def make_listed_instance(number: int) -> ListedInstance:
    """Build a row of the platform's list of instances."""
    name = InstanceId(f"instance-{number:03}")
    zone = ZoneName(f"zone-{number % ZONE_COUNT}")
    return ListedInstance(name, zone, _ADDRESS, _ADDRESS, _ADDRESS)


def make_candidate(number: int) -> Candidate:
    """Build an engine to route to."""
    listed = make_listed_upstream(number)
    view = UpstreamView(
        listed,
        UpstreamState.ACTIVE,
        EngineRole.MIXED,
        MODEL,
        make_load_report(number),
        100.0,
    )
    return Candidate(view)


def _customer(number: int) -> Customer:
    customer_id = customer_id_of(number)
    salt = hashlib.md5(str(number).encode()).digest()
    digest = hashlib.sha256(salt + key_of(number).encode()).digest()
    key = KeyRecord(f"{customer_id}-1", salt, digest)
    return Customer(customer_id, 20.0, 40.0, keys=(key,))
