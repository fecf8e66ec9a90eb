"""The entry process: serves callers over HTTP and relays to upstreams."""

from waxwingwinch.entry._application import EntryApplication
from waxwingwinch.entry._crash_guard import CrashGuard, CrashNotice
from waxwingwinch.entry._customer_work import CustomerLoadNotice
from waxwingwinch.entry._demand import EntryDemand
from waxwingwinch.entry._discovery import (
    EntryLister,
    HomeCount,
    HomeRanking,
    KnownEntry,
)
from waxwingwinch.entry._in_flight import InFlightTracker, PeerWorkTable
from waxwingwinch.entry._main import main
from waxwingwinch.entry._options import EntryOptions

__all__ = [
    "CrashGuard",
    "CrashNotice",
    "CustomerLoadNotice",
    "KnownEntry",
    "EntryApplication",
    "EntryDemand",
    "EntryLister",
    "EntryOptions",
    "HomeCount",
    "HomeRanking",
    "InFlightTracker",
    "PeerWorkTable",
    "main",
]
