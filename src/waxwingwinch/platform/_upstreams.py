"""Decoding the registration records of upstreams."""

import json
from typing import Any

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway import RegisteredState, Upstream

_MILLISECONDS_PER_SECOND = 1_000


def decode_upstream(upstream_id: str, payload: bytes, now_seconds: float) -> Upstream:
    """
    Decode the registration record of an upstream.

    :param upstream_id: Key of the record.
    :param payload: The value stored under that key; untrusted, since any
        client of the store may have written it.
    :param now_seconds: Monotonic time.
    :raises MalformedMessage: If the payload is not a valid record.
    """
    try:
        wire = json.loads(payload)
        if not isinstance(wire, dict):
            raise ValueError(f"expected a JSON object, got {type(wire).__name__}")
        cold_seconds = (
            _require_count(wire.get("coldLeftMs", 0)) / _MILLISECONDS_PER_SECOND
        )
        stage = wire.get("stage")
        return Upstream(
            upstream_id=UpstreamId(upstream_id),
            started_ms=_require_count(wire.get("born", 0)),
            service=_require_text(wire["service"]),
            address=Address.parse(_require_text(wire["address"])),
            zone=ZoneName(_require_text(wire["zone"])),
            state=RegisteredState(_require_text(wire["state"])),
            slots=max(_require_count(wire["slots"]), 1),
            cold_until_seconds=now_seconds + cold_seconds if cold_seconds else 0.0,
            role=EngineRole(_require_text(stage)) if stage is not None else None,
            is_spot=bool(wire.get("spot", False)),
            # In registration records, seqNo is the record's version, not an
            # order number.
            sequence=_require_count(wire.get("seqNo", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedMessage(
            f"malformed registration record of upstream {upstream_id}: {error!r}"
        ) from error


def _require_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"expected a non-empty string, got {type(value).__name__}")
    return value


def _require_count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"expected an integer of at least 0, got {value!r}")
    return value
