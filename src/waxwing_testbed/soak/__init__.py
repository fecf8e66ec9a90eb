"""A seeded fault soak of the gateway, with real processes on loopback."""

from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._cases import Case
from waxwing_testbed.soak._checks import CHECKS, check_all
from waxwing_testbed.soak._history import History, make_history
from waxwing_testbed.soak._main import main
from waxwing_testbed.soak._run import InstancesNotReady, SoakResult, run_soak
from waxwing_testbed.soak._schedule import Schedule, make_schedule

__all__ = [
    "CHECKS",
    "Bounds",
    "Case",
    "History",
    "InstancesNotReady",
    "Schedule",
    "SoakResult",
    "check_all",
    "main",
    "make_history",
    "make_schedule",
    "run_soak",
]
