"""Slopes of messages, time and memory, and what follows from them."""

from waxwing_testbed.capacity._budget import budget_rows, total_use
from waxwing_testbed.capacity._figures import Figure
from waxwing_testbed.capacity._main import PAGE_PATH, RESULT_PATH, main, measure
from waxwing_testbed.capacity._page import render_tables, replace_between, update_page
from waxwing_testbed.capacity._run import CapacityRun, read_run, write_run
from waxwing_testbed.capacity._slopes import Point, Slope, fit_slope, measure_slope

__all__ = [
    "CapacityRun",
    "Figure",
    "PAGE_PATH",
    "Point",
    "RESULT_PATH",
    "Slope",
    "budget_rows",
    "fit_slope",
    "main",
    "measure",
    "measure_slope",
    "read_run",
    "render_tables",
    "replace_between",
    "total_use",
    "update_page",
    "write_run",
]
