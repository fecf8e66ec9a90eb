"""Bounds on clients outside anyone's control, at all listening addresses."""

from waxwingwinch.gateway.callers._bounds import (
    MAX_HEADER_FIELDS,
    ServerBounds,
    front_bounds,
    info_bounds,
)
from waxwingwinch.gateway.callers._cutting import CuttingMixin
from waxwingwinch.gateway.callers._gathering import HeadGathering
from waxwingwinch.gateway.callers._head_buffer import HeadBuffer
from waxwingwinch.gateway.callers._request import (
    REQUEST_SPARE_FRACTION,
    CallerRequest,
)
from waxwingwinch.gateway.callers._stream_reader import CallerReader, caller_file

__all__ = [
    "MAX_HEADER_FIELDS",
    "REQUEST_SPARE_FRACTION",
    "CallerReader",
    "CallerRequest",
    "CuttingMixin",
    "HeadBuffer",
    "HeadGathering",
    "ServerBounds",
    "caller_file",
    "front_bounds",
    "info_bounds",
]
