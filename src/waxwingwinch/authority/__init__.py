"""Duties that at most one process at a time holds, under leases in the log."""

from waxwingwinch.authority._directory import DutyDirectory, DutyHolderInfo
from waxwingwinch.authority._fence import Fence, FenceTimer
from waxwingwinch.authority._holder import DutyHolder
from waxwingwinch.authority._leases import (
    Lease,
    LeaseTracker,
)
from waxwingwinch.authority._records import (
    DUTIES_STREAM,
    NO_VERSION,
    DutyClaim,
    DutyRelease,
    DutyRenewal,
    DutyReset,
    DutySnapshot,
    DutyState,
    DutyVersion,
)
from waxwingwinch.authority._table import DutyTable

__all__ = [
    "DUTIES_STREAM",
    "NO_VERSION",
    "DutyClaim",
    "DutyDirectory",
    "DutyHolder",
    "DutyHolderInfo",
    "DutyRelease",
    "DutyRenewal",
    "DutyReset",
    "DutySnapshot",
    "DutyState",
    "DutyTable",
    "DutyVersion",
    "Fence",
    "FenceTimer",
    "Lease",
    "LeaseTracker",
]
