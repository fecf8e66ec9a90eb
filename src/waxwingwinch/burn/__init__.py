"""The report on service-level burn, ``waxwing-burn``."""

from waxwingwinch.burn._compute import make_report
from waxwingwinch.burn._counters import Counters, Window, counters_between
from waxwingwinch.burn._csv import write_csv
from waxwingwinch.burn._files import (
    SnapshotFinding,
    SnapshotsInvalid,
    append_snapshots,
    read_snapshots,
)
from waxwingwinch.burn._html import write_html
from waxwingwinch.burn._main import main, make_app
from waxwingwinch.burn._model import (
    BurnReport,
    CustomerBurn,
    EventCount,
    Objective,
    ObjectiveBurn,
    ReportOptions,
    Spend,
)
from waxwingwinch.burn._spend import PriceOverrides, add_up_spend
from waxwingwinch.burn._text import print_report

__all__ = [
    "BurnReport",
    "Counters",
    "CustomerBurn",
    "EventCount",
    "Objective",
    "ObjectiveBurn",
    "PriceOverrides",
    "ReportOptions",
    "SnapshotFinding",
    "SnapshotsInvalid",
    "Spend",
    "Window",
    "add_up_spend",
    "append_snapshots",
    "counters_between",
    "main",
    "make_app",
    "make_report",
    "print_report",
    "read_snapshots",
    "write_csv",
    "write_html",
]
