"""
Rate limits of customers, enforced over all instances together.

The grantor, the control process that holds the duty ``limits-<cell>``, divides
each customer's rate and burst among the entries: as floors, which last for a
long term and are recorded in the platform's log, and as extra tokens, which
last for a short term. Each entry admits requests from the floors and tokens it
holds; in this package ``holder`` means such an entry process. One token admits
one request; it is unrelated to prompt and output tokens.
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
