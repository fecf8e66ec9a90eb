"""
Wire formats of the interfaces to the outside, in HTTP and JSON.

Each module holds the wire format of one interface and nothing else does.
"""

from waxwingwinch.adapters._engine import HttpEngine
from waxwingwinch.adapters._instance_list import HttpInstanceList
from waxwingwinch.adapters._log import HttpPlatformLog
from waxwingwinch.adapters._plain_service import HttpPlainService
from waxwingwinch.adapters._upstream_market import HttpUpstreamMarket
from waxwingwinch.adapters._usage_intake import HttpUsageIntake
from waxwingwinch.adapters._weight_store import HttpWeightStore
from waxwingwinch.adapters._wire import make_wire_converter

__all__ = [
    "HttpEngine",
    "HttpInstanceList",
    "HttpPlainService",
    "HttpPlatformLog",
    "HttpUpstreamMarket",
    "HttpUsageIntake",
    "HttpWeightStore",
    "make_wire_converter",
]
