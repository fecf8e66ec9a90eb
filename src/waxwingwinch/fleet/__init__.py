"""The fleet of upstreams: observed state, directives and orders."""

from waxwingwinch.fleet._observer import FleetObserver
from waxwingwinch.fleet._poller import EnginePoller, EngineStatus, PollScope
from waxwingwinch.fleet._prefix_index import PrefixIndex
from waxwingwinch.fleet._records import (
    AnyAction,
    Directive,
    FleetRecord,
    OrderFate,
    OrderIntent,
    OrderOutcome,
    TermBegun,
    buying_planner,
    fleet_duty,
    fleet_stream,
)
from waxwingwinch.fleet._state import FleetState

__all__ = [
    "AnyAction",
    "Directive",
    "EnginePoller",
    "EngineStatus",
    "FleetObserver",
    "FleetRecord",
    "FleetState",
    "OrderFate",
    "OrderIntent",
    "OrderOutcome",
    "PollScope",
    "PrefixIndex",
    "TermBegun",
    "buying_planner",
    "fleet_duty",
    "fleet_stream",
]
