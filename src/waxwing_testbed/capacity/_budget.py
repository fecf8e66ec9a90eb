"""The control budget of a node, row by row, from measured slopes."""

from attrs import frozen

from waxwing_testbed.capacity._run import CapacityRun
from waxwing_testbed.capacity._target import TARGET
from waxwingwinch.placement import home_count

#: Entry and control of a node each follow the log and the lists.
PROCESSES_PER_NODE = 2
#: Sent by one node and received by another.
DIRECTIONS = 2
#: Tokens are asked for so often.
ASKS_PER_SECOND = 4.0
#: Peers that keep copies of usage counters.
USAGE_COPIES = 2
#: Prefixes remembered of one engine at most.
PREFIXES_PER_ENGINE = 20_000
#: Duties of a cell: fleet, buying, limits, usage, configuration.
DUTIES_PER_CELL = 5
#: Renewals of a duty with the default lease of 4 s.
RENEWALS_PER_SECOND = 0.75
SNAPSHOT_INTERVAL_SECONDS = 60.0
#: JSON carries records as base64.
BASE64_FACTOR = 4 / 3
#: Share of the requests that the row of claims is worked out for.
CLAIMED_RATIO = 0.01
SECONDS_PER_DAY = 86_400
SECONDS_PER_HOUR = 3_600
BYTES_PER_KILOBYTE = 1_000
BYTES_PER_MEGABYTE = 1_000_000
#: Processor time in microseconds a second that is one per cent of a core.
MICROSECONDS_PER_PERCENT = 10_000


@frozen
class Use:
    """
    What a part of control uses on a node; None where it is not measured.

    :param core_percent: Processor time.
    :param memory_megabytes: Memory.
    :param kilobytes_per_second: Messages, sent and received.
    """

    core_percent: float | None
    memory_megabytes: float | None
    kilobytes_per_second: float | None


@frozen
class BudgetRow:
    """
    A part of control.

    :param name: What it is.
    :param today: With today's code and all nodes in one cell.
    :param by_cell: With a cell for each model and zone, and messages and
        intervals of today.
    """

    name: str
    today: Use
    by_cell: Use


def homes_per_customer() -> int:
    """Return the home instances of a customer of mean rate."""
    rate_per_second = TARGET.requests_per_second / TARGET.customers
    return home_count(rate_per_second, TARGET.nodes)


def customers_per_node() -> float:
    """Return the customers that have a home on a node."""
    return TARGET.customers * homes_per_customer() / TARGET.nodes


def budget_rows(run: CapacityRun) -> tuple[BudgetRow, ...]:
    """
    Work out all rows.

    :param run: The measurements.
    """
    return (
        _both("processes without peers and engines", _base(run)),
        BudgetRow(
            "heartbeats",
            _heartbeats(run, TARGET.nodes - 1, TARGET.streams_per_node),
            _heartbeats(run, TARGET.nodes_per_cell - 1, TARGET.engines_per_cell),
        ),
        BudgetRow(
            "polls of engines",
            _polls(run, TARGET.engines),
            _polls(run, TARGET.engines_per_cell),
        ),
        BudgetRow(
            "list of upstreams",
            _lists(run, "upstream_list_bytes", TARGET.engines),
            _lists(run, "upstream_list_bytes", TARGET.engines_per_cell),
        ),
        BudgetRow(
            "list of instances",
            _lists(run, "instance_list_bytes", TARGET.nodes),
            _lists(run, "instance_list_bytes", TARGET.nodes_per_cell),
        ),
        _both("extras", _extras(run)),
        BudgetRow(
            "floors", _floors(run, TARGET.customers), _floors(run, customers_per_node())
        ),
        _both("usage copies", _usage(run)),
        _both("configuration changes", _changes(run)),
        BudgetRow("configuration snapshots", _snapshots(run), _snapshot_loads(run)),
        BudgetRow(
            "claims, for each 1 % of requests",
            _claims(run, 1.0),
            _claims(run, homes_per_customer() / TARGET.nodes),
        ),
        BudgetRow("duties", _duties(run), _duties(run)),
    )


def total_use(rows: tuple[BudgetRow, ...], is_today: bool) -> Use:
    """
    Add up the rows.

    :param rows: All rows.
    :param is_today: Which column.
    """
    uses = [row.today if is_today else row.by_cell for row in rows]
    return Use(
        sum(use.core_percent or 0.0 for use in uses),
        sum(use.memory_megabytes or 0.0 for use in uses),
        sum(use.kilobytes_per_second or 0.0 for use in uses),
    )


def _both(name: str, use: Use) -> BudgetRow:
    return BudgetRow(name, use, use)


def _base(run: CapacityRun) -> Use:
    per_engine = [
        run.slope(f"idle_{field}_per_engine").intercept
        for field in (
            "entry_core_percent",
            "standby_core_percent",
            "entry_resident_megabytes",
            "control_resident_megabytes",
            "platform_kilobytes_per_second",
        )
    ]
    entry, standby, entry_memory, control_memory, platform = per_engine
    return Use(entry + standby, entry_memory + control_memory, platform)


