"""Decisions as functions of state and the present time."""

from waxwingwinch.decisions._buying import plan_purchases, spare_engine
from waxwingwinch.decisions._buying_state import (
    BuyingState,
    ModelNeed,
    OwnedEngine,
    Purchase,
    Refusal,
    Return,
)
from waxwingwinch.decisions._forecast import DemandForecaster, WorkForecast
from waxwingwinch.decisions._roles import (
    RoleChange,
    RoleEngine,
    RoleState,
    plan_roles,
    servable_ratio,
)

__all__ = [
    "BuyingState",
    "DemandForecaster",
    "ModelNeed",
    "OwnedEngine",
    "Purchase",
    "Refusal",
    "Return",
    "RoleChange",
    "RoleEngine",
    "RoleState",
    "WorkForecast",
    "plan_purchases",
    "plan_roles",
    "servable_ratio",
    "spare_engine",
]
