"""What each role does at the target, from measured slopes."""

from attrs import frozen

from waxwing_testbed.capacity._budget import (
    ASKS_PER_SECOND,
    BYTES_PER_KILOBYTE,
    BYTES_PER_MEGABYTE,
    CLAIMED_RATIO,
    DUTIES_PER_CELL,
    MICROSECONDS_PER_PERCENT,
    RENEWALS_PER_SECOND,
    customers_per_node,
    homes_per_customer,
)
from waxwing_testbed.capacity._run import CapacityRun
from waxwing_testbed.capacity._target import TARGET
from waxwingwinch.configuration import Defaults

#: Floors are renewed after this part of their term.
RENEWED_TERM_RATIO = 0.25
#: Claims under way at one time in the measurement that is taken.
CLAIMS_AT_A_TIME = 8


@frozen
class RoleRow:
    """
    One quantity of a role.

    :param role: The role.
    :param quantity: What is meant, with its unit.
    :param today: With today's code and all nodes in one cell.
    :param divided: With cells, or shards as many as cells.
    """

    role: str
    quantity: str
    today: float
    divided: float


def role_rows(run: CapacityRun) -> tuple[RoleRow, ...]:
    """
    Work out all rows.

    :param run: The measurements.
    """
    return (
        *_entry(run),
        *_standby(run),
        *_grantor(run),
        *_fleet(run),
        *_other_duties(run),
        *_log(run),
        *_operator(),
    )


def _same(role: str, quantity: str, value: float) -> RoleRow:
    return RoleRow(role, quantity, value, value)


def _entry(run: CapacityRun) -> tuple[RoleRow, ...]:
    core, memory = run.slope("stream_core_percent"), run.slope("stream_megabytes")
    calls = run.slope("call_ms").slope * TARGET.requests_per_node_per_second
    route = run.slope("route_us")
    routes = [
        (route.intercept + route.slope * engines)
        * TARGET.requests_per_node_per_second
        / MICROSECONDS_PER_PERCENT
        for engines in (TARGET.engines / TARGET.models, TARGET.engines_per_cell)
    ]
    streams = TARGET.streams_per_node
    return (
        _same("entry, data path", "open streams", streams),
        _same("entry, data path", "tokens/s", TARGET.tokens_per_node_per_second),
        _same(
            "entry, data path",
            "relaying, % of a core",
            core.intercept + core.slope * streams,
        ),
        _same(
            "entry, data path",
            "handling requests, % of a core",
            calls / 10,
        ),
        RoleRow("entry, data path", "choosing engines, % of a core", *routes),
        _same(
            "entry, data path",
            "memory with streams, MB",
            memory.intercept + memory.slope * streams,
        ),
        _same("entry", "customers at home here", customers_per_node()),
    )


def _standby(run: CapacityRun) -> tuple[RoleRow, ...]:
    core = run.slope("idle_standby_core_percent_per_engine")
    memory = run.slope("idle_control_resident_megabytes_per_engine")
    return (
        _same("control standby", "% of a core", core.intercept),
        _same("control standby", "memory, MB", memory.intercept),
    )


