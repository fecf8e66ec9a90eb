"""
Protocols of the services that the parts of one process offer each other.

A service is looked up in the registry under its ``ServiceName`` and used
through its protocol, either one of those below or one of
:mod:`waxwingwinch.interfaces`.
"""

from waxwingwinch.contracts._admission import (
    Admitted,
    ClaimedOutcome,
    ClaimHeld,
    ClaimResult,
    ClaimUnavailable,
    ClaimWithoutOutcome,
    IdempotencyStore,
    LimitDecision,
    Limited,
    RateLimiter,
    StoredAnswer,
)
from waxwingwinch.contracts._configuration import (
    Caller,
    ConfigurationSource,
    Freshness,
    KeyRejected,
    KeyRejection,
)
from waxwingwinch.contracts._fleet import (
    DemandSample,
    DemandSource,
    FleetView,
    InFlightCount,
    UpstreamView,
)
from waxwingwinch.contracts._names import ServiceName
from waxwingwinch.contracts._reasons import DecisionKind, DecisionLog, Reason
from waxwingwinch.contracts._usage import UsageDelta, UsageLedger

__all__ = [
    "Admitted",
    "Caller",
    "ClaimHeld",
    "ClaimWithoutOutcome",
    "ClaimResult",
    "ClaimUnavailable",
    "ClaimedOutcome",
    "ConfigurationSource",
    "DecisionKind",
    "DecisionLog",
    "DemandSample",
    "DemandSource",
    "FleetView",
    "Freshness",
    "IdempotencyStore",
    "InFlightCount",
    "KeyRejected",
    "KeyRejection",
    "LimitDecision",
    "Limited",
    "RateLimiter",
    "Reason",
    "ServiceName",
    "StoredAnswer",
    "UpstreamView",
    "UsageDelta",
    "UsageLedger",
]
