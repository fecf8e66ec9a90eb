"""
The gateway, which relays callers' requests to upstreams on every instance.

The gateway is independent of the platform's message formats; an adapter
converts platform messages to typed values.
"""

from waxwingwinch.gateway._cluster_log_lines import (
    HandleNotReleased,
    StoreEraMalformed,
)
from waxwingwinch.gateway._connections import (
    CallDropped,
    Cancellation,
    Cancelled,
    ConnectionPool,
    UpstreamConnection,
)
from waxwingwinch.gateway._duty_worker import DutyCalls, StaleFencingToken
from waxwingwinch.gateway._front import RawRequest, RequestDecoder
from waxwingwinch.gateway._http_parser import MalformedRequest
from waxwingwinch.gateway._log_writer import LogWriter
from waxwingwinch.gateway._malloc import return_freed_memory
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._model import (
    CallerLimits,
    CustomerRules,
    EngineTraits,
    GatewayConfiguration,
    QuotaUnit,
    RequestKind,
    Route,
    ScalingRules,
    ServiceRules,
    WeightedService,
)
from waxwingwinch.gateway._options import GatewayAdapter, GatewayOptions
from waxwingwinch.gateway._positions import (
    MAX_ERA,
    MAX_OFFSET,
    era_of,
    make_position,
    offset_of,
)
from waxwingwinch.gateway._process import GatewayProcess
from waxwingwinch.gateway._process_log_lines import (
    SettingsRejected,
    SettingsReloaded,
    SettingsReloadRequested,
    SettingsUnreadable,
)
from waxwingwinch.gateway._requests import (
    GatewayRequest,
    Prompt,
    PromptPart,
    ResponseHead,
)
from waxwingwinch.gateway._scaling import UpstreamCount
from waxwingwinch.gateway._statement_log_lines import StatementMalformed
from waxwingwinch.gateway._statements import (
    OnStatements,
    UpstreamStatements,
    ignore_statements,
)
from waxwingwinch.gateway._store import (
    AppendConflict,
    HistoryReplaced,
    KeyedRecord,
    KeyedSnapshot,
    PlatformStore,
)
from waxwingwinch.gateway._transport import (
    DecodeFromCache,
    FullExecution,
    PendingCall,
    PrefillOnly,
    SilentCall,
    UpstreamCall,
    UpstreamResponse,
    UpstreamTransport,
)
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.cold import NoColdPermit
from waxwingwinch.gateway.homes import ResolveQuery

__all__ = [
    "AppendConflict",
    "CallerLimits",
    "CallDropped",
    "Cancellation",
    "Cancelled",
    "ConnectionPool",
    "CustomerRules",
    "DecodeFromCache",
    "DutyCalls",
    "EngineTraits",
    "FullExecution",
    "GatewayAdapter",
    "GatewayConfiguration",
    "GatewayOptions",
    "GatewayProcess",
    "GatewayRequest",
    "HandleNotReleased",
    "NoColdPermit",
    "HistoryReplaced",
    "KeyedRecord",
    "KeyedSnapshot",
    "LogWriter",
    "MalformedRequest",
    "MAX_ERA",
    "MAX_OFFSET",
    "Member",
    "OnStatements",
    "PendingCall",
    "PlatformStore",
    "PrefillOnly",
    "Prompt",
    "PromptPart",
    "QuotaUnit",
    "RawRequest",
    "RegisteredState",
    "RequestDecoder",
    "RequestKind",
    "ResolveQuery",
    "ResponseHead",
    "Route",
    "ScalingRules",
    "ServiceRules",
    "SettingsRejected",
    "SettingsReloadRequested",
    "SettingsReloaded",
    "SettingsUnreadable",
    "SilentCall",
    "StaleFencingToken",
    "StatementMalformed",
    "StoreEraMalformed",
    "Upstream",
    "UpstreamCall",
    "UpstreamConnection",
    "UpstreamCount",
    "UpstreamResponse",
    "UpstreamStatements",
    "UpstreamTransport",
    "WeightedService",
    "era_of",
    "ignore_statements",
    "make_position",
    "offset_of",
    "return_freed_memory",
]