def _grantor(run: CapacityRun) -> tuple[RoleRow, ...]:
    rows = TARGET.customers * homes_per_customer() * ASKS_PER_SECOND
    grants = rows * run.slope("grant_us").slope / MICROSECONDS_PER_PERCENT
    row_bytes = run.slope("extra_request_bytes").slope
    row_bytes += run.slope("extra_reply_bytes").slope
    extras = rows * row_bytes / BYTES_PER_KILOBYTE
    floor_rows = (
        TARGET.nodes * TARGET.customers,
        homes_per_customer() * TARGET.customers / TARGET.cells,
    )
    floor_bytes = run.slope("floor_request_bytes").slope / BYTES_PER_KILOBYTE
    floor_core = run.slope("floor_request_us").slope / MICROSECONDS_PER_PERCENT
    homes = run.slope("choose_homes_us")
    homes_core = homes.intercept + homes.slope * TARGET.nodes
    homes_core /= MICROSECONDS_PER_PERCENT
    memory = run.slope("grantor_memory_bytes").slope * TARGET.customers
    memory /= BYTES_PER_MEGABYTE
    cells = TARGET.cells
    role = "limits holder"
    return (
        RoleRow(role, "customers asked for a second", rows, rows / cells),
        RoleRow(role, "granting, % of a core", grants, grants / cells),
        RoleRow(role, "extras, KB/s", extras, extras / cells),
        RoleRow(
            role, "floor requests, KB/s", *(count * floor_bytes for count in floor_rows)
        ),
        RoleRow(
            role,
            "floor requests, % of a core",
            *(count * floor_core for count in floor_rows),
        ),
        RoleRow(
            role,
            "choosing home instances for floors, % of a core",
            *(count * homes_core for count in floor_rows),
        ),
        RoleRow(role, "accounts, MB", memory, memory / cells),
    )


def _fleet(run: CapacityRun) -> tuple[RoleRow, ...]:
    heartbeat, size = run.slope("heartbeat_us"), run.slope("heartbeat_bytes")
    polls = run.slope("idle_holder_core_percent_per_engine").slope
    work = (
        (TARGET.nodes, TARGET.streams_per_node, TARGET.engines),
        (TARGET.nodes_per_cell, TARGET.engines_per_cell, TARGET.engines_per_cell),
    )
    role = "fleet holder"
    return (
        RoleRow(
            role,
            "heartbeats, % of a core",
            *(
                nodes
                * (heartbeat.intercept + heartbeat.slope * busy)
                / MICROSECONDS_PER_PERCENT
                for nodes, busy, _ in work
            ),
        ),
        RoleRow(
            role,
            "heartbeats, KB/s",
            *(
                nodes * (size.intercept + size.slope * busy) / BYTES_PER_KILOBYTE
                for nodes, busy, _ in work
            ),
        ),
        RoleRow(
            role, "polls of engines, % of a core", *(polls * row[2] for row in work)
        ),
    )


def _other_duties(run: CapacityRun) -> tuple[RoleRow, ...]:
    rows = float(TARGET.customers * homes_per_customer())
    window_seconds = Defaults().usage_window_seconds
    usage = rows * run.slope("usage_push_bytes").slope / window_seconds
    usage /= BYTES_PER_KILOBYTE
    snapshot = run.slope("configuration_snapshot_bytes")
    megabytes = (snapshot.intercept + snapshot.slope * TARGET.customers) / (
        BYTES_PER_MEGABYTE
    )
    return (
        RoleRow(
            "usage holder", "counters of a window, KB/s", usage, usage / TARGET.cells
        ),
        _same("configuration holder", "snapshot, MB", megabytes),
    )


def _log(run: CapacityRun) -> tuple[RoleRow, ...]:
    claimed = TARGET.requests_per_second * CLAIMED_RATIO
    grouped = run.figure(f"appends_grouped_{CLAIMS_AT_A_TIME}_at_a_time").value / 1_000
    single = run.figure(f"appends_single_{CLAIMS_AT_A_TIME}_at_a_time").value / 1_000
    floors = float(TARGET.customers * homes_per_customer())
    floors /= Defaults().floor_term_seconds * RENEWED_TERM_RATIO
    renewals = DUTIES_PER_CELL * RENEWALS_PER_SECOND
    return (
        _same("log", "appends/s for 1 % claimed, without grouping", claimed * single),
        _same(
            "log",
            f"appends/s for 1 % claimed, {CLAIMS_AT_A_TIME} at a time in each group",
            claimed * grouped,
        ),
        _same("log", "floor records/s", floors),
        RoleRow("log", "duty renewals/s", renewals, renewals * TARGET.cells),
        _same("log", "configuration changes/s", TARGET.changes_per_second),
    )


def _operator() -> tuple[RoleRow, ...]:
    majority = TARGET.nodes // 2 + 1
    return (_same("operator", "confirmations of a withdrawal", majority),)
