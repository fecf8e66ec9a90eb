"""Learned speed, failures and limits of upstreams."""

from waxwingwinch.gateway.capacity._estimates import (
    DEFAULT_ESTIMATE,
    INITIAL_SLOWDOWN,
    NOMINAL_ESTIMATE,
    CapacityEstimate,
    Phase,
)
from waxwingwinch.gateway.capacity._messages import CapacityRow
from waxwingwinch.gateway.capacity._outbox import MAX_RECENT_ROWS
from waxwingwinch.gateway.capacity._stream_meter import StreamMeter
from waxwingwinch.gateway.capacity._tracker import CapacityTracker

__all__ = [
    "DEFAULT_ESTIMATE",
    "INITIAL_SLOWDOWN",
    "MAX_RECENT_ROWS",
    "NOMINAL_ESTIMATE",
    "CapacityEstimate",
    "CapacityRow",
    "CapacityTracker",
    "Phase",
    "StreamMeter",
]
