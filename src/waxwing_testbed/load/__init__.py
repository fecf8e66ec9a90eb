"""Callers that discover, connect and retry, and what they send."""

from waxwing_testbed.load._caller import Caller
from waxwing_testbed.load._calls import Call, CallSender, ChatCall, PlainRequest
from waxwing_testbed.load._discovery import Discovery
from waxwing_testbed.load._main import main
from waxwing_testbed.load._options import (
    CustomerKey,
    CustomerLimit,
    OptionFinding,
    OptionsInvalid,
    Targets,
    parse_targets,
)
from waxwing_testbed.load._raw import RawAnswer, RawRequest, send_bytes, send_raw
from waxwing_testbed.load._run import LoadPlan, check_load, run_load
from waxwing_testbed.load._summary import (
    CustomerSummary,
    Shortfall,
    percentile,
    summarize,
)
from waxwing_testbed.load._traffic import (
    CallMaker,
    ChatMix,
    Phase,
    PlainMix,
    TrafficSource,
)

__all__ = [
    "Call",
    "CallMaker",
    "CallSender",
    "Caller",
    "ChatCall",
    "ChatMix",
    "CustomerKey",
    "CustomerLimit",
    "CustomerSummary",
    "Discovery",
    "LoadPlan",
    "OptionFinding",
    "OptionsInvalid",
    "Phase",
    "PlainMix",
    "PlainRequest",
    "RawAnswer",
    "RawRequest",
    "TrafficSource",
    "send_bytes",
    "send_raw",
    "Shortfall",
    "Targets",
    "TrafficSource",
    "check_load",
    "main",
    "parse_targets",
    "percentile",
    "run_load",
    "summarize",
]
