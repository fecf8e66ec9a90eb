"""The fleet of upstreams: what is known of it and what was ordered."""

from waxwingwinch.fleet._observer import FleetObserver
from waxwingwinch.fleet._poller import EngineKnowledge, EnginePoller, PollNeeds
from waxwingwinch.fleet._prefix_index import PrefixIndex
from waxwingwinch.fleet._records import (
    AnyAction,
    Directive,
    FleetRecord,
    OrderFate,
    OrderIntent,
    OrderOutcome,
    TermBegun,
    buying_duty,
    fleet_duty,
    fleet_stream,
)
from waxwingwinch.fleet._state import FleetState

__all__ = [
    "AnyAction",
    "Directive",
    "EngineKnowledge",
    "EnginePoller",
    "FleetObserver",
    "FleetRecord",
    "FleetState",
    "OrderFate",
    "OrderIntent",
    "OrderOutcome",
    "PollNeeds",
    "PrefixIndex",
    "TermBegun",
    "buying_duty",
    "fleet_duty",
    "fleet_stream",
]
