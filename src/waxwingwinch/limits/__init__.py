"""
Rate and burst of customers over all instances together.

The holder of the duty ``limits-<cell>`` gives out floors on long terms and
extra tokens on short ones; entries admit from what they hold.
"""

from waxwingwinch.limits._bucket import TokenBucket
from waxwingwinch.limits._customer_limits import (
    CLOCK_DRIFT_RATIO,
    EXPIRY_MARGIN_FACTOR,
    CustomerLimit,
    limits_of,
)
from waxwingwinch.limits._duty import GrantorDuty
from waxwingwinch.limits._floor_policy import (
    FloorDecision,
    KeepFloor,
    PostponeFloor,
    RecordFloor,
    RefuseFloor,
)
from waxwingwinch.limits._floors import FloorShare, FloorTable, RecordedFloor
from waxwingwinch.limits._grantor import Grantor
from waxwingwinch.limits._holdings import Holdings
from waxwingwinch.limits._limiter import GrantorLink, Limiter
from waxwingwinch.limits._messages import (
    CustomerTokens,
    ExtraReply,
    ExtraRequest,
    Floor,
    FloorGranted,
    FloorReleased,
    FloorReply,
    FloorRequest,
    FloorWanted,
    GrantedTokens,
    GrantorBegan,
    ReturnedTokens,
)
from waxwingwinch.limits._static import StaticSplitLimiter

__all__ = [
    "CLOCK_DRIFT_RATIO",
    "CustomerLimit",
    "CustomerTokens",
    "EXPIRY_MARGIN_FACTOR",
    "ExtraReply",
    "ExtraRequest",
    "Floor",
    "FloorDecision",
    "FloorGranted",
    "FloorReleased",
    "FloorReply",
    "FloorRequest",
    "FloorShare",
    "FloorTable",
    "FloorWanted",
    "GrantedTokens",
    "Grantor",
    "GrantorBegan",
    "GrantorDuty",
    "GrantorLink",
    "Holdings",
    "KeepFloor",
    "Limiter",
    "PostponeFloor",
    "RecordFloor",
    "RecordedFloor",
    "RefuseFloor",
    "ReturnedTokens",
    "StaticSplitLimiter",
    "TokenBucket",
    "limits_of",
]
