"""What instances pass on of the store: size and time of large records."""

from waxwingwinch.gateway.feeds._budget import LargePageBudget
from waxwingwinch.gateway.feeds._changes import RetainedChange, newest_records
from waxwingwinch.gateway.feeds._log_lines import PageMalformed
from waxwingwinch.gateway.feeds._packing import (
    LARGE_VALUE_BYTES,
    ValuePacker,
    unpack_value,
)
from waxwingwinch.gateway.feeds._plan import (
    STANDBY_READ_SECONDS,
    FollowPlan,
    Pace,
    RecordEffect,
    StoreReadMode,
)
from waxwingwinch.gateway.feeds._readers import (
    ReaderState,
    ReaderWatch,
    StoreCalls,
)
from waxwingwinch.gateway.feeds._sources import OWN_READS, ReadSource, SourceWatch

__all__ = [
    "RetainedChange",
    "newest_records",
    "FollowPlan",
    "Pace",
    "RecordEffect",
    "STANDBY_READ_SECONDS",
    "StoreReadMode",
    "LARGE_VALUE_BYTES",
    "LargePageBudget",
    "OWN_READS",
    "PageMalformed",
    "ReadSource",
    "ReaderState",
    "ReaderWatch",
    "SourceWatch",
    "StoreCalls",
    "ValuePacker",
    "unpack_value",
]
