"""
Typed interfaces to the platform, the engines and the plain services.

The wire format of each interface is implemented in one module of
:mod:`waxwingwinch.adapters` and known to no other module.
"""

from waxwingwinch.interfaces._engine import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
    Engine,
    EngineOrder,
    EngineStream,
    GenerateCall,
    LoadAdapter,
    LoadModel,
    LoadReport,
    OrderAction,
    OrderResult,
    SetRole,
    StreamEnd,
    StreamItem,
    StreamPart,
)
from waxwingwinch.interfaces._instance_list import (
    InstanceList,
    InstanceState,
    ListedInstance,
)
from waxwingwinch.interfaces._log import PlatformLog
from waxwingwinch.interfaces._plain_service import (
    PlainAnswer,
    PlainCall,
    PlainService,
)
from waxwingwinch.interfaces._upstream_market import (
    GiveBack,
    ListedUpstream,
    MarketOrder,
    OrderUpstream,
    UpstreamMarket,
)
from waxwingwinch.interfaces._usage_intake import (
    CustomerUsage,
    UsageIntake,
    UsageReport,
)
from waxwingwinch.interfaces._weight_store import WeightReservation, WeightStore

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEventPage",
    "CustomerUsage",
    "Engine",
    "EngineOrder",
    "EngineStream",
    "GenerateCall",
    "GiveBack",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "ListedUpstream",
    "LoadAdapter",
    "LoadModel",
    "LoadReport",
    "MarketOrder",
    "OrderAction",
    "OrderResult",
    "OrderUpstream",
    "PlainAnswer",
    "PlainCall",
    "PlainService",
    "PlatformLog",
    "SetRole",
    "StreamEnd",
    "StreamItem",
    "StreamPart",
    "UpstreamMarket",
    "UsageIntake",
    "UsageReport",
    "WeightReservation",
    "WeightStore",
]
