"""What instances pass on of the store: size and time of large records."""

from waxwingwinch.gateway.feeds._budget import LargePageBudget
from waxwingwinch.gateway.feeds._log_lines import PageMalformed
from waxwingwinch.gateway.feeds._packing import (
    LARGE_VALUE_BYTES,
    ValuePacker,
    unpack_value,
)

__all__ = [
    "LARGE_VALUE_BYTES",
    "LargePageBudget",
    "PageMalformed",
    "ValuePacker",
    "unpack_value",
]
