"""Decoding the entries with which upstreams register themselves."""

import json
from typing import Any

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway import RegisteredState, Upstream

_MILLISECONDS_PER_SECOND = 1_000


def decode_upstream(upstream_id: str, payload: bytes, now_seconds: float) -> Upstream:
    """
    Decode an entry.

    :param upstream_id: Its key.
    :param payload: As the store holds it; anybody may have written it.
    :param now_seconds: Monotonic time.
    :raises MalformedMessage: If it names no upstream to use.
    """
    try:
        wire = json.loads(payload)
        if not isinstance(wire, dict):
            raise ValueError("the entry is not an object")
        cold_seconds = _integer(wire.get("coldLeftMs", 0)) / _MILLISECONDS_PER_SECOND
        stage = wire.get("stage")
        return Upstream(
            upstream_id=UpstreamId(upstream_id),
            started_ms=_integer(wire.get("born", 0)),
            service=_text(wire["service"]),
            address=Address.parse(_text(wire["address"])),
            zone=ZoneName(_text(wire["zone"])),
            state=RegisteredState(_text(wire["state"])),
            slots=max(_integer(wire["slots"]), 1),
            cold_until_seconds=now_seconds + cold_seconds if cold_seconds else 0.0,
            role=EngineRole(_text(stage)) if stage is not None else None,
            is_spot=bool(wire.get("spot", False)),
            # Here this counts the entry's own versions, not orders.
            sequence=_integer(wire.get("seqNo", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedMessage(f"entry {upstream_id}: {error!r}") from error


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{type(value).__name__} in place of a text")
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} in place of a count")
    return value
