"""The upstreams that instances know, and what is known of them."""

from waxwingwinch.gateway.upstreams._directory import UpstreamDirectory
from waxwingwinch.gateway.upstreams._entries import LAPSED_GRACE_SECONDS
from waxwingwinch.gateway.upstreams._entry import RegisteredState, Upstream
from waxwingwinch.gateway.upstreams._failures import (
    FIRST_EJECTION_SECONDS,
    MAX_EJECTION_SECONDS,
)
from waxwingwinch.gateway.upstreams._retention import MAX_REMOVED
from waxwingwinch.gateway.upstreams._role_changes import OrderedRoleChange

__all__ = [
    "FIRST_EJECTION_SECONDS",
    "LAPSED_GRACE_SECONDS",
    "MAX_EJECTION_SECONDS",
    "MAX_REMOVED",
    "OrderedRoleChange",
    "RegisteredState",
    "Upstream",
    "UpstreamDirectory",
]