def _heartbeats(run: CapacityRun, peers: float, engines: float) -> Use:
    wire = run.slope("idle_peer_kilobytes_per_second_per_instance").slope
    row = run.slope("heartbeat_bytes").slope / BYTES_PER_KILOBYTE
    microseconds = run.slope("heartbeat_us")
    each = microseconds.intercept + microseconds.slope * engines
    memory = run.slope("heartbeat_memory_bytes").slope
    return Use(
        peers * each / MICROSECONDS_PER_PERCENT,
        peers * memory / BYTES_PER_MEGABYTE,
        peers * (wire + DIRECTIONS * row * engines),
    )


def _polls(run: CapacityRun, engines: float) -> Use:
    prefixes = PREFIXES_PER_ENGINE * run.slope("prefix_memory_bytes").slope
    each_bytes = run.slope("engine_memory_bytes").slope + prefixes
    wire = run.slope("engine_poll_wire_bytes").slope
    return Use(
        engines * run.slope("idle_entry_core_percent_per_engine").slope,
        engines * each_bytes / BYTES_PER_MEGABYTE,
        engines * wire / BYTES_PER_KILOBYTE,
    )


def _lists(run: CapacityRun, name: str, rows: float) -> Use:
    list_bytes = PROCESSES_PER_NODE * rows * run.slope(name).slope
    return Use(None, None, list_bytes / BYTES_PER_KILOBYTE)


def _extras(run: CapacityRun) -> Use:
    row = run.slope("extra_request_bytes").slope + run.slope("extra_reply_bytes").slope
    row_bytes = customers_per_node() * ASKS_PER_SECOND * row
    return Use(None, None, row_bytes / BYTES_PER_KILOBYTE)


def _floors(run: CapacityRun, customers: float) -> Use:
    return Use(
        customers * run.slope("floor_request_us").slope / MICROSECONDS_PER_PERCENT,
        customers * run.slope("limiter_memory_bytes").slope / BYTES_PER_MEGABYTE,
        customers * run.slope("floor_request_bytes").slope / BYTES_PER_KILOBYTE,
    )


def _usage(run: CapacityRun) -> Use:
    sent = customers_per_node() * USAGE_COPIES * run.slope("usage_push_bytes").slope
    return Use(None, None, DIRECTIONS * sent / BYTES_PER_KILOBYTE)


def _changes(run: CapacityRun) -> Use:
    each = sum(
        run.slope(name).intercept + run.slope(name).slope * TARGET.customers
        for name in ("fold_change_us", "index_keys_us", "derive_limits_us")
    )
    held = sum(
        run.slope(name).slope
        for name in ("configuration_memory_bytes", "key_index_memory_bytes")
    )
    per_second = PROCESSES_PER_NODE * TARGET.changes_per_second
    change_bytes = run.slope("configuration_change_bytes").slope
    return Use(
        per_second * each / MICROSECONDS_PER_PERCENT,
        PROCESSES_PER_NODE * TARGET.customers * held / BYTES_PER_MEGABYTE,
        per_second * change_bytes / BYTES_PER_KILOBYTE,
    )


def _snapshot_bytes(run: CapacityRun) -> float:
    slope = run.slope("configuration_snapshot_bytes")
    return slope.intercept + slope.slope * TARGET.customers


def _snapshots(run: CapacityRun) -> Use:
    """Each process reads each snapshot that is appended."""
    read_bytes = PROCESSES_PER_NODE * BASE64_FACTOR * _snapshot_bytes(run)
    return Use(None, None, read_bytes / SNAPSHOT_INTERVAL_SECONDS / BYTES_PER_KILOBYTE)


def _snapshot_loads(run: CapacityRun) -> Use:
    """Only processes that start load one, from a peer."""
    loads_per_second = TARGET.restarts_per_day / TARGET.nodes / SECONDS_PER_DAY
    loaded = PROCESSES_PER_NODE * DIRECTIONS * _snapshot_bytes(run) * loads_per_second
    return Use(None, None, loaded / BYTES_PER_KILOBYTE)


def _claims(run: CapacityRun, read_ratio: float) -> Use:
    """Claims of one per cent of the requests; memory for an hour of them."""
    per_second = TARGET.requests_per_second * CLAIMED_RATIO * read_ratio
    memory = run.slope("claim_memory_bytes").slope * SECONDS_PER_HOUR
    return Use(
        per_second * run.slope("read_claims_us").slope / MICROSECONDS_PER_PERCENT,
        per_second * memory / BYTES_PER_MEGABYTE,
        per_second * run.slope("claim_log_bytes").slope / BYTES_PER_KILOBYTE,
    )


def _duties(run: CapacityRun) -> Use:
    """One cell's duties, each renewed in a record of its own."""
    records = PROCESSES_PER_NODE * DUTIES_PER_CELL * RENEWALS_PER_SECOND
    record_bytes = run.slope("duty_renewal_log_bytes").slope
    return Use(None, None, records * record_bytes / BYTES_PER_KILOBYTE)
