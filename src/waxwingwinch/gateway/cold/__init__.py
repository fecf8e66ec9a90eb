"""Upstreams that are cold: how many requests they get, and who decides."""

from waxwingwinch.gateway.cold._broker import ColdBroker, ColdRefusal, NoColdPermit
from waxwingwinch.gateway.cold._budgets import (
    GRANT_WINDOW_SECONDS,
    PERMIT_SECONDS,
    ColdBudgets,
    ColdPolicy,
)
from waxwingwinch.gateway.cold._keeper import ROLE_WAIT_SECONDS, ColdKeeper
from waxwingwinch.gateway.cold._log_lines import OwnCallSkipped
from waxwingwinch.gateway.cold._messages import ColdUpstreamReport
from waxwingwinch.gateway.cold._periods import ColdPeriods

__all__ = [
    "GRANT_WINDOW_SECONDS",
    "PERMIT_SECONDS",
    "ROLE_WAIT_SECONDS",
    "ColdBroker",
    "ColdBudgets",
    "ColdKeeper",
    "ColdPeriods",
    "ColdPolicy",
    "ColdRefusal",
    "ColdUpstreamReport",
    "NoColdPermit",
    "OwnCallSkipped",
]
