"""Decoding the registration records of upstreams."""

import ipaddress
import re
from typing import Any

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._json import decode_json
from waxwingwinch._types import Address, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway import RegisteredState, Upstream
from waxwingwinch.platform._fields import (
    read_flag,
    read_integer,
    read_object,
    read_text,
)

#: Maximum length of a record; a valid one takes some 300 bytes.
MAX_RECORD_BYTES = 65_536
#: Maximum number of requests that an upstream serves concurrently.
MAX_SLOTS = 1_000_000
#: Maximum time for which an upstream is slow after its start: one day.
MAX_COLD_MS = 86_400_000
#: Maximum start time: the start of the year 2100 in Unix milliseconds.
MAX_START_MS = 4_102_444_800_000
#: Maximum version of a record: 68 years of one record per second.
MAX_SEQUENCE = 2**31 - 1

_MILLISECONDS_PER_SECOND = 1_000
# The id is sent in headers.
_UPSTREAM_ID = re.compile(r"[\x21-\x7e]{1,255}")


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
        if not _UPSTREAM_ID.fullmatch(upstream_id):
            raise ValueError("the id is not 1 to 255 printable ASCII characters")
        wire = read_object(decode_json(payload, MAX_RECORD_BYTES))
        is_cold_stated = "coldLeftMs" in wire
        cold_ms = read_integer(wire.get("coldLeftMs", 0), maximum=MAX_COLD_MS)
        cold_seconds = cold_ms / _MILLISECONDS_PER_SECOND
        stage = wire.get("stage")
        return Upstream(
            upstream_id=UpstreamId(upstream_id),
            started_ms=read_integer(wire.get("born", 0), maximum=MAX_START_MS),
            service=read_text(wire["service"]),
            address=_read_address(wire["address"]),
            zone=ZoneName(read_text(wire["zone"])),
            state=RegisteredState(read_text(wire["state"])),
            slots=max(read_integer(wire["slots"], maximum=MAX_SLOTS), 1),
            cold_until_seconds=now_seconds + cold_seconds if cold_seconds else 0.0,
            role=EngineRole(read_text(stage)) if stage is not None else None,
            is_spot=read_flag(wire.get("spot", False)),
            # In registration records, seqNo is the record's version, not an
            # order number.
            sequence=read_integer(wire.get("seqNo", 0), maximum=MAX_SEQUENCE),
            is_cold_stated=is_cold_stated,
        )
    except (ValueError, KeyError) as error:
        raise MalformedMessage(
            f"malformed registration record of upstream {upstream_id!r}: {error!r}"
        ) from error


def _read_address(value: Any) -> Address:
    address = Address.parse(read_text(value))
    return Address(str(ipaddress.ip_address(address.host)), address.port)
