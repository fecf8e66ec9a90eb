"""Directory of the registered upstreams; see the package ``upstreams``."""

from waxwingwinch.gateway.upstreams import (
    FIRST_EJECTION_SECONDS,
    LAPSED_GRACE_SECONDS,
    MAX_EJECTION_SECONDS,
    MAX_REMOVED,
    OrderedRoleChange,
    RegisteredState,
    Upstream,
    UpstreamDirectory,
)

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
