"""Callers that discover, connect and retry, and what they send."""

from waxwing_testbed.load._caller import Caller
from waxwing_testbed.load._calls import Call, CallSender, ChatCall, PlainRequest
from waxwing_testbed.load._discovery import Discovery
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
    "Discovery",
    "Phase",
    "PlainMix",
    "PlainRequest",
    "TrafficSource",
]
